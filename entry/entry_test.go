package entry_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/emulator"
	"agatevalve/entry"
	"agatevalve/historian"
	"agatevalve/loader"
	"agatevalve/publisher"
	"agatevalve/router"
	"agatevalve/tabler"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func settings() loader.Entry {
	limits := loader.DefaultLimits()
	limits.StopNotice = 0
	return loader.Entry{Name: "entry-1", Zone: "cartago", Callers: loopback, Operators: loopback, Internal: loopback, Limits: limits}
}

func newEntry(t *testing.T, table *emulator.Table) *entry.Entry {
	t.Helper()
	e, err := entry.New(entry.Options{Settings: settings(), Table: table})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func closeEntry(t *testing.T, e *entry.Entry) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	if err := e.Close(ctx); err != nil {
		t.Error(err)
	}
}

// publish publishes a configuration with one route, /holds.
func publish(t *testing.T, table *emulator.Table) {
	t.Helper()
	p := publisher.New(publisher.Options{
		Table: table,
		Now:   time.Now,
		Token: func() historian.Token { return "test" },
		Pause: func(ctx context.Context) error { return ctx.Err() },
	})
	content := historian.Configuration{
		Routes: []router.Route{{Name: "holds", PathPrefix: "/holds", Pool: "desk"}},
		Pools:  []router.Pool{{Name: "desk"}},
	}
	_, err := p.Publish(context.Background(), publisher.Edit{
		Author:  publisher.Author{Who: "ana", Why: "first"},
		Changes: historian.Diff(historian.Configuration{}, content),
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestEntryIsReadyOnceAConfigurationIsInForce(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
	e := newEntry(t, table)
	defer closeEntry(t, e)
	operators, callers := "http://"+e.Operators().String(), "http://"+e.Callers().String()
	checkRefuses := func() {
		t.Helper()
		status, body := get(operators + "/readyz")
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, "no configuration"))
		status, body = get(callers + "/holds")
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, `"outcome":"not-run"`))
		status, _ = get(operators + "/healthz")
		is.Equal(status, http.StatusOK) // The process is alive but not ready.
	}

	checkRefuses() // The table service is down.
	table.ClearFaults()
	checkRefuses() // No configuration is published.
	publish(t, table)
	s := &system{t: t}
	s.await("the entry is ready", e.Ready)
	status, _ := get(operators + "/readyz")
	is.Equal(status, http.StatusOK)
	status, body := get(callers + "/elsewhere")
	is.Equal(status, http.StatusNotFound)
	is.True(strings.Contains(body, `"outcome":"not-run"`))

	// A later outage of the table service changes nothing.
	is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
	status, _ = get(callers + "/elsewhere")
	is.Equal(status, http.StatusNotFound)
	table.ClearFaults()
}

// TestCloseAnswersRequestsInFlight closes an entry while a request waits for a
// minion. There is no agent, so the request must be refused and its connection
// must not be cut.
func TestCloseAnswersRequestsInFlight(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	publish(t, table)
	entrySettings := settings()
	entrySettings.Limits.AnswerWithin = time.Second
	e, err := entry.New(entry.Options{Settings: entrySettings, Table: table})
	is.NoErr(err)
	s := &system{t: t}
	s.await("the entry is ready", e.Ready)
	answered := make(chan int)
	go func() {
		status, _ := get("http://" + e.Callers().String() + "/holds")
		answered <- status
	}()
	s.await("the request waits", func() bool {
		_, body := get("http://" + e.Operators().String() + "/metrics")
		return strings.Contains(body, "\nagatevalve_tasks_waiting 1\n")
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		closeEntry(t, e)
	}()
	status := <-answered
	is.True(status >= http.StatusBadRequest && status < 600) // A refusal; get returns 0 for a cut connection.
	<-stopped
}

func TestListenersAreSeparate(t *testing.T) {
	is := is.New(t)
	e := newEntry(t, emulator.NewTable(emulator.Options{}))
	defer closeEntry(t, e)
	for _, path := range []string{"/healthz", "/readyz", "/metrics", "/agatevalve.v1.EntryService/Status"} {
		status, body := get("http://" + e.Callers().String() + path)
		is.True(status == http.StatusNotFound || status == http.StatusServiceUnavailable)
		is.True(strings.Contains(body, `"outcome":"not-run"`))
	}
	status, body := get("http://" + e.Operators().String() + "/holds")
	is.Equal(status, http.StatusNotFound)
	is.True(strings.Contains(body, "callers' listener"))
	status, _ = get("http://" + e.Internal().String() + "/metrics")
	is.Equal(status, http.StatusNotFound)
	status, body = get("http://" + e.Operators().String() + "/metrics")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, "\nagatevalve_jobs_submitted 0\n"))
	is.True(strings.Contains(body, "\nagatevalve_links_opened_total 0\n"))
}

func TestFailedStartClosesItsListeners(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	first := newEntry(t, table)
	defer closeEntry(t, first)
	second := settings()
	second.Callers = (&system{t: t}).freeAddress()
	second.Internal = first.Internal()
	_, err := entry.New(entry.Options{Settings: second, Table: table})
	is.Equal(fault.KindOf(err), fault.Unavailable)
	is.True(strings.Contains(err.Error(), "free the address"))
	second.Internal = loopback
	e, err := entry.New(entry.Options{Settings: second, Table: table})
	is.NoErr(err) // The failed start has closed its callers' listener.
	closeEntry(t, e)
}

// shortThenLongDelays is a random source that yields one short delay, followed
// by long ones.
type shortThenLongDelays struct{ used bool }

// Uint64 implements rand.Source.
func (s *shortThenLongDelays) Uint64() uint64 {
	if !s.used {
		s.used = true
		return 1 << 20
	}
	return 1<<63 | 1<<20
}

// TestEntrySweepsOldClaims waits for the row that the first sweep writes.
func TestEntrySweepsOldClaims(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	e, err := entry.New(entry.Options{Settings: settings(), Table: table, SweepRandom: rand.New(&shortThenLongDelays{})})
	is.NoErr(err)
	defer closeEntry(t, e)
	s := &system{t: t}
	s.await("the first sweep has written its row", func() bool {
		rows, err := table.Scan(context.Background(), tabler.ClaimIndex, "")
		return err == nil && len(rows) == 1
	})
}
