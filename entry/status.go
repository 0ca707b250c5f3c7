package entry

import (
	"context"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	v1 "agatevalve/wire/agatevalvev1"
)

// status returns the state of this entry for operators.
func (e *Entry) status(ctx context.Context) (*v1.StatusResponse, error) {
	var view dispatcher.View
	if err := e.loop.call(ctx, func(c *dispatcher.Core) { view = c.View() }); err != nil {
		return nil, err
	}
	response := &v1.StatusResponse{
		From:           encoder.ProcessToWire(e.self),
		Zone:           e.o.Settings.Zone,
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
	}
}
