package measurer

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

const (
	// firstRetry and lastRetry bound the pause between two tries of a call.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// ownerSilence is how long an entry waits for a dead owner to speak.
	ownerSilence = 400 * time.Millisecond
)

// open connects an entry to the present run of an agent.
func (e *entryNode) open(a *agentNode) {
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
	e.world.after(e.distance(a), a.guard(func() { a.step(runner.LinkClosed{Entry: self}) }))
}

// breakLink ends the connection because the agent died; the entry notices.
func (e *entryNode) breakLink(a *agentNode) {
	l := e.links[a.self.Name]
	if l == nil || !l.open {
		return
	}
	l.open = false
	l.generation++
	e.later(e.distance(a), dispatcher.LinkLost{Agent: a.self})
}

// silence makes a connection drop every frame until the entry gives it up and
// opens another.
func (e *entryNode) silence(a *agentNode) {
	l := e.links[a.self.Name]
	l.silent = true
	generation := l.generation
	e.world.after(silentAfter, e.guard(func() {
		if l.generation != generation {
			return
		}
		l.open = false
		l.generation++
		e.step(dispatcher.LinkLost{Agent: a.self})
		e.world.after(reopenAfter, e.guard(func() { e.open(a) }))
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
	e.call(inquiry{
		peer: c.Agent, deadline: deadline, pause: firstRetry,
		event: func(t runner.Ticket) runner.Event { return runner.SettleRequested{Ticket: t, Attempts: c.Attempts} },
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
	e.call(inquiry{
		peer: c.Agent, deadline: c.Deadline, pause: firstRetry,
		event: func(t runner.Ticket) runner.Event { return runner.FenceRequested{Ticket: t, Fence: c} },
		done: func(reports []task.Report) {
			e.step(dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process, Reports: reports})
		},
		failed: func(bool) {
			e.step(dispatcher.FenceFailed{Job: c.Job, Agent: c.Agent.Process})
		},
	})
}

// inquiry is a call to an agent that is repeated until it is answered, the
// agent's run is known to have ended, or the deadline passes.
type inquiry struct {
	peer     dispatcher.Peer
	deadline time.Time
	pause    time.Duration
	event    func(runner.Ticket) runner.Event
	done     func([]task.Report)
	failed   func(gone bool)
}

// call makes one try over a new connection, which takes a round trip to open.
func (e *entryNode) call(q inquiry) {
	a := e.world.agentAt(q.peer.Address)
	e.world.meter.inquired()
	distance := e.distance(a)
	back := func(act func()) { e.world.after(distance, e.guard(act)) }
	e.world.after(3*distance, func() {
		switch {
		case !a.alive:
			back(func() { e.again(q) })
		case a.self != q.peer.Process:
			back(func() { q.failed(true) })
		default:
			a.ask(q.event, func(reports []task.Report, ok bool) {
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

// again repeats a call after a pause.
func (e *entryNode) again(q inquiry) {
	if !e.world.now.Add(q.pause).Before(q.deadline) {
		q.failed(false)
		return
	}
	pause := q.pause
	q.pause = min(2*pause, lastRetry)
	e.world.after(pause, e.guard(func() { e.call(q) }))
}

// askOwner asks another entry for the answer of a job.
func (e *entryNode) askOwner(c dispatcher.AskOwner) {
	w := e.world
	job := c.Claim.Job
	owner := w.entryOf(c.Claim.Owner)
	if owner == nil {
		e.later(ownerSilence, dispatcher.OwnerLost{Job: job})
		return
	}
	distance := w.deployment.latency(e.zone, owner.zone)
	answered := false
	asker := func(r dispatcher.Reply) {
		w.after(distance, e.guard(func() {
			answered = true
			e.step(dispatcher.OwnerAnswered{Job: job, Known: r.Known, Answer: r.Answer})
		}))
	}
	w.after(distance, func() {
		if owner.alive && owner.self == c.Claim.Owner {
			owner.asked(c, asker)
		}
	})
	e.watchOwner(c, &answered)
}

// asked hands another entry's question to the core.
func (e *entryNode) asked(c dispatcher.AskOwner, asker func(dispatcher.Reply)) {
	e.last++
	e.tickets[e.last] = &ticket{asker: asker}
	e.step(dispatcher.AnswerRequested{
		Ticket: e.last, Team: c.Claim.Team, Job: c.Claim.Job,
		Digest: c.Claim.Digest, Deadline: c.Deadline,
	})
}

// watchOwner notices that an owner died while its answer was awaited.
func (e *entryNode) watchOwner(c dispatcher.AskOwner, answered *bool) {
	e.world.after(ownerSilence, e.guard(func() {
		if *answered || e.world.now.After(c.Deadline) {
			return
		}
		if e.world.entryOf(c.Claim.Owner) == nil {
			*answered = true
			e.step(dispatcher.OwnerLost{Job: c.Claim.Job})
			return
		}
		e.watchOwner(c, answered)
	}))
}
