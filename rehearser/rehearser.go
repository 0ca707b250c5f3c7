// Package rehearser plays days of jobs of leased tasks in virtual time: cores of
// entries and agents, stand-ins of minions, callers, and faults. It counts what
// callers get and names each broken promise. The same seed plays the same day.
package rehearser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"agatevalve/common/heap"
	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/scheduler"
	"agatevalve/supervisor"
)

const (
	// linkDelay and orderDelay are the one-way times between entry and agent,
	// and between agent and minion.
	linkDelay  = 1400 * time.Microsecond
	orderDelay = 300 * time.Microsecond
	// inboxDelay is how long a process takes to turn to what has come in.
	inboxDelay = 50 * time.Microsecond
	// stepEvery is how often cores step without events.
	stepEvery = 10 * time.Millisecond
	// reportEvery is how often minions describe themselves.
	reportEvery = 1500 * time.Millisecond
	// silentAfter is how long a cut link takes to be noticed at its ends.
	silentAfter = 400 * time.Millisecond
	// relinkAfter is the pause before a new link.
	relinkAfter = 60 * time.Millisecond
	// longestLease caps leases at minions.
	longestLease = time.Second
	// restartAfter is how long a killed process takes to come back.
	restartAfter = 800 * time.Millisecond
	// resubmitAfter is how long a caller waits before it submits a job again.
	resubmitAfter = 1300 * time.Millisecond
)

// Route is a kind of job.
type Route struct {
	Name      string
	PerSecond float64
	// Tasks is the mean number of tasks, and Work the mean time of one.
	Tasks int
	Work  time.Duration
	CPU   int64
	// Worth is what a job in time earns; a late one earns a fifth.
	Worth    float64
	Priority int
	// Label is one that minions must have; empty for any.
	Label string
	// MostBeside caps the tasks of a job on one minion; 0 for no cap.
	MostBeside int
}

// Burst is a time of more work.
type Burst struct {
	At, For time.Duration
	// Times is by how much; 0 for no burst.
	Times float64
}

// Day is what is played.
type Day struct {
	Seed    uint64
	Length  time.Duration
	Entries int
	// Paces is how much longer tasks take at each minion than at one of speed 1.
	Paces  []float64
	Room   work.Room
	Routes []Route
	// Poison is the share of jobs that can never succeed.
	Poison float64
	// LostAnswers is the share of orders that get no answer and are carried out late.
	LostAnswers float64
	// Leave is the share of callers that leave early.
	Leave  float64
	Burst  Burst
	Faults []Fault
	// Policy is how entries place tasks.
	Policy Policy
	// EndlessLeases plants a fault: minions let no lease lapse.
	EndlessLeases bool
	// ExtraAttempts plants a fault: entries are told of more attempts than a route allows.
	ExtraAttempts int
	// Unguarded minions start what they are told to, also beyond their room.
	Unguarded bool
	// Labels are those of each minion in turn; nil for none.
	Labels [][]string
	// Trace takes a line for each order, report and answer; nil for none.
	Trace func(at time.Duration, text string)
}

// FaultKind is a kind of trouble.
type FaultKind string

// The kinds of trouble that a day may have.
const (
	KillEntry   FaultKind = "kill-entry"
	KillAgent   FaultKind = "kill-agent"
	FreezeEntry FaultKind = "freeze-entry"
	FreezeAgent FaultKind = "freeze-agent"
	CutLink     FaultKind = "cut-link"
	CrashMinion FaultKind = "crash-minion"
	SlowMinion  FaultKind = "slow-minion"
	StallMinion FaultKind = "stall-minion"
	FailMinion  FaultKind = "fail-minion"
	DrainMinion FaultKind = "drain-minion"
	CutMinion   FaultKind = "cut-minion"
)

// Fault is one trouble.
type Fault struct {
	Kind FaultKind
	// At and For are counted from the start of the day.
	At, For time.Duration
	// Entry and Minion count from 0, where they matter.
	Entry, Minion int
}

// Result is what a day gave.
type Result struct {
	Jobs, OnTime, Late, Refused, Failed, Unfinished, Left int
	// Worth is what was earned over what could be.
	Worth float64
	// Starts counts runs, Wasted those that did not end Done.
	Starts, Wasted int
	// Steps counts the steps of all cores that took an event or gave a command.
	Steps int
	// Frames counts what entries and agents sent each other, without probes.
	Frames int
	// Broken names each broken promise with the time; empty on a good day.
	Broken []string
	// ByRoute is the worth by route.
	ByRoute map[string]float64
}

// happening is something that takes place at a time.
type happening struct {
	at    time.Time
	order int
	do    func()
}

// world is a day in play.
type world struct {
	day    Day
	random *rand.Rand
	now    time.Time
	start  time.Time
	// arrivals draws what callers do, apart from what else is drawn, so that all
	// policies are given the same work.
	arrivals *rand.Rand
	queue    *heap.Heap[happening]
	ordered  int
	entries  []*entryNode
	agents   []*agentNode
	callers  map[string]*caller
	judge    *judge
}

// Play plays a day.
func Play(day Day) Result {
	w := &world{
		day: day, random: rand.New(rand.NewPCG(day.Seed, 1)), arrivals: rand.New(rand.NewPCG(day.Seed, 2)), start: time.Unix(1_800_000_000, 0),
		callers: make(map[string]*caller),
		queue: heap.New(func(a, b happening) bool {
			return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order
		}),
	}
	w.now = w.start
	w.judge = newJudge(w)
	for i := range day.Entries {
		w.entries = append(w.entries, newEntryNode(w, i))
	}
	for i := range day.Paces {
		w.agents = append(w.agents, newAgentNode(w, i))
	}
	for _, a := range w.agents {
		a.boot()
	}
	for _, f := range day.Faults {
		w.after(f.At, func() { w.strike(f) })
	}
	w.traffic()
	end := w.start.Add(day.Length + 5*time.Second)
	for w.queue.Len() > 0 && w.now.Before(end) {
		h := w.queue.Pop()
		w.now = h.at
		h.do()
	}
	return w.judge.result()
}

func (w *world) after(d time.Duration, do func()) {
	w.ordered++
	w.queue.Push(happening{at: w.now.Add(d), order: w.ordered, do: do})
}

// trace gives a line to the day's Trace.
func (w *world) trace(format string, args ...any) {
	if w.day.Trace != nil {
		w.day.Trace(w.now.Sub(w.start), fmt.Sprintf(format, args...))
	}
}

func (w *world) truth(t work.Task) emulator.Truth { return w.callers[t.Job].truths[t.Index] }

// entryNode is one entry process and its place.
type entryNode struct {
	node[scheduler.Event]

	index int
	core  entryCore
	links map[uint64]*link
}

// link is one stream between an entry and an agent.
type link struct {
	number      uint64
	entry       *entryNode
	entryLife   uint64
	agent       *agentNode
	agentLife   uint64
	cut, closed bool
}

// agentNode is one agent process with the minion beside it.
type agentNode struct {
	node[supervisor.Event]

	index  int
	core   *supervisor.Core
	links  map[string]*link
	minion *emulator.LeasedMinion
	// watches counts the watches for the next end.
	watches int
	// life counts the lives of the minion.
	life int
	// unreachable is until when orders get lost on the way to the minion.
	unreachable time.Time
	// dead is until when the minion is gone.
	dead time.Time
	// heldBack releases the list that the minion holds back; nil for none.
	heldBack func()
}

func newEntryNode(w *world, index int) *entryNode {
	e := &entryNode{index: index}
	e.w, e.run = w, e.stepCore
	e.boot()
	return e
}

func (e *entryNode) name() string { return fmt.Sprintf("entry-%d/%d", e.index, e.incarnation) }

func (e *entryNode) boot() {
	e.begin()
	e.links = make(map[uint64]*link)
	random := rand.New(rand.NewPCG(e.w.day.Seed, uint64(e.index)+e.incarnation<<8))
	if e.core = newBaseline(e.w.day.Policy, random); e.w.day.Policy == Product {
		e.core = scheduler.New(scheduler.Options{Random: random})
	}
	life := e.incarnation
	e.tick(life)
}

func (e *entryNode) stepCore(events []scheduler.Event) {
	commands := e.core.Step(e.w.now, events)
	e.w.judge.stepped(len(events), len(commands))
	for _, command := range commands {
		e.carryOut(command)
	}
}

func (e *entryNode) carryOut(command scheduler.Command) {
	e.w.trace("%s: %T %+v", e.name(), command, command)
	switch c := command.(type) {
	case scheduler.Place:
		e.send(c.Link, func(entry string, number uint64) supervisor.Event {
			return supervisor.FrameReceived{Entry: entry, Link: number, Orders: []work.Order{c.Order}}
		})
	case scheduler.Stop:
		e.send(c.Link, func(entry string, number uint64) supervisor.Event {
			return supervisor.FrameReceived{Entry: entry, Link: number, Stops: []work.Run{c.Run}}
		})
	case scheduler.Acknowledge:
		e.send(c.Link, func(entry string, number uint64) supervisor.Event {
			return supervisor.FrameReceived{Entry: entry, Link: number, Acked: c.Acked}
		})
	case scheduler.Answer:
		for range c.Tickets {
			e.w.callers[c.Job].answered(e, c.Outcome)
		}
	}
}

// send carries an event to the agent at the other end of a link.
func (e *entryNode) send(number uint64, event func(entry string, number uint64) supervisor.Event) {
	k := e.links[number]
	if k == nil || k.closed {
		return
	}
	ev := event(e.name(), number)
	e.w.judge.res.Frames++
	e.w.after(linkDelay, func() {
		if !k.cut && !k.closed && k.agent.incarnation == k.agentLife {
			k.agent.tell(ev)
		}
	})
}

// ping keeps a link from falling silent.
func (k *link) ping() {
	w := k.entry.w
	if k.closed {
		return
	}
	if !k.cut && !w.now.Before(k.entry.frozen) && !k.entry.down {
		ev := supervisor.FrameReceived{Entry: k.entryName(), Link: k.number}
		w.after(linkDelay, func() {
			if !k.closed && !k.cut {
				k.agent.tell(ev)
			}
		})
	}
	w.after(100*time.Millisecond, k.ping)
}

func (k *link) entryName() string { return fmt.Sprintf("entry-%d/%d", k.entry.index, k.entryLife) }

// close ends a link at both ends that still live.
func (k *link) close(gone bool) {
	if k.closed {
		return
	}
	k.closed = true
	if k.entry.incarnation == k.entryLife {
		delete(k.entry.links, k.number)
		k.entry.tell(scheduler.LinkClosed{Agent: k.agentKey(), Link: k.number})
	}
	if k.agent.incarnation == k.agentLife {
		delete(k.agent.links, k.entryName())
		k.agent.tell(supervisor.LinkClosed{Entry: k.entryName(), Link: k.number, Gone: gone})
		k.agent.relink(k.entry)
	}
}

func (k *link) agentKey() scheduler.AgentID {
	return scheduler.AgentID{Name: fmt.Sprintf("agent-%02d", k.agent.index), Incarnation: k.agentLife}
}
