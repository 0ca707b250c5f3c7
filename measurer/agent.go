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
	// announceInterval is the time between two announcements of an agent, and
	// announceTTL the time until one expires.
	announceInterval = 2 * time.Second
	announceTTL      = 6 * time.Second
	// maxRememberedStarts caps the starts that an agent remembers.
	maxRememberedStarts = 1 << 20
	// maxResponseBytes and maxResultBytes cap the results that an agent keeps.
	maxResponseBytes = 4 << 10
	maxResultBytes   = 1 << 30
	// failingServiceTime is the time in which a failing minion answers with an
	// error.
	failingServiceTime = time.Millisecond
)

// agentNode is one agent with its shipped core, and the emulated minion beside
// it.
type agentNode struct {
	world   *world
	self    task.Process
	address netip.AddrPort
	zone    string
	core    *runner.Core
	alarm   wakeTimer
	alive   bool
	// serviceFactor multiplies the service times of the average minion.
	serviceFactor float64
	// random draws which starts straggle.
	random *rand.Rand
	// failing makes the minion answer every request with an error at once.
	failing bool
	// calls holds the minion's calls in flight.
	calls map[task.ID]*minionCall
	// tickets holds the callbacks of settle and fence requests without an answer.
	tickets    map[runner.Ticket]func(reports []task.Report, ok bool)
	lastTicket runner.Ticket
	// startCount counts the starts at the minion; it makes each response body
	// unique.
	startCount uint64
}

// minionCall is one request that a minion is working on.
type minionCall struct {
	attempt task.Attempt
	began   time.Time
}

func newAgentNode(w *world, i int) *agentNode {
	a := &agentNode{
		world:         w,
		self:          task.Process{Name: processName("minion", i)},
		address:       processAddress(2, i),
		zone:          w.deployment.zone(i),
		serviceFactor: w.deployment.ServiceFactors[i],
		random:        w.randomStream(agentStream, i),
	}
	return a
}

// boot starts a new incarnation of the agent.
func (a *agentNode) boot() {
	a.self = nextIncarnation(a.self)
	a.alive = true
	a.core = runner.New(runner.Options{
		Slots:         a.world.deployment.Slots,
		QueueLength:   a.world.policy.agentQueue(a.world.tuning),
		Remember:      maxRememberedStarts,
		ResponseBytes: maxResponseBytes,
		ResultBytes:   maxResultBytes,
	})
	a.alarm = wakeTimer{loop: a.world.loop}
	a.calls = make(map[task.ID]*minionCall)
	a.tickets = make(map[runner.Ticket]func([]task.Report, bool))
	for _, e := range a.world.entries {
		a.world.after(e.latency(a), a.guard(func() { e.openLink(a) }))
	}
	a.announcePeriodically()
}

// kill ends the process abruptly: its links break, and its results are lost.
func (a *agentNode) kill() {
	a.alive = false
	for _, e := range a.world.entries {
		e.breakLink(a)
	}
}

// guard wraps an action so that it runs only if the present incarnation is
// still running.
func (a *agentNode) guard(action func()) func() {
	incarnation := a.self
	return func() {
		if a.alive && a.self == incarnation {
			action()
		}
	}
}

func (a *agentNode) announcePeriodically() {
	a.announce()
	a.world.after(announceInterval, a.guard(a.announcePeriodically))
}

// announce sends an announcement of the agent to every entry.
func (a *agentNode) announce() {
	announcement := dispatcher.Announcement{
		Peer: a.peer(), Zone: a.zone, Worker: a.self.Name, Rack: a.self.Name,
		Pools: []string{a.world.deployment.Pool}, Load: a.core.Load(),
		Expires: a.world.now.Add(announceTTL),
	}
	for _, e := range a.world.entries {
		a.world.after(e.latency(a), func() {
			if e.alive {
				e.step(dispatcher.Announced{Announcement: announcement})
			}
		})
	}
}

func (a *agentNode) peer() dispatcher.Peer {
	return dispatcher.Peer{Process: a.self, Address: a.address}
}

// step passes an event to the core and executes the resulting commands.
func (a *agentNode) step(ev runner.Event) {
	commands := a.core.Step(a.world.now, ev)
	if a.world.injected.agentCommands != nil {
		commands = a.world.injected.agentCommands(commands)
	}
	frames := newFrames(a)
	for _, command := range commands {
		a.execute(command, frames)
	}
	frames.send()
	a.alarm.set(a.core.NextWake(), a.guard(func() { a.step(runner.Tick{}) }))
}

func (a *agentNode) execute(command runner.Command, frames *frames) {
	switch c := command.(type) {
	case runner.Run:
		a.startTask(c.Start)
	case runner.Stop:
		a.stopTask(c)
	case runner.Announce:
		a.announce()
	case runner.AnswerSettle:
		a.answerRequest(c.Ticket, c.Reports, true)
	case runner.AnswerFence:
		a.answerRequest(c.Ticket, c.Reports, true)
	case runner.Reject:
		a.answerRequest(c.Ticket, nil, false)
	default:
		frames.add(command)
	}
}

// requestReports passes a settle or fence request to the core; answer is called
// with the reports, or with ok = false if the core rejects the request.
func (a *agentNode) requestReports(ev func(runner.Ticket) runner.Event, answer func([]task.Report, bool)) {
	a.lastTicket++
	a.tickets[a.lastTicket] = answer
	a.step(ev(a.lastTicket))
}

func (a *agentNode) answerRequest(ticket runner.Ticket, reports []task.Report, ok bool) {
	answer := a.tickets[ticket]
	delete(a.tickets, ticket)
	answer(reports, ok)
}

// drain asks the agent to finish its tasks and leave.
func (a *agentNode) drain() {
	a.world.verifier.DrainStarted(a.world.now, a.self.Name)
	if !a.world.injected.ignoreDrain {
		a.step(runner.DrainRequested{Leave: true})
	}
}

// killWhenIdle ends the process once it holds no task and no result.
func (a *agentNode) killWhenIdle() {
	if a.core.Idle() {
		a.kill()
		return
	}
	a.world.after(idlePollInterval, a.guard(a.killWhenIdle))
}

// startTask emulates the minion's execution of a task.
func (a *agentNode) startTask(s task.Start) {
	w := a.world
	w.verifier.Started(w.now, s, a.self.Name)
	w.meter.taskStarted(a)
	c := &minionCall{attempt: s.Attempt, began: w.now}
	a.calls[s.Task] = c
	a.startCount++
	body := binary.BigEndian.AppendUint64(append([]byte{}, s.Request.Body...), a.startCount)
	response := task.Response{Status: http.StatusOK, Body: body}
	duration := time.Duration(float64(w.callers.serviceTime(s.Task)) * a.serviceFactor)
	if w.trial.stragglerShare > 0 && a.random.Float64() < w.trial.stragglerShare {
		duration *= stragglerFactor
	}
	if a.failing {
		response.Status = http.StatusInternalServerError
		duration = failingServiceTime
	}
	w.after(duration, a.guard(func() {
		if a.calls[s.Task] != c {
			return
		}
		delete(a.calls, s.Task)
		w.verifier.Ended(w.now, s.Task, s.Attempt, "answered", a.self.Name)
		w.callers.recordServed(s.Task, a)
		a.step(runner.MinionAnswered{Task: s.Task, Attempt: s.Attempt, Response: response})
	}))
}

// stopTask cancels the minion's call of a task, which frees the slot.
func (a *agentNode) stopTask(c runner.Stop) {
	running := a.calls[c.Task]
	if running == nil || running.attempt != c.Attempt {
		return
	}
	delete(a.calls, c.Task)
	w := a.world
	w.verifier.Ended(w.now, c.Task, c.Attempt, "stopped", a.self.Name)
	w.after(0, a.guard(func() {
		a.step(runner.MinionFailed{Task: c.Task, Attempt: c.Attempt, Reason: "stopped"})
	}))
}

// frames collects the events of one step of an agent, by entry.
type frames struct {
	agent *agentNode
	// receivers lists the entries in order of first use.
	receivers []task.Process
	byEntry   map[task.Process]*frame
}

// frame holds the events to one entry in the order in which the entry reads
// them.
type frame struct{ accepted, refused, ended []dispatcher.Event }

func newFrames(a *agentNode) *frames {
	return &frames{agent: a, byEntry: make(map[task.Process]*frame)}
}

func (f *frames) frameFor(id task.Process) *frame {
	p := f.byEntry[id]
	if p == nil {
		p = &frame{}
		f.byEntry[id] = p
		f.receivers = append(f.receivers, id)
	}
	return p
}

func (f *frames) add(command runner.Command) {
	a := f.agent
	switch c := command.(type) {
	case runner.Accept:
		p := f.frameFor(c.To)
		p.accepted = append(p.accepted, dispatcher.Accepted{Agent: a.self, Task: c.Task, Attempt: c.Attempt})
	case runner.Refuse:
		a.world.meter.startRefused(c.Report.Refusal)
		a.world.verifier.Refused(a.world.now, c.Report, a.self.Name)
		p := f.frameFor(c.To)
		p.refused = append(p.refused, dispatcher.Refused{Agent: a.self, Report: c.Report})
	case runner.SendReport:
		p := f.frameFor(c.To)
		p.ended = append(p.ended, dispatcher.Ended{Agent: a.self, Report: c.Report})
	case runner.SendLoad:
		f.frameFor(c.To)
	}
}

// send sends each frame over its link, with the agent's load at the end.
func (f *frames) send() {
	a := f.agent
	load := dispatcher.LoadReported{Agent: a.self, Load: a.core.Load()}
	for _, id := range f.receivers {
		e := a.world.liveEntry(id)
		if e == nil {
			continue
		}
		p := f.byEntry[id]
		events := append(append(append(p.accepted, p.refused...), p.ended...), load)
		e.receiveFrame(a, events)
	}
}
