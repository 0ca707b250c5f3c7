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

// standIn answers as an entry that knows one agent, and as that agent.
type standIn struct {
	agatevalvev1connect.UnimplementedEntryServiceHandler
	agatevalvev1connect.UnimplementedAgentServiceHandler
	name     string
	address  string
	revision uint64
	// mu guards leaving.
	mu      sync.Mutex
	leaving bool
}

// Status reports one agent in the pool ascenso-desk.
func (s *standIn) Status(context.Context, *connect.Request[agatevalvev1.StatusRequest]) (*connect.Response[agatevalvev1.StatusResponse], error) {
	return connect.NewResponse(&agatevalvev1.StatusResponse{
		From: &agatevalvev1.Process{Name: s.name, Incarnation: 1},
		Zone: "cartago", Revision: s.revision, Ready: true, StoreReachable: true,
		Agents: []*agatevalvev1.AgentStatus{{
			Agent:   &agatevalvev1.Process{Name: "agent-of-" + s.name, Incarnation: 1},
			Address: s.address, Zone: "cartago", Worker: "worker-1", Rack: "rack-1",
			Pools: []string{"ascenso-desk"}, Load: s.load(), MeanSeconds: 0.25,
		}},
	}), nil
}

// Drain notes whether the agent leaves.
func (s *standIn) Drain(_ context.Context, r *connect.Request[agatevalvev1.DrainRequest]) (*connect.Response[agatevalvev1.DrainResponse], error) {
	s.mu.Lock()
	s.leaving = r.Msg.GetLeave()
	s.mu.Unlock()
	return connect.NewResponse(&agatevalvev1.DrainResponse{Load: s.load()}), nil
}

func (s *standIn) load() *agatevalvev1.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &agatevalvev1.Load{Slots: 8, Running: 3, Leaving: s.leaving, Revision: s.revision}
}

// startEntry registers a stand-in of a live entry: entry NAME REVISION, with
// the word silent for one that answers no call. The name begins with "entry-";
// ENTRY_ and the rest of it becomes a variable with the address.
func startEntry(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: entry NAME REVISION [silent]")
	}
	revision, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	s := &standIn{name: args[0], revision: revision}
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewEntryServiceHandler(s))
	mux.Handle(agatevalvev1connect.NewAgentServiceHandler(s))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	ts.Defer(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	ts.Setenv("ENTRY_"+s.name[len("entry-"):], s.address)
	if len(args) > 2 && args[2] == "silent" {
		server.Close()
	}
	register(ts, s)
}

func register(ts *testscript.TestScript, s *standIn) {
	client := connector.New(connector.Options{Store: netip.MustParseAddrPort(ts.Getenv("AGATEVALVE_STORE"))})
	defer client.Close()
	m := registrar.Member{
		Process: task.Process{Name: s.name, Incarnation: 1}, Address: netip.MustParseAddrPort(s.address),
		Zone: "cartago", Revision: s.revision, Expires: time.Now().Add(time.Hour),
	}
	write := tabler.Write{Key: registrar.KeyOf(m.Process), Unconditional: true, Value: registrar.EncodeRow(m)}
	_, err := client.Commit(context.Background(), []tabler.Write{write})
	ts.Check(err)
}
