package testscripts_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rogpeppe/go-internal/testscript"

	"agatevalve/common/task"
	"agatevalve/connector"
	"agatevalve/registrar"
	"agatevalve/tabler"
	"agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// fakeProcess implements the services of an entry that knows one agent, and of
// that agent.
type fakeProcess struct {
	agatevalvev1connect.UnimplementedEntryServiceHandler
	agatevalvev1connect.UnimplementedAgentServiceHandler
	name    string
	address string
	// revision is the revision of the configuration in force.
	revision uint64
	// mu guards leaving.
	mu      sync.Mutex
	leaving bool
}

// Status returns the status of an entry that knows one agent, in the pool
// ascenso-desk.
func (p *fakeProcess) Status(context.Context, *connect.Request[agatevalvev1.StatusRequest]) (*connect.Response[agatevalvev1.StatusResponse], error) {
	return connect.NewResponse(&agatevalvev1.StatusResponse{
		From: &agatevalvev1.Process{Name: p.name, Incarnation: 1},
		Zone: "cartago", Revision: p.revision, Ready: true, StoreReachable: true,
		Agents: []*agatevalvev1.AgentStatus{{
			Agent:   &agatevalvev1.Process{Name: "agent-of-" + p.name, Incarnation: 1},
			Address: p.address, Zone: "cartago", Worker: "worker-1", Rack: "rack-1",
			Pools: []string{"ascenso-desk"}, Load: p.load(), MeanSeconds: 0.25,
		}},
	}), nil
}

// Drain records whether the agent is leaving.
func (p *fakeProcess) Drain(_ context.Context, r *connect.Request[agatevalvev1.DrainRequest]) (*connect.Response[agatevalvev1.DrainResponse], error) {
	p.mu.Lock()
	p.leaving = r.Msg.GetLeave()
	p.mu.Unlock()
	return connect.NewResponse(&agatevalvev1.DrainResponse{Load: p.load()}), nil
}

// load returns the load of the agent.
func (p *fakeProcess) load() *agatevalvev1.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &agatevalvev1.Load{Slots: 8, Running: 3, Leaving: p.leaving, Revision: p.revision}
}

// startEntry implements the script command "entry NAME REVISION [silent]". It
// starts and registers a fake entry; with "silent" it is registered but refuses
// connections. The name begins with "entry-"; the variable ENTRY_ with the rest of
// the name holds the address.
func startEntry(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: entry NAME REVISION [silent]")
	}
	revision, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	p := &fakeProcess{name: args[0], revision: revision}
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewEntryServiceHandler(p))
	mux.Handle(agatevalvev1connect.NewAgentServiceHandler(p))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	ts.Defer(server.Close)
	p.address = strings.TrimPrefix(server.URL, "http://")
	ts.Setenv("ENTRY_"+p.name[len("entry-"):], p.address)
	if len(args) > 2 && args[2] == "silent" {
		server.Close()
	}
	registerEntry(ts, p)
}

// registerEntry writes the membership row of an entry to the store.
func registerEntry(ts *testscript.TestScript, p *fakeProcess) {
	client := connector.New(connector.Options{Store: netip.MustParseAddrPort(ts.Getenv("AGATEVALVE_STORE"))})
	defer client.Close()
	member := registrar.Member{
		Process: task.Process{Name: p.name, Incarnation: 1}, Address: netip.MustParseAddrPort(p.address),
		Zone: "cartago", Revision: p.revision, Expires: time.Now().Add(time.Hour),
	}
	write := tabler.Write{Key: registrar.KeyOf(member.Process), Unconditional: true, Value: registrar.EncodeRow(member)}
	_, err := client.Commit(context.Background(), []tabler.Write{write})
	ts.Check(err)
}
