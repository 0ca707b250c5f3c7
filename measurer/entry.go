package measurer

import (
	"net/netip"
	"slices"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

const (
	// linkSilenceTimeout is the time without frames after which an entry closes a
	// link.
	linkSilenceTimeout = 500 * time.Millisecond
	// reopenDelay is the time until an entry opens a link again.
	reopenDelay = 100 * time.Millisecond
	// maxQueuedTasks caps the waiting tasks of an entry.
	maxQueuedTasks = 20_000
	// answerRetention is the time for which an entry keeps answers for
	// resubmissions.
	answerRetention = 2 * time.Minute
	// maxAnswerBytes caps the size of the kept answers.
	maxAnswerBytes = 1 << 28
)

// entryNode is one entry with its shipped core.
type entryNode struct {
	world   *world
	self    task.Process
	address netip.AddrPort
	zone    string
	index   int
	core    *dispatcher.Core
	claims  *claimDriver
	alarm   wakeTimer
	alive   bool
	// ready is false while the platform's load balancer sends it no callers.
	ready bool
	// links holds the link to each agent, by the agent's name.
	links map[string]*link
	// waiters holds the callers and entries that wait for a reply.
	waiters    map[dispatcher.Ticket]*waiter
	lastTicket dispatcher.Ticket
	// earlierCounters is the sum of the counters of earlier incarnations.
	earlierCounters dispatcher.Counters
}

// link is the connection from an entry to an agent.
type link struct {
	// peer is the incarnation of the agent at the other end.
	peer task.Process
	// generation distinguishes frames of this connection from those of earlier
	// ones, which are dropped.
	generation int
	open       bool
	// silent drops every frame in both directions without closing the link.
	silent bool
}

// waiter is a caller's submission or, if respond is set, another entry's query
// that awaits a reply.
type waiter struct {
	submission *submission
	respond    func(dispatcher.Reply)
}

func newEntryNode(w *world, i int) *entryNode {
	e := &entryNode{
		world: w, index: i, address: processAddress(1, i), zone: w.deployment.zone(i),
		self:  task.Process{Name: processName("entry", i)},
		links: make(map[string]*link),
	}
	e.boot()
	return e
}

// boot starts a new incarnation of the entry, without any state.
func (e *entryNode) boot() {
	w := e.world
	e.self = nextIncarnation(e.self)
	random := w.randomStream(entryStream, e.index+1<<8*int(e.self.Incarnation))
	e.core = dispatcher.New(dispatcher.Options{
		Self: e.self, Address: e.address, Zone: e.zone,
		QueueTasks: maxQueuedTasks, KeepAnswers: answerRetention, KeepBytes: maxAnswerBytes,
		Random:  random,
		Chooser: w.policy.newChooser(balancer.Options{Zone: e.zone, QueueLimit: w.tuning.EntryQueue, Random: random}, e.hasLink),
	})
	e.claims = newClaimDriver(e, random)
	e.alarm = wakeTimer{loop: w.loop}
	e.waiters = make(map[dispatcher.Ticket]*waiter)
	e.alive, e.ready = true, true
	for _, a := range w.agents {
		if a.alive {
			w.after(e.latency(a), func() { e.openLink(a) })
		}
	}
}

// kill ends the process abruptly: its callers and agents lose their
// connections.
func (e *entryNode) kill() {
	w := e.world
	e.alive, e.ready = false, false
	e.earlierCounters = sumCounters(e.earlierCounters, e.core.Counters())
	e.core = nil
	for _, a := range w.agents {
		e.closeLink(a)
	}
	for _, t := range sortedTickets(e.waiters) {
		s := e.waiters[t].submission
		if s != nil {
			w.after(w.deployment.ClientLatency, func() { w.callers.connectionLost(s) })
		}
	}
	e.waiters = nil
}

// drain asks the core to finish its work, and ends the process once it is idle.
func (e *entryNode) drain() {
	e.step(dispatcher.DrainRequested{})
	e.killWhenIdle()
}

func (e *entryNode) killWhenIdle() {
	if e.core.Idle() {
		e.kill()
		return
	}
	e.world.after(idlePollInterval, e.guard(e.killWhenIdle))
}

func (e *entryNode) counters() dispatcher.Counters {
	if !e.alive {
		return e.earlierCounters
	}
	return sumCounters(e.earlierCounters, e.core.Counters())
}

func (e *entryNode) guard(action func()) func() {
	incarnation := e.self
	return func() {
		if e.alive && e.self == incarnation {
			action()
		}
	}
}

// latency returns the one-way latency between the entry and an agent.
func (e *entryNode) latency(a *agentNode) time.Duration {
	return e.world.deployment.latency(e.zone, a.zone)
}

// step passes an event to the core and executes the resulting commands.
func (e *entryNode) step(ev dispatcher.Event) {
	commands := e.core.Step(e.world.now, ev)
	if e.world.injected.entryCommands != nil {
		commands = e.world.injected.entryCommands(commands)
	}
	for _, command := range commands {
		e.execute(command)
	}
	e.claims.sendDue()
	e.alarm.set(e.core.NextWake(), e.guard(func() { e.step(dispatcher.Tick{}) }))
}

// stepAfter passes an event to the core after a delay.
func (e *entryNode) stepAfter(d time.Duration, ev dispatcher.Event) {
	e.world.after(d, e.guard(func() { e.step(ev) }))
}

func (e *entryNode) execute(command dispatcher.Command) {
	switch c := command.(type) {
	case dispatcher.Reply:
		e.reply(c)
	case dispatcher.WriteClaim:
		e.claims.insert(c)
	case dispatcher.ReplaceClaim:
		e.claims.replace(c)
	case dispatcher.AskOwner:
		e.askOwner(c)
	case dispatcher.Fence:
		e.fence(c)
	case dispatcher.SendStart:
		e.sendStart(c)
	case dispatcher.Cancel:
		e.sendFrame(c.Agent, runner.Cancelled{Task: c.Ref.Task, Attempt: c.Ref.Attempt})
	case dispatcher.Acknowledge:
		e.sendFrame(c.Agent, runner.Acknowledged{Task: c.Ref.Task, Attempt: c.Ref.Attempt})
	case dispatcher.Settle:
		e.settle(c)
	}
}

func (e *entryNode) reply(r dispatcher.Reply) {
	t := e.waiters[r.Ticket]
	if t == nil {
		return
	}
	delete(e.waiters, r.Ticket)
	if t.respond != nil {
		t.respond(r)
		return
	}
	w := e.world
	w.after(w.deployment.ClientLatency+w.injected.replyDelay, func() { w.callers.replyReceived(t.submission, r.Answer) })
}

// admit passes a submission to the core.
func (e *entryNode) admit(s *submission) {
	e.lastTicket++
	s.ticket = e.lastTicket
	e.waiters[s.ticket] = &waiter{submission: s}
	e.step(dispatcher.Submitted{Submission: s.toDispatcher()})
}

// withdraw notifies the core that a caller has disconnected.
func (e *entryNode) withdraw(s *submission) {
	if e.waiters[s.ticket] == nil {
		return
	}
	delete(e.waiters, s.ticket)
	e.world.verifier.Withdrawn(e.world.now, &s.work.Job, e.self.Name)
	if !e.world.injected.ignoreWithdrawal {
		e.step(dispatcher.WaitCancelled{Ticket: s.ticket})
	}
}

// sendStart sends a start over the link to the agent. Without a link the start
// never leaves the entry and is refused as unsent.
func (e *entryNode) sendStart(c dispatcher.SendStart) {
	e.world.verifier.Sent(e.world.now, c.Start, e.self.Name, c.Agent.Process.Name)
	if !e.sendFrame(c.Agent, runner.StartReceived{From: e.self, Start: c.Start}) {
		report := task.Report{
			Task: c.Start.Task, Attempt: c.Start.Attempt,
			State: task.Unstarted, Refusal: task.Unsent,
		}
		e.world.meter.startRefused(task.Unsent)
		e.stepAfter(0, dispatcher.Refused{Agent: c.Agent.Process, Report: report})
	}
}

// hasLink reports whether there is an open link to this incarnation of an
// agent.
func (e *entryNode) hasLink(id task.Process) bool {
	l := e.links[id.Name]
	return l != nil && l.open && l.peer == id
}

// sendFrame sends an event to one incarnation of an agent and returns false if
// there is no link.
func (e *entryNode) sendFrame(to dispatcher.Peer, ev runner.Event) bool {
	a := e.world.agentByAddress(to.Address)
	if !e.hasLink(to.Process) {
		return false
	}
	l := e.links[a.self.Name]
	generation := l.generation
	e.world.after(e.latency(a), func() {
		if !a.alive || a.self != to.Process || l.generation != generation {
			return
		}
		if l.silent {
			e.world.meter.frameToAgentDropped(ev)
			return
		}
		a.step(ev)
	})
	return true
}

// receiveFrame delivers the events of a frame that an agent sends now.
func (e *entryNode) receiveFrame(a *agentNode, events []dispatcher.Event) {
	l := e.links[a.self.Name]
	if l == nil || !l.open {
		return
	}
	generation := l.generation
	e.world.after(e.latency(a), e.guard(func() {
		if l.generation != generation {
			return
		}
		if l.silent {
			e.world.meter.frameFromAgentDropped(events)
			return
		}
		for _, ev := range events {
			e.step(ev)
		}
	}))
}

func sortedTickets(tickets map[dispatcher.Ticket]*waiter) []dispatcher.Ticket {
	list := make([]dispatcher.Ticket, 0, len(tickets))
	for t := range tickets {
		list = append(list, t)
	}
	slices.Sort(list)
	return list
}
