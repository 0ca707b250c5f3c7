package scheduler

import (
	"time"

	"agatevalve/common/work"
)

// markRunsLost handles all runs at an agent as lost.
func (c *Core) markRunsLost(now time.Time, a *agent, reason work.Reason) {
	for _, t := range sortedTasks(a.runs) {
		c.handleReport(now, a, work.Report{Run: t.run(), State: work.Lost, Reason: reason})
	}
	c.clearStopping(a, reason)
}

// expireAgents handles the runs of an agent as lost once it has been
// disconnected for so long that none of them can still be running. It removes
// agents that have been disconnected for long and have no runs.
func (c *Core) expireAgents(now time.Time) {
	var stale []*agent
	for _, a := range c.sortedAgents {
		if a.disconnectedAt.IsZero() {
			continue
		}
		downtime := now.Sub(a.disconnectedAt)
		if downtime > c.options.RunLossTimeout && len(a.runs)+len(a.stopping) > 0 {
			c.markRunsLost(now, a, "its agent is disconnected")
		}
		if downtime > agentRetention && len(a.runs) == 0 {
			stale = append(stale, a)
		}
	}
	for _, a := range stale {
		c.dropAgent(a)
	}
}
