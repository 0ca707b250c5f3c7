package measurer

import (
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

const (
	// announcePeriod and announceLife are how often an agent announces itself
	// and how long that holds.
	announcePeriod = 2 * time.Second
	announceLife   = 6 * time.Second
	// agentRemembers caps the starts that an agent remembers.
	agentRemembers = 1 << 20
	// responseBytes and resultBytes bound the results that an agent keeps.
	responseBytes = 4 << 10
	resultBytes   = 1 << 30
	// failTime is what a failing minion needs to answer.
	failTime = time.Millisecond
)

// agentNode is one agent, its shipped core, and the minion beside it.
type agentNode struct {
	world   *world
	self    task.Process
	address netip.AddrPort
	zone    string
	core    *runner.Core
	alarm   alarm
	alive   bool
	// factor is the minion's time over the average minion's.
	factor float64
	// random draws which starts straggle.
	random *rand.Rand
	// failing makes the minion answer every request with an error at once.
	failing bool
	// calls holds the open calls to the minion.
	calls map[task.ID]*call
	// tickets holds what to do with the answer to a settle or fence call.
	tickets map[runner.Ticket]func(reports []task.Report, ok bool)
	ticket  runner.Ticket
	// begun counts the starts at the minion, for the bodies of responses.
	begun uint64
}

// call is one request that a minion works on.
type call struct {
	attempt task.Attempt
	began   time.Time
}

func newAgentNode(w *world, i int) *agentNode {
	a := &agentNode{
		world:   w,
		self:    task.Process{Name: processName("minion", i)},
		address: address(2, i),
		zone:    w.deployment.zone(i),
		factor:  w.deployment.Factors[i],
		random:  w.stream(agentStream, i),
	}
	return a
}

// begin starts a new incarnation of the agent.
func (a *agentNode) begin() {
	a.self = nextIncarnation(a.self)
	a.alive = true
	a.core = runner.New(runner.Options{
		Slots:         a.world.deployment.Slots,
		QueueLength:   a.world.policy.queue(a.world.tuning),
		Remember:      agentRemembers,
		ResponseBytes: responseBytes,
		ResultBytes:   resultBytes,
	})
	a.alarm = alarm{loop: a.world.loop}
	a.calls = make(map[task.ID]*call)
	a.tickets = make(map[runner.Ticket]func([]task.Report, bool))
	for _, e := range a.world.entries {
		a.world.after(e.distance(a), a.guard(func() { e.open(a) }))
	}
	a.announceAlways()
}

// kill ends the process at once. Its links break, and its results are gone.
func (a *agentNode) kill() {
	a.alive = false
	for _, e := range a.world.entries {
		e.breakLink(a)
	}
}

// guard returns act, but only for the present incarnation.
func (a *agentNode) guard(act func()) func() {
	incarnation := a.self
	return func() {
		if a.alive && a.self == incarnation {
			act()
		}
	}
}

func (a *agentNode) announceAlways() {
	a.announce()
	a.world.after(announcePeriod, a.guard(a.announceAlways))
}

// announce tells every entry about the agent.
func (a *agentNode) announce() {
	announcement := dispatcher.Announcement{
		Peer: a.peer(), Zone: a.zone, Worker: a.self.Name, Rack: a.self.Name,
		Pools: []string{a.world.deployment.Pool}, Load: a.core.Load(),
		Expires: a.world.now.Add(announceLife),
	}
	for _, e := range a.world.entries {
		a.world.after(e.distance(a), func() {
			if e.alive {
				e.step(dispatcher.Announced{Announcement: announcement})
			}
		})
	}
}

func (a *agentNode) peer() dispatcher.Peer {
	return dispatcher.Peer{Process: a.self, Address: a.address}
}

// step lets the core see an event and does what it commands.
func (a *agentNode) step(ev runner.Event) {
	commands := a.core.Step(a.world.now, ev)
	if a.world.tamper.agentCommands != nil {
		commands = a.world.tamper.agentCommands(commands)
	}
	frames := newFrames(a)
	for _, command := range commands {
		a.do(command, frames)
	}
	frames.send()
	a.alarm.set(a.core.NextWake(), a.guard(func() { a.step(runner.Tick{}) }))
}

func (a *agentNode) do(command runner.Command, frames *frames) {
	switch c := command.(type) {
	case runner.Run:
		a.start(c.Start)
	case runner.Stop:
		a.stop(c)
	case runner.Announce:
		a.announce()
	case runner.AnswerSettle:
		a.answer(c.Ticket, c.Reports, true)
	case runner.AnswerFence:
		a.answer(c.Ticket, c.Reports, true)
	case runner.Reject:
		a.answer(c.Ticket, nil, false)
	default:
		frames.take(command)
	}
}

// ask hands a settle or fence call to the core.
func (a *agentNode) ask(ev func(runner.Ticket) runner.Event, answer func([]task.Report, bool)) {
	a.ticket++
	a.tickets[a.ticket] = answer
	a.step(ev(a.ticket))
}

func (a *agentNode) answer(ticket runner.Ticket, reports []task.Report, ok bool) {
	answer := a.tickets[ticket]
	delete(a.tickets, ticket)
	answer(reports, ok)
}

// drain makes the agent leave.
func (a *agentNode) drain() {
	a.world.verifier.Left(a.world.now, a.self.Name)
	if !a.world.tamper.deafToDrain {
		a.step(runner.DrainRequested{Leave: true})
	}
}

// stopWhenQuiet ends the process once it holds no task and no result.
func (a *agentNode) stopWhenQuiet() {
	if a.core.Idle() {
		a.kill()
		return
	}
	a.world.after(idlePoll, a.guard(a.stopWhenQuiet))
}

// start lets the minion begin a task.
func (a *agentNode) start(s task.Start) {
	w := a.world
	w.verifier.Started(w.now, s, a.self.Name)
	w.meter.started(a)
	c := &call{attempt: s.Attempt, began: w.now}
	a.calls[s.Task] = c
	a.begun++
	body := binary.BigEndian.AppendUint64(append([]byte{}, s.Request.Body...), a.begun)
	response := task.Response{Status: http.StatusOK, Body: body}
	takes := time.Duration(float64(w.callers.service(s.Task)) * a.factor)
	if w.trial.straggle > 0 && a.random.Float64() < w.trial.straggle {
		takes *= straggleFactor
	}
	if a.failing {
		response.Status = http.StatusInternalServerError
		takes = failTime
	}
	w.after(takes, a.guard(func() {
		if a.calls[s.Task] != c {
			return
		}
		delete(a.calls, s.Task)
		w.verifier.Ended(w.now, s.Task, s.Attempt, "answered", a.self.Name)
		w.callers.served(s.Task, a)
		a.step(runner.MinionAnswered{Task: s.Task, Attempt: s.Attempt, Response: response})
	}))
}

// stop ends the call of a task; the minion frees the slot.
func (a *agentNode) stop(c runner.Stop) {
	open := a.calls[c.Task]
	if open == nil || open.attempt != c.Attempt {
		return
	}
	delete(a.calls, c.Task)
	w := a.world
	w.verifier.Ended(w.now, c.Task, c.Attempt, "stopped", a.self.Name)
	w.after(0, a.guard(func() {
		a.step(runner.MinionFailed{Task: c.Task, Attempt: c.Attempt, Reason: "stopped"})
	}))
}

// frames gathers what one step of an agent sends to each entry.
type frames struct {
	agent *agentNode
	// order lists the receivers by first use.
	order []task.Process
	parts map[task.Process]*frame
}

// frame holds events in the order in which an entry reads them.
type frame struct{ accepted, refused, ended []dispatcher.Event }

func newFrames(a *agentNode) *frames {
	return &frames{agent: a, parts: make(map[task.Process]*frame)}
}

func (f *frames) to(id task.Process) *frame {
	p := f.parts[id]
	if p == nil {
		p = &frame{}
		f.parts[id] = p
		f.order = append(f.order, id)
	}
	return p
}

func (f *frames) take(command runner.Command) {
	a := f.agent
	switch c := command.(type) {
	case runner.Accept:
		p := f.to(c.To)
		p.accepted = append(p.accepted, dispatcher.Accepted{Agent: a.self, Task: c.Task, Attempt: c.Attempt})
	case runner.Refuse:
		a.world.meter.startRefused(c.Report.Refusal)
		a.world.verifier.Refused(a.world.now, c.Report, a.self.Name)
		p := f.to(c.To)
		p.refused = append(p.refused, dispatcher.Refused{Agent: a.self, Report: c.Report})
	case runner.SendReport:
		p := f.to(c.To)
		p.ended = append(p.ended, dispatcher.Ended{Agent: a.self, Report: c.Report})
	case runner.SendLoad:
		f.to(c.To)
	}
}

// send puts each frame on its link, with the agent's load at its end.
func (f *frames) send() {
	a := f.agent
	load := dispatcher.LoadReported{Agent: a.self, Load: a.core.Load()}
	for _, id := range f.order {
		e := a.world.entryOf(id)
		if e == nil {
			continue
		}
		p := f.parts[id]
		events := append(append(append(p.accepted, p.refused...), p.ended...), load)
		e.receive(a, events)
	}
}
