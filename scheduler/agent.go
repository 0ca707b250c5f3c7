package scheduler

import (
	"maps"
	"slices"
	"time"

	"agatevalve/common/work"
)

// agent is what the entry knows of one incarnation of an agent and of the
// minion beside it.
type agent struct {
	key Agent
	// link is the open link; 0 for none.
	link uint64
	// detached is when the last link ended; zero while one is open.
	detached time.Time
	minion   work.Minion
	usable   bool
	leaving  bool
	load     work.Load
	// runs are this entry's, placed and not ended, and takes is the time that
	// they were expected to take, added up.
	runs  map[work.Run]*task
	takes time.Duration
	// unheard is the room of the runs that the load does not include yet, and
	// unheardTakes their part of takes.
	unheard      work.Room
	unheardTakes time.Duration
	// sent counts the orders of the open link, and pending are those that the
	// load does not include yet, as they were sent.
	sent    uint64
	pending []pending
	// stopping are runs that were told to stop and have not ended.
	stopping map[work.Run]work.Room
	// acked is the newest end that was used, and ackTold what the link was told.
	acked, ackTold uint64
	// avoid is when the agent may be given work again after a refusal.
	avoid time.Time
	conduct
}

// pending is an order that the agent has not been heard of.
type pending struct {
	task *task
	run  work.Run
	// sent is the order's number on its link.
	sent uint64
}

// LinkOpened brings the greeting of an agent.
type LinkOpened struct {
	Agent Agent
	Link  uint64
	// Reports name all runs that the agent holds for this entry.
	Reports []work.Report
	Minion  work.Minion
	Usable  bool
	Leaving bool
	Load    work.Load
}

// LinkClosed tells of the end of a link.
type LinkClosed struct {
	Agent Agent
	Link  uint64
}

// Reported brings a later frame of an agent.
type Reported struct {
	Agent   Agent
	Link    uint64
	Reports []work.Report
	// Load is nil when it has not changed. Taken counts the orders of the link
	// that it includes.
	Load  *work.Load
	Taken uint64
	// Minion is nil when it has not changed; Usable and Leaving go with it.
	Minion  *work.Minion
	Usable  bool
	Leaving bool
}

func (ev LinkOpened) apply(c *Core, now time.Time) {
	a := c.agents[ev.Agent]
	if a == nil {
		a = &agent{key: ev.Agent, runs: make(map[work.Run]*task), stopping: make(map[work.Run]work.Room)}
		c.addAgent(a)
	}
	if ev.Link < a.link {
		return
	}
	a.link, a.detached, a.load = ev.Link, time.Time{}, ev.Load
	c.describe(now, a, ev.Minion, ev.Usable, ev.Leaving)
	held := make(map[work.Run]bool, len(ev.Reports))
	for _, report := range ev.Reports {
		held[report.Run] = true
		c.takeReport(now, a, report)
	}
	a.sent, a.pending, a.ackTold = 0, nil, 0
	for _, t := range sortedTasks(a.runs) {
		a.hear(t)
		if !held[t.run()] {
			// The order never arrived, and the link that it was written to is closed.
			c.takeReport(now, a, work.Report{Run: t.run(), State: work.Refused, Reason: work.ReasonUnstarted})
		}
	}
	for _, run := range slices.SortedFunc(maps.Keys(a.stopping), work.Compare) {
		if held[run] {
			c.emit(Stop{Agent: a.key, Link: a.link, Run: run})
		} else {
			delete(a.stopping, run)
		}
	}
	c.acknowledge(a)
	c.changed = true
	c.emit(Note{Text: "Met an agent", Agent: a.key, Inputs: []any{
		"minion", a.minion.Name, "incarnation", a.minion.Incarnation, "usable", a.usable, "held", len(ev.Reports),
	}})
}

func (ev LinkClosed) apply(c *Core, now time.Time) {
	a := c.agents[ev.Agent]
	if a == nil || a.link != ev.Link {
		return
	}
	a.link, a.detached = 0, now
	c.emit(Note{Text: "Lost the link to an agent", Agent: a.key, Inputs: []any{"runs", len(a.runs)}})
}

func (ev Reported) apply(c *Core, now time.Time) {
	a := c.agents[ev.Agent]
	if a == nil || a.link != ev.Link {
		return
	}
	for _, report := range ev.Reports {
		c.takeReport(now, a, report)
	}
	if ev.Load != nil {
		a.load = *ev.Load
		a.hearUpTo(ev.Taken)
		c.changed = true
	}
	if ev.Minion != nil {
		c.describe(now, a, *ev.Minion, ev.Usable, ev.Leaving)
	}
	c.acknowledge(a)
}

// add notes a task that was placed here.
func (a *agent) add(t *task) {
	a.runs[t.order.Run] = t
	a.takes += t.takes
	a.unheard = a.unheard.Plus(t.order.Room)
	a.unheardTakes += t.takes
	a.sent++
	a.pending = append(a.pending, pending{task: t, run: t.order.Run, sent: a.sent})
}

// hearUpTo notes that the load includes the orders up to a number.
func (a *agent) hearUpTo(taken uint64) {
	for len(a.pending) > 0 && a.pending[0].sent <= taken {
		if p := a.pending[0]; a.runs[p.run] == p.task {
			a.hear(p.task)
		}
		a.pending = a.pending[1:]
	}
}

// hear notes that the load includes a task.
func (a *agent) hear(t *task) {
	if t.heard {
		return
	}
	t.heard = true
	a.unheard = a.unheard.Minus(t.order.Room)
	a.unheardTakes -= t.takes
}

// remove forgets a task whose run has ended, or is being stopped.
func (a *agent) remove(t *task) {
	a.hear(t)
	delete(a.runs, t.order.Run)
	a.takes -= t.takes
}

// serves reports whether the agent may be given work, now or in a moment.
func (a *agent) serves() bool { return a.link != 0 && a.usable && !a.leaving && !a.minion.Draining }

// describe takes what an agent says of its minion. An agent that lists its
// minion's runs has stopped those of earlier agents, so theirs are lost.
func (c *Core) describe(now time.Time, a *agent, m work.Minion, usable, leaving bool) {
	if m.Name != a.minion.Name || m.Incarnation != a.minion.Incarnation {
		a.conduct = conduct{}
	}
	a.minion, a.usable, a.leaving = m, usable, leaving
	c.changed = true
	if !usable {
		return
	}
	for _, o := range slices.Clone(c.ordered) {
		if o.key.Name == a.key.Name && o.key.Incarnation < a.key.Incarnation {
			c.loseRuns(now, o, "its agent was replaced")
			c.dropAgent(o)
		}
	}
}

// loseRuns takes all runs at an agent for lost.
func (c *Core) loseRuns(now time.Time, a *agent, reason work.Reason) {
	for _, t := range sortedTasks(a.runs) {
		c.takeReport(now, a, work.Report{Run: t.run(), State: work.Lost, Reason: reason})
	}
	clear(a.stopping)
}

// expireAgents takes the runs at agents for lost that have been away so long
// that nothing of them can be at work.
func (c *Core) expireAgents(now time.Time) {
	var forgotten []*agent
	for _, a := range c.ordered {
		if a.detached.IsZero() {
			continue
		}
		away := now.Sub(a.detached)
		if away > c.o.DetachedLoss && len(a.runs) > 0 {
			c.loseRuns(now, a, "its agent is away")
		}
		if away > forgetAgents && len(a.runs) == 0 {
			forgotten = append(forgotten, a)
		}
	}
	for _, a := range forgotten {
		c.dropAgent(a)
	}
}

func (c *Core) acknowledge(a *agent) {
	if a.acked > a.ackTold && a.link != 0 {
		a.ackTold = a.acked
		c.emit(Acknowledge{Agent: a.key, Link: a.link, Acked: a.acked})
	}
}

// takeReport uses what an agent says of a run.
func (c *Core) takeReport(now time.Time, a *agent, report work.Report) {
	if report.Number > a.acked {
		a.acked = report.Number
	}
	t := a.runs[report.Run]
	if t == nil {
		c.takeStranger(a, report)
		return
	}
	c.changed = true
	if !report.State.Ended() {
		if report.Left > 0 {
			c.projected(now, a, t, report)
		}
		return
	}
	a.remove(t)
	t.at = nil
	c.emit(Note{
		Text: "A run ended", Job: t.job.ID, Run: report.Run, Agent: a.key, State: report.State, Reason: string(report.Reason),
		Inputs: []any{"took", report.Took, "since-placed", now.Sub(t.placedAt)},
	})
	switch report.State {
	case work.Done:
		c.taskDone(now, a, t, report)
	case work.Failed:
		c.taskFailed(now, a, t)
	default:
		c.taskReturned(now, a, t, report)
	}
}

// takeStranger takes a report on a run that the entry does not wait for.
func (c *Core) takeStranger(a *agent, report work.Report) {
	if report.State.Ended() {
		delete(a.stopping, report.Run)
		return
	}
	if _, told := a.stopping[report.Run]; !told && a.link != 0 {
		a.stopping[report.Run] = work.Room{}
		c.emit(Stop{Agent: a.key, Link: a.link, Run: report.Run})
	}
}

func (c *Core) taskDone(now time.Time, a *agent, t *task, report work.Report) {
	t.done = true
	a.succeeded()
	t.job.shown(a.soundWork(report.Took))
	if t.job.Hint <= 0 {
		c.works.learn(t.job.Route, a.soundWork(report.Took))
	}
	t.job.left--
	if t.job.left == 0 {
		c.finish(now, t.job, work.Succeeded, "")
	}
}

func (c *Core) taskFailed(now time.Time, a *agent, t *task) {
	t.failures++
	if !t.job.failsElsewhere(a.minion.Name) {
		a.failed(now)
	}
	t.failedAt = append(t.failedAt, a.minion.Name)
	if t.failures >= t.job.Attempts {
		c.finish(now, t.job, work.Exhausted, "a task failed as often as its route allows")
		return
	}
	c.wait(t)
}

// failsElsewhere reports whether tasks of the job have failed at another minion,
// so that the fault is likely the job's own.
func (j *job) failsElsewhere(minion string) bool {
	for _, t := range j.tasks {
		for _, name := range t.failedAt {
			if name != minion {
				return true
			}
		}
	}
	return false
}

// taskReturned takes a run that ended without a verdict on the task.
func (c *Core) taskReturned(now time.Time, a *agent, t *task, report work.Report) {
	if report.State == work.Refused || report.Reason == work.ReasonUnstarted {
		t.job.doubts--
		t.job.begun = t.job.doubts > 0
	}
	switch report.Reason {
	case work.ReasonOld:
		t.number += oldStride
	case work.ReasonLate:
		if !c.canEnd(now, t.job, time.Duration(leastPart*float64(t.job.expected))) {
			c.giveUp(now, t.job, "its tasks can't end before the deadline")
			return
		}
	case work.ReasonUnhealthy:
		a.failed(now)
		a.avoid = now.Add(avoidUnhealthy)
	case work.ReasonUnreachable, work.ReasonLeaving, work.ReasonMalformed:
		a.avoid = now.Add(avoidUnreachable)
	case work.ReasonCrowded:
		a.avoid = now.Add(avoidCrowded)
	case work.ReasonBusy:
		a.avoid = now.Add(avoidBusy)
	}
	c.wait(t)
}
