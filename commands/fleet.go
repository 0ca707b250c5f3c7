package commands

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"agatevalve/registrar"
	"agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// fleetWithin bounds one call to an entry or agent.
	fleetWithin = 3 * time.Second
	// fleetConnect bounds the opening of a connection.
	fleetConnect = time.Second
	// fleetAtOnce is how many processes are called at the same time.
	fleetAtOnce = 32
)

// fleet calls entries and agents.
type fleet struct{ client *http.Client }

func newFleet() *fleet {
	dialer := &net.Dialer{Timeout: fleetConnect}
	transport := &http.Transport{DialContext: dialer.DialContext}
	return &fleet{client: &http.Client{Transport: transport, Timeout: fleetWithin}}
}

func (f *fleet) close() { f.client.CloseIdleConnections() }

// entryView is what is known about one live entry.
type entryView struct {
	member registrar.Member
	// status is nil when the entry did not answer; err says why.
	status *agatevalvev1.StatusResponse
	err    error
}

// entries asks all live entries for their status.
func (f *fleet) entries(ctx context.Context, s *store) ([]entryView, error) {
	members, err := registrar.List(ctx, s)
	if err != nil {
		return nil, err
	}
	live := registrar.Live(members, time.Now())
	views := make([]entryView, len(live))
	forEach(len(live), func(i int) {
		views[i].member = live[i]
		views[i].status, views[i].err = f.status(ctx, live[i].Address)
	})
	return views, nil
}

func (f *fleet) status(ctx context.Context, address netip.AddrPort) (*agatevalvev1.StatusResponse, error) {
	client := agatevalvev1connect.NewEntryServiceClient(f.client, "http://"+address.String())
	response, err := client.Status(ctx, connect.NewRequest(&agatevalvev1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (f *fleet) drain(ctx context.Context, address, who string, leave bool) (*agatevalvev1.Load, error) {
	client := agatevalvev1connect.NewAgentServiceClient(f.client, "http://"+address)
	request := &agatevalvev1.DrainRequest{Leave: leave, Who: who}
	response, err := client.Drain(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetLoad(), nil
}

// forEach runs do for 0 to count-1, some at the same time, and waits.
func forEach(count int, do func(i int)) {
	var group sync.WaitGroup
	places := make(chan struct{}, fleetAtOnce)
	for i := range count {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			do(i)
		})
	}
	group.Wait()
}

// agentView joins what all entries say about one run of an agent.
type agentView struct {
	agent *agatevalvev1.AgentStatus
	// ejectedBy names the entries that send it nothing for its failures.
	ejectedBy []string
	// outstanding sums the tasks that the entries have sent to it.
	outstanding int32
}

// agents joins the agents of all entries, in the order of first sight.
func agents(views []entryView) []*agentView {
	var joined []*agentView
	type run struct {
		name        string
		incarnation uint64
	}
	byRun := make(map[run]*agentView)
	for _, v := range views {
		for _, a := range v.status.GetAgents() {
			key := run{a.GetAgent().GetName(), a.GetAgent().GetIncarnation()}
			view := byRun[key]
			if view == nil {
				view = &agentView{agent: a}
				byRun[key] = view
				joined = append(joined, view)
			}
			view.outstanding += a.GetOutstanding()
			if a.GetEjected() {
				view.ejectedBy = append(view.ejectedBy, v.member.Process.Name)
			}
		}
	}
	return joined
}
