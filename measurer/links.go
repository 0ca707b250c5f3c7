package measurer

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

const (
	// minRetryDelay and maxRetryDelay bound the backoff between attempts of a
	// call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// ownerCheckInterval is the interval at which an entry checks that the owner
	// of a job, whose answer it awaits, is still running.
	ownerCheckInterval = 400 * time.Millisecond
)

// openLink connects an entry to the present incarnation of an agent.
func (e *entryNode) openLink(a *agentNode) {
	if !e.alive || !a.alive {
		return
	}
	l := e.links[a.self.Name]
	if l == nil {
		l = &link{}
		e.links[a.self.Name] = l
	}
	l.generation++
	l.peer, l.open, l.silent = a.self, true, false
	a.step(runner.LinkOpened{Entry: e.self})
}

// closeLink closes the connection from the entry's end; only the agent is
// notified.
func (e *entryNode) closeLink(a *agentNode) {
	l := e.links[a.self.Name]
	if l == nil || !l.open {
		return
	}
	l.open = false
	l.generation++
	self := e.self
	e.world.after(e.latency(a), a.guard(func() { a.step(runner.LinkClosed{Entry: self}) }))
}

// breakLink closes the connection because the agent died; only the entry is
// notified.
func (e *entryNode) breakLink(a *agentNode) {
	l := e.links[a.self.Name]
	if l == nil || !l.open {
		return
	}
	l.open = false
	l.generation++
	e.stepAfter(e.latency(a), dispatcher.LinkLost{Agent: a.self})
}

// silenceLink makes a link drop every frame until the entry's silence timeout
// closes it and opens another.
func (e *entryNode) silenceLink(a *agentNode) {
	l := e.links[a.self.Name]
	l.silent = true
	generation := l.generation
	e.world.after(linkSilenceTimeout, e.guard(func() {
		if l.generation != generation {
			return
		}
		l.open = false
		l.generation++
		e.step(dispatcher.LinkLost{Agent: a.self})
		e.world.after(reopenDelay, e.guard(func() { e.openLink(a) }))
	}))
}

// settle asks an agent for the state of attempts over a new connection.
func (e *entryNode) settle(c dispatcher.Settle) {
	deadline := e.world.now
	for _, s := range c.Attempts {
		if s.Deadline.After(deadline) {
			deadline = s.Deadline
		}
	}
	e.tryCall(agentCall{
		peer: c.Agent, deadline: deadline, retryDelay: minRetryDelay,
		newEvent: func(t runner.Ticket) runner.Event { return runner.SettleRequested{Ticket: t, Attempts: c.Attempts} },
		done: func(reports []task.Report) {
			e.step(dispatcher.Settled{Agent: c.Agent.Process, Reports: reports})
		},
		failed: func(gone bool) {
			e.step(dispatcher.SettleFailed{Agent: c.Agent.Process, Gone: gone, Attempts: c.Attempts})
		},
	})
}

// fence asks an agent to refuse starts of a job from its earlier owners.
func (e *entryNode) fence(c dispatcher.Fence) {
	e.tryCall(agentCall{
		peer: c.Agent, deadline: c.Deadline, retryDelay: minRetryDelay,
		newEvent: func(t runner.Ticket) runner.Event { return runner.FenceRequested{Ticket: t, Fence: c} },
		done: func(reports []task.Report) {
			e.step(dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process, Reports: reports})
		},
		failed: func(bool) {
			e.step(dispatcher.FenceFailed{Job: c.Job, Agent: c.Agent.Process})
		},
	})
}

// agentCall is a call to an agent. It is retried with exponential backoff until
// it is answered, the agent's incarnation is known to have ended, or the
// deadline passes.
type agentCall struct {
	peer       dispatcher.Peer
	deadline   time.Time
	retryDelay time.Duration
	newEvent   func(runner.Ticket) runner.Event
	done       func([]task.Report)
	failed     func(gone bool)
}

// tryCall makes one attempt of a call over a new connection, which takes a
// round trip to open.
func (e *entryNode) tryCall(q agentCall) {
	a := e.world.agentByAddress(q.peer.Address)
	e.world.meter.inquirySent()
	latency := e.latency(a)
	afterLatency := func(act func()) { e.world.after(latency, e.guard(act)) }
	e.world.after(3*latency, func() {
		switch {
		case !a.alive:
			afterLatency(func() { e.retryCall(q) })
		case a.self != q.peer.Process:
			afterLatency(func() { q.failed(true) })
		default:
			a.requestReports(q.newEvent, func(reports []task.Report, ok bool) {
				afterLatency(func() {
					if ok {
						q.done(reports)
					} else {
						q.failed(false)
					}
				})
			})
		}
	})
}

// retryCall repeats a call after its retry delay, if the deadline allows it.
func (e *entryNode) retryCall(q agentCall) {
	if !e.world.now.Add(q.retryDelay).Before(q.deadline) {
		q.failed(false)
		return
	}
	delay := q.retryDelay
	q.retryDelay = min(2*delay, maxRetryDelay)
	e.world.after(delay, e.guard(func() { e.tryCall(q) }))
}

// askOwner asks the entry that owns a job for its answer.
func (e *entryNode) askOwner(c dispatcher.AskOwner) {
	w := e.world
	job := c.Claim.Job
	owner := w.liveEntry(c.Claim.Owner)
	if owner == nil {
		e.stepAfter(ownerCheckInterval, dispatcher.OwnerLost{Job: job})
		return
	}
	latency := w.deployment.latency(e.zone, owner.zone)
	answered := false
	respond := func(r dispatcher.Reply) {
		w.after(latency, e.guard(func() {
			answered = true
			e.step(dispatcher.OwnerAnswered{Job: job, Known: r.Known, Answer: r.Answer})
		}))
	}
	w.after(latency, func() {
		if owner.alive && owner.self == c.Claim.Owner {
			owner.receiveOwnerQuery(c, respond)
		}
	})
	e.watchOwner(c, &answered)
}

// receiveOwnerQuery passes another entry's query to the core.
func (e *entryNode) receiveOwnerQuery(c dispatcher.AskOwner, asker func(dispatcher.Reply)) {
	e.lastTicket++
	e.waiters[e.lastTicket] = &waiter{respond: asker}
	e.step(dispatcher.AnswerRequested{
		Ticket: e.lastTicket, Team: c.Claim.Team, Job: c.Claim.Job,
		Digest: c.Claim.Digest, Deadline: c.Deadline,
	})
}

// watchOwner checks repeatedly whether the owner died before it answered.
func (e *entryNode) watchOwner(c dispatcher.AskOwner, answered *bool) {
	e.world.after(ownerCheckInterval, e.guard(func() {
		if *answered || e.world.now.After(c.Deadline) {
			return
		}
		if e.world.liveEntry(c.Claim.Owner) == nil {
			*answered = true
			e.step(dispatcher.OwnerLost{Job: c.Claim.Job})
			return
		}
		e.watchOwner(c, answered)
	}))
}
