package commands

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"agatevalve/dialer"
	"agatevalve/registrar"
	"agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// callTimeout is the timeout of one call to an entry or agent.
	callTimeout = 3 * time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls.
	maxConcurrentCalls = 32
)

// entryFlags holds the flag that names entries by address, so that they can be
// queried while the store is down.
type entryFlags struct {
	Entry []netip.AddrPort `help:"Ask this entry, at its internal listener, besides those in the store; may be repeated. This works while the store is down." placeholder:"IP:PORT"`
}

// entryView is the membership row of a live entry, and its answer to a status
// call.
type entryView struct {
	member registrar.Member
	// status is nil if the call failed; err is then its error.
	status *agatevalvev1.StatusResponse
	err    error
}

// queryEntries calls all live entries, and those at the given addresses, for
// their status. If addresses are given, a store that can't be read is not an
// error.
func queryEntries(ctx context.Context, s *store, addresses []netip.AddrPort) ([]entryView, error) {
	members, err := registrar.List(ctx, s)
	if err != nil && len(addresses) == 0 {
		return nil, err
	}
	live := registrar.Live(members, time.Now())
	for _, address := range addresses {
		listed := slices.ContainsFunc(live, func(m registrar.Member) bool { return m.Address == address })
		if !listed {
			live = append(live, registrar.Member{Address: address})
		}
	}
	views := make([]entryView, len(live))
	forEachConcurrently(len(live), func(i int) {
		views[i].member = live[i]
		views[i].status, views[i].err = callStatus(ctx, live[i].Address)
		views[i].completeMember()
	})
	return views, nil
}

// completeMember completes the membership row of an entry that was given by its
// address alone: it copies the name and zone from the status.
func (v *entryView) completeMember() {
	if v.status == nil || v.member.Process.Name != "" {
		return
	}
	v.member.Process.Name = v.status.GetFrom().GetName()
	v.member.Zone = v.status.GetZone()
}

// callStatus calls one entry for its status.
func callStatus(ctx context.Context, address netip.AddrPort) (*agatevalvev1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connection := dialer.New(dialer.Options{})
	defer connection.Close()
	client := agatevalvev1connect.NewEntryServiceClient(connection, "http://"+address.String())
	response, err := client.Status(ctx, connect.NewRequest(&agatevalvev1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// callDrain starts or ends the drain of one agent and returns its load.
func callDrain(ctx context.Context, address, operator string, draining bool) (*agatevalvev1.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connection := dialer.New(dialer.Options{})
	defer connection.Close()
	client := agatevalvev1connect.NewAgentServiceClient(connection, "http://"+address)
	request := &agatevalvev1.DrainRequest{Leave: draining, Who: operator}
	response, err := client.Drain(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetLoad(), nil
}

// forEachConcurrently calls call for 0 to count-1, at most maxConcurrentCalls at
// a time, and waits for all of them.
func forEachConcurrently(count int, call func(i int)) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for i := range count {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			call(i)
		})
	}
	group.Wait()
}

// agentView merges the reports of all entries about one run of an agent.
type agentView struct {
	// agent is the report of the first entry that knows the agent.
	agent *agatevalvev1.AgentStatus
	// ejectedBy names the entries that send it no tasks because of its failures.
	ejectedBy []string
	// outstanding is the number of tasks in flight from all entries.
	outstanding int32
}

// mergeAgents merges the agents that the entries report, in the order of their
// first occurrence. Runs of an agent are distinguished by its incarnation.
func mergeAgents(views []entryView) []*agentView {
	var merged []*agentView
	type runKey struct {
		name        string
		incarnation uint64
	}
	byRun := make(map[runKey]*agentView)
	for _, v := range views {
		for _, a := range v.status.GetAgents() {
			key := runKey{a.GetAgent().GetName(), a.GetAgent().GetIncarnation()}
			view := byRun[key]
			if view == nil {
				view = &agentView{agent: a}
				byRun[key] = view
				merged = append(merged, view)
			}
			view.outstanding += a.GetOutstanding()
			if a.GetEjected() {
				view.ejectedBy = append(view.ejectedBy, v.member.Process.Name)
			}
		}
	}
	return merged
}
