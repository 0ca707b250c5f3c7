package entry_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/emulator"
	"agatevalve/entry"
	"agatevalve/loader"
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

func TestEntryIsNotReadyBeforeItHasReadTheStore(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
	e := newEntry(t, table)
	defer closeEntry(t, e)
	operators, callers := "http://"+e.Operators().String(), "http://"+e.Callers().String()

	status, body := get(operators + "/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "not in force"))
	status, body = get(callers + "/holds")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"outcome":"not-run"`))
	status, _ = get(operators + "/healthz")
	is.Equal(status, http.StatusOK) // It lives, and only waits for the store.

	table.ClearFaults()
	s := &system{t: t}
	s.await("the entry is ready", e.Ready)
	status, _ = get(operators + "/readyz")
	is.Equal(status, http.StatusOK)
	status, body = get(callers + "/holds")
	is.Equal(status, http.StatusNotFound) // There are no routes yet.
	is.True(strings.Contains(body, `"outcome":"not-run"`))
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
