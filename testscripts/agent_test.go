package testscripts_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"agatevalve/attendant"
	"agatevalve/connector"
	"agatevalve/loader"
)

// startAgent implements the script command "agent NAME POOL [fails]". It starts an
// agent with a minion that echoes the method and path of each request. With
// "fails" the minion responds with status 500.
func startAgent(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: agent NAME POOL [fails]")
	}
	fails := len(args) > 2 && args[2] == "fails"
	minion := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fails {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = io.WriteString(w, "minion got "+r.Method+" "+r.URL.Path) // The caller may have disconnected.
	}))
	ts.Defer(minion.Close)
	settings := loader.DefaultAgent()
	settings.Name, settings.Zone, settings.Worker, settings.Rack = args[0], "cartago", "worker-1", "rack-1"
	settings.Listen = netip.MustParseAddrPort(ts.Getenv("AGENT"))
	settings.Store = netip.MustParseAddrPort(ts.Getenv("AGATEVALVE_STORE"))
	settings.Minion = netip.MustParseAddrPort(strings.TrimPrefix(minion.URL, "http://"))
	settings.Pools, settings.Slots, settings.StopWithin = []string{args[1]}, 8, time.Second
	client := connector.New(connector.Options{Store: settings.Store})
	agent, err := attendant.New(attendant.Options{Settings: settings, Table: client})
	ts.Check(err)
	ts.Defer(func() {
		_ = agent.Close(context.Background()) // The script has ended.
		client.Close()
	})
}
