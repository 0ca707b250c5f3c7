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
	// silentAfter is when an entry gives up a link that brings no frame.
	silentAfter = 500 * time.Millisecond
	// reopenAfter is the pause between two links to one agent.
	reopenAfter = 100 * time.Millisecond
	// queueTasks caps the waiting tasks of an entry.
	queueTasks = 20_000
	// keepAnswers is how long an entry keeps answers for resubmissions.
	keepAnswers = 2 * time.Minute
	// keepBytes caps them.
	keepBytes = 1 << 28
)

// entryNode is one entry and its shipped core.
type entryNode struct {
	world   *world
	self    task.Process
	address netip.AddrPort
	zone    string
	index   int
	core    *dispatcher.Core
	claims  *claims
	alarm   alarm
	alive   bool
	// ready is false while the platform's balancer sends it no callers.
	ready bool
	// links holds one link per agent, by name.
	links map[string]*link
	// tickets holds the callers and entries that wait.
	tickets map[dispatcher.Ticket]*ticket
	last    dispatcher.Ticket
	// before sums the counters of earlier incarnations.
	before dispatcher.Counters
}

// link is the connection of an entry to an agent.
type link struct {
	// peer is the run of the agent at the other end.
	peer task.Process
	// generation tells frames of an earlier connection from those of this one.
	generation int
	open       bool
	// silent drops every frame in both directions.
	silent bool
}

// ticket is one submission, or another entry's question.
type ticket struct {
	submission *submission
	asker      func(dispatcher.Reply)
}

func newEntryNode(w *world, i int) *entryNode {
	e := &entryNode{
		world: w, index: i, address: address(1, i), zone: w.deployment.zone(i),
		self:  task.Process{Name: processName("entry", i)},
		links: make(map[string]*link),
	}
	e.begin()
	return e
}

// begin starts a new incarnation of the entry, which knows nothing.
func (e *entryNode) begin() {
	w := e.world
	e.self = nextIncarnation(e.self)
	random := w.stream(entryStream, e.index+1<<8*int(e.self.Incarnation))
	e.core = dispatcher.New(dispatcher.Options{
		Self: e.self, Address: e.address, Zone: e.zone,
		QueueTasks: queueTasks, KeepAnswers: keepAnswers, KeepBytes: keepBytes,
		Random:  random,
		Chooser: w.policy.chooser(balancer.Options{Zone: e.zone, QueueLimit: w.tuning.EntryQueue, Random: random}, e.linked),
	})
	e.claims = newClaims(e, random)
	e.alarm = alarm{loop: w.loop}
	e.tickets = make(map[dispatcher.Ticket]*ticket)
	e.alive, e.ready = true, true
	for _, a := range w.agents {
		if a.alive {
			w.after(e.distance(a), func() { e.open(a) })
		}
	}
}

// kill ends the process at once: its callers and agents lose their connections.
func (e *entryNode) kill() {
	w := e.world
	e.alive, e.ready = false, false
	e.before = sumCounters(e.before, e.core.Counters())
	e.core = nil
	for _, a := range w.agents {
		e.closeLink(a)
	}
	for _, t := range sortedTickets(e.tickets) {
		s := e.tickets[t].submission
		if s != nil {
			w.after(w.deployment.ClientLatency, func() { w.callers.broken(s) })
		}
	}
	e.tickets = nil
}

// drain asks the core to finish what it has, and ends the process then.
func (e *entryNode) drain() {
	e.step(dispatcher.DrainRequested{})
	e.stopWhenIdle()
}

func (e *entryNode) stopWhenIdle() {
	if e.core.Idle() {
		e.kill()
		return
	}
	e.world.after(idlePoll, e.guard(e.stopWhenIdle))
}

func (e *entryNode) counters() dispatcher.Counters {
	if !e.alive {
		return e.before
	}
	return sumCounters(e.before, e.core.Counters())
}

func (e *entryNode) guard(act func()) func() {
	incarnation := e.self
	return func() {
		if e.alive && e.self == incarnation {
			act()
		}
	}
}

// distance is the time of one message between the entry and an agent.
func (e *entryNode) distance(a *agentNode) time.Duration {
	return e.world.deployment.latency(e.zone, a.zone)
}

// step lets the core see an event and does what it commands.
func (e *entryNode) step(ev dispatcher.Event) {
	commands := e.core.Step(e.world.now, ev)
	if e.world.tamper.entryCommands != nil {
		commands = e.world.tamper.entryCommands(commands)
	}
	for _, command := range commands {
		e.do(command)
	}
	e.claims.pump()
	e.alarm.set(e.core.NextWake(), e.guard(func() { e.step(dispatcher.Tick{}) }))
}

// later plans an event of the core.
func (e *entryNode) later(d time.Duration, ev dispatcher.Event) {
	e.world.after(d, e.guard(func() { e.step(ev) }))
}

func (e *entryNode) do(command dispatcher.Command) {
	switch c := command.(type) {
	case dispatcher.Reply:
		e.reply(c)
	case dispatcher.WriteClaim:
		e.claims.insert(c)
	case dispatcher.ReplaceClaim:
		e.claims.take(c)
	case dispatcher.AskOwner:
		e.askOwner(c)
	case dispatcher.Fence:
		e.fence(c)
	case dispatcher.SendStart:
		e.send(c)
	case dispatcher.Cancel:
		e.frame(c.Agent, runner.Cancelled{Task: c.Ref.Task, Attempt: c.Ref.Attempt})
	case dispatcher.Acknowledge:
		e.frame(c.Agent, runner.Acknowledged{Task: c.Ref.Task, Attempt: c.Ref.Attempt})
	case dispatcher.Settle:
		e.settle(c)
	}
}

func (e *entryNode) reply(r dispatcher.Reply) {
	t := e.tickets[r.Ticket]
	if t == nil {
		return
	}
	delete(e.tickets, r.Ticket)
	if t.asker != nil {
		t.asker(r)
		return
	}
	w := e.world
	w.after(w.deployment.ClientLatency+w.tamper.replyDelay, func() { w.callers.receive(t.submission, r.Answer) })
}

// admit hands a submission to the core.
func (e *entryNode) admit(s *submission) {
	e.last++
	s.ticket = e.last
	e.tickets[s.ticket] = &ticket{submission: s}
	e.step(dispatcher.Submitted{Submission: s.message()})
}

// withdraw tells the core that a caller went away.
func (e *entryNode) withdraw(s *submission) {
	if e.tickets[s.ticket] == nil {
		return
	}
	delete(e.tickets, s.ticket)
	e.world.verifier.Withdrawn(e.world.now, &s.work.Job, e.self.Name)
	if !e.world.tamper.deafToWithdrawal {
		e.step(dispatcher.WaitCancelled{Ticket: s.ticket})
	}
}

// send puts a start on the link. Without a link it never leaves the entry.
func (e *entryNode) send(c dispatcher.SendStart) {
	e.world.verifier.Sent(e.world.now, c.Start, e.self.Name, c.Agent.Process.Name)
	if !e.frame(c.Agent, runner.StartReceived{From: e.self, Start: c.Start}) {
		report := task.Report{
			Task: c.Start.Task, Attempt: c.Start.Attempt,
			State: task.Unstarted, Refusal: task.Unsent,
		}
		e.world.meter.startRefused(task.Unsent)
		e.later(0, dispatcher.Refused{Agent: c.Agent.Process, Report: report})
	}
}

// linked reports whether there is a link to a run of an agent.
func (e *entryNode) linked(id task.Process) bool {
	l := e.links[id.Name]
	return l != nil && l.open && l.peer == id
}

// frame sends an event to one run of an agent and reports false when there is
// no link.
func (e *entryNode) frame(to dispatcher.Peer, ev runner.Event) bool {
	a := e.world.agentAt(to.Address)
	if !e.linked(to.Process) {
		return false
	}
	l := e.links[a.self.Name]
	generation := l.generation
	e.world.after(e.distance(a), func() {
		if !a.alive || a.self != to.Process || l.generation != generation {
			return
		}
		if l.silent {
			e.world.meter.dropped(ev)
			return
		}
		a.step(ev)
	})
	return true
}

// receive takes the events of a frame that an agent sends now.
func (e *entryNode) receive(a *agentNode, events []dispatcher.Event) {
	l := e.links[a.self.Name]
	if l == nil || !l.open {
		return
	}
	generation := l.generation
	e.world.after(e.distance(a), e.guard(func() {
		if l.generation != generation {
			return
		}
		if l.silent {
			e.world.meter.droppedBack(events)
			return
		}
		for _, ev := range events {
			e.step(ev)
		}
	}))
}

func sortedTickets(tickets map[dispatcher.Ticket]*ticket) []dispatcher.Ticket {
	list := make([]dispatcher.Ticket, 0, len(tickets))
	for t := range tickets {
		list = append(list, t)
	}
	slices.Sort(list)
	return list
}
