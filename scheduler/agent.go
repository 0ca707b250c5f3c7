package scheduler

import (
	"slices"
	"time"

	"agatevalve/common/work"
)

// endRetention is the time for which an agent surely keeps the end of a run for an
// entry that is silent. A run that it doesn't hold after that may have started.
const endRetention = 4 * time.Second

// agent is the state of one incarnation of an agent and of its minion, as known
// to this entry.
type agent struct {
	id AgentID
	// rank orders the agents for bulkheads.
	rank uint64
	// crashedAt is the time of the minion's last crash; zero if none is known.
	crashedAt time.Time
	// down is true from a crash until the minion is usable again.
	down bool
	// link is the number of the open link; 0 for none.
	link uint64
	// disconnectedAt is the time at which the last link closed; zero while one is
	// open.
	disconnectedAt time.Time
	minion         work.Minion
	// usable is true while the minion's runs are listed and it isn't draining,
	// and leaving while the agent shuts down.
	usable  bool
	leaving bool
	// evacuated is true while the minion's zone is evacuated, and zonesVersion is
	// the newest decision on zones that the agent was told, or told of, over the
	// open link.
	evacuated    bool
	zonesVersion uint64
	load         work.Load
	// runs are the runs of this entry that were placed and have not ended, and
	// totalRuntime the sum of their expected runtimes.
	runs         map[work.Run]*task
	totalRuntime time.Duration
	// unreportedRoom is the room of the runs that the load does not include yet,
	// and unreportedRuntime the sum of their expected runtimes.
	unreportedRoom    work.Room
	unreportedRuntime time.Duration
	// ordersSent counts the orders sent over the open link, and pendingOrders are
	// those that the load does not include yet, oldest first.
	ordersSent    uint64
	pendingOrders []pendingOrder
	// stopping holds the runs that were ordered to stop and have not ended. It is
	// changed together with the core's stoppingTasks.
	stopping map[work.Run]bool
	// acked is the highest sequence number of a processed report, and ackSent the
	// highest one acknowledged over the open link.
	acked, ackSent uint64
	// backoffUntil is the time until which the agent is given no work after a
	// refusal.
	backoffUntil time.Time
	// onProbation is the task of this entry that is on probation here; nil for none.
	onProbation *task
	health
}

// pendingOrder is an order that the agent's load does not include yet.
type pendingOrder struct {
	task *task
	run  work.Run
	// sequence is the number of the order on its link.
	sequence uint64
}

// LinkOpened is the first message of an agent over a new link.
type LinkOpened struct {
	Agent AgentID
	Link  uint64
	// Reports list all runs that the agent holds for this entry.
	Reports []work.Report
	// Crashes are the recent crashes of the minion.
	Crashes []work.Crash
	Minion  work.Minion
	Usable  bool
	Leaving bool
	Load    work.Load
	// Zones is the newest decision on evacuated zones that the agent knows.
	Zones work.Zones
}

// LinkClosed is the end of a link.
type LinkClosed struct {
	Agent AgentID
	Link  uint64
}

// Reported is a later message of an agent.
type Reported struct {
	Agent   AgentID
	Link    uint64
	Reports []work.Report
	// Crashes are new crashes of the minion.
	Crashes []work.Crash
	// Load is nil if it has not changed. OrdersTaken counts the orders of the
	// link that it includes.
	Load        *work.Load
	OrdersTaken uint64
	// Minion is nil if it has not changed. Usable and Leaving are valid only with
	// it.
	Minion  *work.Minion
	Usable  bool
	Leaving bool
	// Zones is a newer decision on evacuated zones; its version is 0 if the message
	// has none.
	Zones work.Zones
}

func (ev LinkOpened) apply(c *Core, now time.Time) {
	a := c.agents[ev.Agent]
	if a == nil {
		a = &agent{id: ev.Agent, rank: rankOf(ev.Agent.Name), runs: make(map[work.Run]*task), stopping: make(map[work.Run]bool)}
		c.addAgent(a)
	}
	if ev.Link < a.link {
		return
	}
	a.link, a.disconnectedAt, a.load, a.zonesVersion = ev.Link, time.Time{}, ev.Load.Bounded(), 0
	c.recordCrashes(now, a, ev.Minion.Incarnation, ev.Crashes)
	c.updateMinion(now, a, ev.Minion, ev.Usable, ev.Leaving)
	c.observeZones(now, a, ev.Zones)
	held := make(map[work.Run]bool, len(ev.Reports))
	for _, report := range ev.Reports {
		held[report.Run] = true
		c.handleReport(now, a, report)
	}
	a.ordersSent, a.pendingOrders, a.ackSent = 0, nil, 0
	for _, t := range sortedTasks(a.runs) {
		report := work.Report{Run: t.run(), State: work.Lost, Reason: "its agent has forgotten it"}
		if !t.inLoad && now.Sub(t.placedAt) < endRetention {
			// The order has not arrived and never will, since its link is closed.
			report = work.Report{Run: t.run(), State: work.Refused, Reason: work.ReasonUnstarted}
		}
		a.markInLoad(t)
		if !held[t.run()] {
			c.handleReport(now, a, report)
		}
	}
	for _, run := range sortedRuns(a.stopping) {
		if held[run] {
			c.emit(Stop{Agent: a.id, Link: a.link, Run: run})
		} else {
			c.removeStopping(a, work.Report{Run: run, State: work.Lost, Reason: "its agent doesn't hold it"})
		}
	}
	c.acknowledge(a)
	c.placementDue = true
	c.emit(LogMessage{Text: "An agent connected", Agent: a.id, Attributes: []any{
		"minion", a.minion.Name, "incarnation", a.minion.Incarnation, "usable", a.usable, "held", len(ev.Reports),
	}})
}

func (ev LinkClosed) apply(c *Core, now time.Time) {
	a := c.agents[ev.Agent]
	if a == nil || a.link != ev.Link {
		return
	}
	a.link, a.disconnectedAt = 0, now
	c.emit(LogMessage{Text: "Lost the link to an agent", Agent: a.id, Attributes: []any{"runs", len(a.runs)}})
}

func (ev Reported) apply(c *Core, now time.Time) {
	a := c.agents[ev.Agent]
	if a == nil || a.link != ev.Link {
		return
	}
	c.observeZones(now, a, ev.Zones)
	c.recordCrashes(now, a, a.minion.Incarnation, ev.Crashes)
	for _, report := range ev.Reports {
		c.handleReport(now, a, report)
	}
	if ev.Load != nil {
		a.load = ev.Load.Bounded()
		a.markInLoadUpTo(ev.OrdersTaken)
		c.placementDue = true
	}
	if ev.Minion != nil {
		c.updateMinion(now, a, *ev.Minion, ev.Usable, ev.Leaving)
	}
	c.acknowledge(a)
}

// addRun records a task that was placed at the agent.
func (a *agent) addRun(t *task) {
	a.runs[t.order.Run] = t
	a.totalRuntime += t.expectedRuntime
	a.unreportedRoom = a.unreportedRoom.Plus(t.order.Room)
	a.unreportedRuntime += t.expectedRuntime
	a.ordersSent++
	a.pendingOrders = append(a.pendingOrders, pendingOrder{task: t, run: t.order.Run, sequence: a.ordersSent})
}

// markInLoadUpTo records that the load includes the orders up to a sequence
// number.
func (a *agent) markInLoadUpTo(ordersTaken uint64) {
	for len(a.pendingOrders) > 0 && a.pendingOrders[0].sequence <= ordersTaken {
		if p := a.pendingOrders[0]; a.runs[p.run] == p.task {
			a.markInLoad(p.task)
		}
		a.pendingOrders = a.pendingOrders[1:]
	}
}

// markInLoad records that the load includes the run of a task.
func (a *agent) markInLoad(t *task) {
	if t.inLoad {
		return
	}
	t.inLoad = true
	a.unreportedRoom = a.unreportedRoom.Minus(t.order.Room)
	a.unreportedRuntime -= t.expectedRuntime
}

// removeRun removes a task whose run has ended or is being stopped.
func (a *agent) removeRun(t *task) {
	a.markInLoad(t)
	delete(a.runs, t.order.Run)
	a.totalRuntime -= t.expectedRuntime
}

// acceptsWork reports whether the agent may be given work, now or after a
// backoff.
func (a *agent) acceptsWork() bool {
	return a.link != 0 && a.usable && !a.leaving && !a.minion.Draining && !a.evacuated
}

// updateMinion stores the minion's state as its agent reports it. An agent
// becomes usable after it has listed the minion's runs and stopped those that
// earlier incarnations of the agent started, so these incarnations' runs are
// lost.
func (c *Core) updateMinion(now time.Time, a *agent, m work.Minion, usable, leaving bool) {
	if m.Name != a.minion.Name || m.Incarnation != a.minion.Incarnation {
		a.health = health{}
	}
	m.Room = m.Room.Bounded()
	a.minion, a.usable, a.leaving = m, usable, leaving
	c.applyZones(a)
	c.placementDue = true
	if !usable {
		return
	}
	c.withdrawCrash(a, work.Crash{Minion: m.Name, Incarnation: m.Incarnation}) // Its agent may have had no link to do so.
	c.observeReturn(now, a)
	for _, o := range slices.Clone(c.sortedAgents) {
		if o.id.Name == a.id.Name && o.id.Incarnation < a.id.Incarnation {
			c.markRunsLost(now, o, "its agent was replaced")
			c.dropAgent(o)
		}
	}
}

// acknowledge confirms newly processed reports to the agent.
func (c *Core) acknowledge(a *agent) {
	if a.acked > a.ackSent && a.link != 0 {
		a.ackSent = a.acked
		c.emit(Acknowledge{Agent: a.id, Link: a.link, Acked: a.acked})
	}
}

// handleReport processes the report of an agent on a run.
func (c *Core) handleReport(now time.Time, a *agent, report work.Report) {
	report.Took, report.Remaining = work.BoundedDuration(report.Took), work.BoundedDuration(report.Remaining)
	if report.Number > a.acked {
		a.acked = report.Number
	}
	t := a.runs[report.Run]
	if t == nil {
		c.handleUnknownRun(a, report)
		return
	}
	c.placementDue = true
	if !report.State.Ended() {
		c.handleProgress(now, a, t, report)
		return
	}
	a.removeRun(t)
	t.agent = nil
	c.endProbation(a, t)
	c.logEnd(now, a, t, report)
	switch report.State {
	case work.Done:
		c.taskDone(now, a, t, report)
	case work.Failed:
		c.taskFailed(now, a, t)
	default:
		c.taskReturned(now, a, t, report)
	}
}

// logEnd logs the end of a run, and for how long its agent has been disconnected.
func (c *Core) logEnd(now time.Time, a *agent, t *task, report work.Report) {
	attributes := []any{"took", report.Took, "since-placed", now.Sub(t.placedAt), "minion", a.minion.Name, "incarnation", a.minion.Incarnation}
	if !a.disconnectedAt.IsZero() {
		attributes = append(attributes, "since-link-lost", now.Sub(a.disconnectedAt))
	}
	c.emit(LogMessage{
		Text: "A run ended", Job: t.job.ID, Run: report.Run, Agent: a.id, State: report.State, Reason: string(report.Reason), Attributes: attributes,
	})
}

// handleProgress processes a report on a run that has not ended.
func (c *Core) handleProgress(now time.Time, a *agent, t *task, report work.Report) {
	if report.Reason == work.ReasonSurvived {
		c.survive(a, t)
	}
	if report.Remaining > 0 {
		c.handleProjection(now, a, t, report)
	}
}

// handleUnknownRun processes a report on a run that the entry does not wait
// for. A run that has not ended is stopped.
func (c *Core) handleUnknownRun(a *agent, report work.Report) {
	if report.State.Ended() {
		c.removeStopping(a, report)
		return
	}
	if !a.stopping[report.Run] && a.link != 0 {
		c.addStopping(a, report.Run)
		c.emit(Stop{Agent: a.id, Link: a.link, Run: report.Run})
	}
}

func (c *Core) taskDone(now time.Time, a *agent, t *task, report work.Report) {
	t.done = true
	a.recordSuccess()
	c.survive(a, t)
	c.observeLocality(a, t, report.Took)
	normalizedWork := a.normalizedWork(t.job, report.Took)
	t.job.observeWork(normalizedWork)
	if t.job.Hint <= 0 {
		c.estimator.learn(t.job.Route, normalizedWork)
	}
	t.job.unfinishedTasks--
	if t.job.unfinishedTasks == 0 {
		c.observeSuccess(now, t.job.Route)
		c.finish(now, t.job, work.Succeeded, "")
	}
}

// taskReturned handles a run that was refused, stopped or lost. The task waits
// for another run, or its job is given up if it can't end in time.
func (c *Core) taskReturned(now time.Time, a *agent, t *task, report work.Report) {
	if c.condemnLost(now, t, report) {
		return
	}
	if report.State == work.Refused || report.Reason == work.ReasonUnstarted {
		t.job.possibleStarts--
		t.job.mayHaveStarted = t.job.possibleStarts > 0
	}
	switch report.Reason {
	case work.ReasonOld:
		t.runNumber += seenNumberStride
	case work.ReasonLate:
		if !c.canFinish(now, t.job, time.Duration(minWorkFactor*float64(t.job.expectedWork))) {
			c.giveUp(now, t.job, c.lateReason(t.job, reasonTooLong))
			return
		}
	case work.ReasonUnhealthy:
		a.recordFailure(now)
		a.backoffUntil = now.Add(backoffUnhealthy)
	case work.ReasonUnreachable, work.ReasonLeaving, work.ReasonMalformed:
		a.backoffUntil = now.Add(backoffUnreachable)
	case work.ReasonCrowded:
		a.backoffUntil = now.Add(backoffCrowded)
	case work.ReasonBusy:
		a.backoffUntil = now.Add(backoffBusy)
	case work.ReasonEvacuated:
		c.observeEvacuated(now, a)
	}
	c.enqueue(t)
}
