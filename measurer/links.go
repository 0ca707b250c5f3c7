package measurer

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

const (
	// minRetryDelay and lastRetry bound the pause between two tries of a call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// ownerCheckInterval is how long an entry waits for a dead owner to speak.
	ownerCheckInterval = 400 * time.Millisecond
)

// openLink connects an entry to the present run of an agent.
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

// closeLink ends the connection; the agent notices.
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

// breakLink ends the connection because the agent died; the entry notices.
func (e *entryNode) breakLink(a *agentNode) {
	l := e.links[a.self.Name]
	if l == nil || !l.open {
		return
	}
	l.open = false
	l.generation++
	e.stepAfter(e.latency(a), dispatcher.LinkLost{Agent: a.self})
}

// silenceLink makes a connection drop every frame until the entry gives it up and
// opens another.
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

// settle asks an agent about attempts over a new connection.
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

// fence asks an agent to refuse the starts of older owners.
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

// agentCall is a call to an agent that is repeated until it is answered, the
// agent's run is known to have ended, or the deadline passes.
type agentCall struct {
	peer       dispatcher.Peer
	deadline   time.Time
	retryDelay time.Duration
	newEvent   func(runner.Ticket) runner.Event
	done       func([]task.Report)
	failed     func(gone bool)
}

// tryCall makes one try over a new connection, which takes a round trip to open.
func (e *entryNode) tryCall(q agentCall) {
	a := e.world.agentByAddress(q.peer.Address)
	e.world.meter.inquirySent()
	distance := e.latency(a)
	back := func(act func()) { e.world.after(distance, e.guard(act)) }
	e.world.after(3*distance, func() {
		switch {
		case !a.alive:
			back(func() { e.retryCall(q) })
		case a.self != q.peer.Process:
			back(func() { q.failed(true) })
		default:
			a.requestReports(q.newEvent, func(reports []task.Report, ok bool) {
				back(func() {
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

// retryCall repeats a call after a pause.
func (e *entryNode) retryCall(q agentCall) {
	if !e.world.now.Add(q.retryDelay).Before(q.deadline) {
		q.failed(false)
		return
	}
	pause := q.retryDelay
	q.retryDelay = min(2*pause, maxRetryDelay)
	e.world.after(pause, e.guard(func() { e.tryCall(q) }))
}

// askOwner asks another entry for the answer of a job.
func (e *entryNode) askOwner(c dispatcher.AskOwner) {
	w := e.world
	job := c.Claim.Job
	owner := w.liveEntry(c.Claim.Owner)
	if owner == nil {
		e.stepAfter(ownerCheckInterval, dispatcher.OwnerLost{Job: job})
		return
	}
	distance := w.deployment.latency(e.zone, owner.zone)
	answered := false
	respond := func(r dispatcher.Reply) {
		w.after(distance, e.guard(func() {
			answered = true
			e.step(dispatcher.OwnerAnswered{Job: job, Known: r.Known, Answer: r.Answer})
		}))
	}
	w.after(distance, func() {
		if owner.alive && owner.self == c.Claim.Owner {
			owner.receiveOwnerQuery(c, respond)
		}
	})
	e.watchOwner(c, &answered)
}

// receiveOwnerQuery hands another entry's question to the core.
func (e *entryNode) receiveOwnerQuery(c dispatcher.AskOwner, asker func(dispatcher.Reply)) {
	e.lastTicket++
	e.waiters[e.lastTicket] = &waiter{respond: asker}
	e.step(dispatcher.AnswerRequested{
		Ticket: e.lastTicket, Team: c.Claim.Team, Job: c.Claim.Job,
		Digest: c.Claim.Digest, Deadline: c.Deadline,
	})
}

// watchOwner notices that an owner died while its answer was awaited.
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
