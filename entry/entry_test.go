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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := e.Close(ctx); err != nil {
		t.Error(err)
	}
}

// publish brings one route into force.
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
		is.Equal(status, http.StatusOK) // It lives, and only waits.
	}

	checkRefuses() // The store is down.
	table.ClearFaults()
	checkRefuses() // The store is empty.
	publish(t, table)
	s := &system{t: t}
	s.await("the entry is ready", e.Ready)
	status, _ := get(operators + "/readyz")
	is.Equal(status, http.StatusOK)
	status, body := get(callers + "/elsewhere")
	is.Equal(status, http.StatusNotFound)
	is.True(strings.Contains(body, `"outcome":"not-run"`))

	// An outage later on takes nothing away.
	is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
	status, _ = get(callers + "/elsewhere")
	is.Equal(status, http.StatusNotFound)
	table.ClearFaults()
}

// TestStopAnswersWhatWaits stops an entry while a request waits for a minion.
func TestStopAnswersWhatWaits(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	publish(t, table)
	chosen := settings()
	chosen.Limits.AnswerWithin = time.Second
	e, err := entry.New(entry.Options{Settings: chosen, Table: table})
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
	is.True(status >= http.StatusBadRequest && status < 600) // A refusal, and no cut connection.
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

func TestTakenAddressLeavesNothingOpen(t *testing.T) {
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
	is.NoErr(err) // The callers' address of the failed start is free again.
	closeEntry(t, e)
}

// soonThenLate makes the first pause short and all others long.
type soonThenLate struct{ drawn bool }

// Uint64 implements rand.Source.
func (s *soonThenLate) Uint64() uint64 {
	if !s.drawn {
		s.drawn = true
		return 1 << 20
	}
	return 1<<63 | 1<<20
}

// TestEntrySweepsOldClaims expects the mark that the first sweep leaves.
func TestEntrySweepsOldClaims(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	e, err := entry.New(entry.Options{Settings: settings(), Table: table, SweepRandom: rand.New(&soonThenLate{})})
	is.NoErr(err)
	defer closeEntry(t, e)
	s := &system{t: t}
	s.await("the first sweep leaves its mark", func() bool {
		rows, err := table.Scan(context.Background(), tabler.ClaimIndex, "")
		return err == nil && len(rows) == 1
	})
}
