package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	v1 "agatevalve/wire/agatevalvev1"
)

// gaugeTimeout bounds the wait for the core's counters.
const gaugeTimeout = time.Second

// status returns the state of this entry for operators.
func (e *Entry) status(ctx context.Context) (*v1.StatusResponse, error) {
	var view dispatcher.View
	if err := e.loop.runOnCore(ctx, func(c *dispatcher.Core) { view = c.View() }); err != nil {
		return nil, err
	}
	response := &v1.StatusResponse{
		From:           encoder.ProcessToWire(e.self),
		Zone:           e.options.Settings.Zone,
		Revision:       e.follower.Revision(),
		Ready:          e.notReady() == "",
		StoreReachable: e.table.reachable(),
		Queued:         int32(view.Waiting),
		Running:        int32(view.Running),
	}
	views := make(map[task.Process]dispatcher.AgentView, len(view.Agents))
	for _, a := range view.Agents {
		views[a.ID] = a
	}
	for _, a := range e.greeter.Agents() {
		response.Agents = append(response.Agents, agentStatus(a, views[a.Peer.Process]))
	}
	return response, nil
}

// agentStatus combines an agent's announcement with the core's view of the
// agent.
func agentStatus(a dispatcher.Announcement, view dispatcher.AgentView) *v1.AgentStatus {
	return &v1.AgentStatus{
		Agent:       encoder.ProcessToWire(a.Peer.Process),
		Address:     a.Peer.Address.String(),
		Zone:        a.Zone,
		Worker:      a.Worker,
		Rack:        a.Rack,
		Pools:       a.Pools,
		Load:        encoder.LoadToWire(a.Load),
		Outstanding: int32(view.Outstanding),
		Ejected:     view.Ejected,
		MeanSeconds: view.MeanServiceTime.Seconds(),
	}
}

// updateGauges copies the core's counters to the metrics.
func (e *Entry) updateGauges(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gaugeTimeout)
	defer cancel()
	var counts dispatcher.Counters
	var view dispatcher.View
	err := e.loop.runOnCore(ctx, func(c *dispatcher.Core) { counts, view = c.Counters(), c.View() })
	if err != nil {
		e.options.Log.Warn("entry: The core did not answer in time", "error", err)
		return
	}
	for _, g := range []struct {
		name  string
		value uint64
	}{
		{"jobs-submitted", counts.Submitted},
		{"jobs-joined", counts.Joined},
		{"jobs-completed", counts.Completed},
		{"jobs-not-run", counts.NotRun},
		{"jobs-failed", counts.Failed},
		{"jobs-may-have-run", counts.MayHaveRun},
		{"jobs-taken-over", counts.Takeovers},
		{"tasks-sent", counts.Sends},
		{"tasks-answered", counts.Answered},
		{"tasks-refused", counts.Refusals},
		{"tasks-resent", counts.Resends},
		{"tasks-hedged", counts.Hedges},
		{"responses-unused", counts.Unused},
		{"reports-stray", counts.Strays},
		{"tasks-waiting", uint64(view.Waiting)},
		{"tasks-running", uint64(view.Running)},
		{"agents-known", uint64(len(view.Agents))},
		{"revision-in-force", e.follower.Revision()},
	} {
		metrics.GetOrRegisterGauge(g.name, e.registry).Update(int64(g.value))
	}
}
