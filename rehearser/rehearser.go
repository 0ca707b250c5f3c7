// Package rehearser simulates days of a system in virtual time: the cores of
// entries and agents run leased tasks with emulated minions, callers and
// faults. It measures what callers get, and records each violated guarantee. A
// simulation is deterministic for its seed.
package rehearser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"agatevalve/common/heap"
	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/router"
	"agatevalve/scheduler"
	"agatevalve/supervisor"
)

const (
	// linkDelay and orderDelay are the one-way latencies between entry and
	// agent, and between agent and minion.
	linkDelay  = 1400 * time.Microsecond
	orderDelay = 300 * time.Microsecond
	// inboxDelay is the time from the arrival of an event at a process until it
	// is handled.
	inboxDelay = 50 * time.Microsecond
	// stepInterval is the interval at which cores step without events.
	stepInterval = 10 * time.Millisecond
	// statusInterval is the interval of the minions' status reports.
	statusInterval = 1500 * time.Millisecond
	// silenceTimeout is the time until both ends of a link detect that it is
	// silent.
	silenceTimeout = 400 * time.Millisecond
	// reconnectDelay is the delay before a link is opened again.
	reconnectDelay = 60 * time.Millisecond
	// maxLease limits the duration of leases at minions.
	maxLease = time.Second
	// restartDelay is the time from the kill of a process to its restart.
	restartDelay = 800 * time.Millisecond
	// resubmitDelay is the delay before a caller submits a job again.
	resubmitDelay = 1300 * time.Millisecond
	// crashDelay is the time from the start of a deadly task until its minion
	// crashes, and crashDowntime the time until the minion is back.
	crashDelay    = 15 * time.Millisecond
	crashDowntime = 3200 * time.Millisecond
	// drainDelay is the time from the drain of a minion that departs to its
	// announcement, and departureDowntime that from its end to the next minion.
	drainDelay        = 20 * time.Millisecond
	departureDowntime = 500 * time.Millisecond
	// minDeadlyWork is the least work of a deadly task, which would otherwise be
	// done on a fast minion before it crashes it.
	minDeadlyWork = 60 * time.Millisecond
	// settlingTime is the time in which entries have to find out about deadly work.
	settlingTime = 2 * time.Second
)

// scheduledEvent is an action at a virtual time. Events at the same time run in
// the order of sequence.
type scheduledEvent struct {
	at       time.Time
	sequence int
	action   func()
}

// world is the state of a simulation.
type world struct {
	day    Day
	random *rand.Rand
	now    time.Time
	start  time.Time
	// callerRandom is the random source of the callers' behaviour. It is
	// separate from random, so that all policies get the same load.
	callerRandom *rand.Rand
	queue        *heap.Heap[scheduledEvent]
	// lastSequence numbers events, links and tickets.
	lastSequence int
	entries      []*entryNode
	agents       []*agentNode
	callers      map[string]*caller
	verifier     *verifier
	zones        zoneStore
	// operator is nil on days without configurations.
	operator *operator
}

// Play simulates a day.
func Play(day Day) Result {
	w := &world{
		day: day, random: rand.New(rand.NewPCG(day.Seed, 1)), callerRandom: rand.New(rand.NewPCG(day.Seed, 2)), start: time.Unix(1_800_000_000, 0),
		callers: make(map[string]*caller),
		queue: heap.New(func(a, b scheduledEvent) bool {
			return a.at.Before(b.at) || a.at.Equal(b.at) && a.sequence < b.sequence
		}),
	}
	w.now, w.zones = w.start, zoneStore{holds: make(map[string]int), decidedAt: make(map[string]time.Time)}
	w.verifier = newVerifier(w)
	for i := range day.Entries {
		w.entries = append(w.entries, newEntryNode(w, i))
	}
	for i := range day.DurationFactors {
		w.agents = append(w.agents, newAgentNode(w, i))
	}
	for _, a := range w.agents {
		a.startProcess()
	}
	for _, f := range day.Faults {
		w.after(f.At, func() { w.injectFault(f) })
	}
	w.startConfigurations()
	w.startArrivals()
	end := w.start.Add(day.Length + 5*time.Second)
	for w.queue.Len() > 0 && w.now.Before(end) {
		next := w.queue.Pop()
		w.now = next.at
		next.action()
	}
	return w.verifier.finalResult()
}

// after schedules an action after a delay in virtual time.
func (w *world) after(d time.Duration, action func()) {
	w.lastSequence++
	w.queue.Push(scheduledEvent{at: w.now.Add(d), sequence: w.lastSequence, action: action})
}

// trace passes a formatted line to Day.Trace.
func (w *world) trace(format string, args ...any) {
	if w.day.Trace != nil {
		w.day.Trace(w.now.Sub(w.start), fmt.Sprintf(format, args...))
	}
}

func (w *world) profile(t work.Task) emulator.TaskProfile { return w.callers[t.Job].profiles[t.Index] }

// entryNode is a simulated entry process.
type entryNode struct {
	node[scheduler.Event]

	index int
	core  entryCore
	links map[uint64]*link
	// storeCutUntil is the end of a period in which the entry can't read the store.
	storeCutUntil time.Time
	// table is the configuration in force; nil on days without configurations.
	table *router.Table
}

// link is a connection between an incarnation of an entry and one of an agent.
type link struct {
	number              uint64
	entry               *entryNode
	entryIncarnation    uint64
	agent               *agentNode
	agentIncarnation    uint64
	partitioned, closed bool
}

// agentNode is a simulated agent process with its minion.
type agentNode struct {
	node[supervisor.Event]

	index   int
	core    *supervisor.Core
	links   map[string]*link
	linking linking
	minion  *emulator.LeasedMinion
	// latestEndTimer numbers the timers for the next end of a run; older ones
	// are ignored.
	latestEndTimer int
	// minionIncarnation is the number of the minion's incarnation, and minionNames counts
	// the names that it has had.
	minionIncarnation, minionNames int
	// minionEnded is true from a restart or the end of a departure on until the next incarnation starts. A
	// minion that has ended executes no order late.
	minionEnded bool
	// unreachableUntil is the end of a period in which orders to the minion are
	// lost.
	unreachableUntil time.Time
	// crashedUntil is the time of the minion's restart after a crash.
	crashedUntil time.Time
	// minionFrozenUntil is the end of a period in which the minion's process stands
	// still.
	minionFrozenUntil time.Time
	// waitingOrders are the orders in the sockets of a minion that is frozen, or that
	// is down and keeps them. Each gets the minion that executes it.
	waitingOrders []func(*emulator.LeasedMinion)
	// keepsOrders is true while the minion is down and orders reach its next
	// incarnation.
	keepsOrders bool
	// lastReport is the sequence number of the minion's last status report.
	lastReport uint64
	// refusesUntil is the end of a period in which the minion's port refuses
	// connections. While a minion is down and its port doesn't refuse, orders get no
	// answer.
	refusesUntil time.Time
	// resets counts the times at which all connections to the minion failed.
	resets int
	// releaseRenewal sends the response to a renewal that the minion delays;
	// nil for none.
	releaseRenewal func()
	// outOfTouchAt is the last time at which the agent could not learn of the
	// evacuation of its zone.
	outOfTouchAt time.Time
	// executesLate is true while the minion executes an order late.
	executesLate bool
}

func newEntryNode(w *world, index int) *entryNode {
	e := &entryNode{index: index}
	e.world, e.process = w, e.stepCore
	e.startProcess()
	return e
}

// name returns the name of the entry's current incarnation.
func (e *entryNode) name() string { return fmt.Sprintf("entry-%d/%d", e.index, e.incarnation) }

// startProcess starts a new incarnation of the entry process.
func (e *entryNode) startProcess() {
	e.beginIncarnation()
	e.links = make(map[uint64]*link)
	random := rand.New(rand.NewPCG(e.world.day.Seed, uint64(e.index)+e.incarnation<<8))
	if e.core = newBaseline(e.world.day.Policy, random); e.world.day.Policy == Agatevalve {
		e.core = scheduler.New(scheduler.Options{Random: random, RemoteDataFactor: e.world.day.HotRack.knownFactor()})
	}
	incarnation := e.incarnation
	e.readZones()
	e.readDocument()
	e.stepPeriodically(incarnation)
}

// stepCore steps the core and executes its commands.
func (e *entryNode) stepCore(events []scheduler.Event) {
	commands := e.core.Step(e.now(), events)
	e.world.verifier.countStep(len(events), len(commands))
	for _, command := range commands {
		e.execute(command)
	}
}

// execute executes a command of the core.
func (e *entryNode) execute(command scheduler.Command) {
	e.world.trace("%s: %T %+v", e.name(), command, command)
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
	case scheduler.AnnounceZones:
		e.send(c.Link, func(entry string, number uint64) supervisor.Event {
			return supervisor.FrameReceived{Entry: entry, Link: number, Zones: c.Zones}
		})
	case scheduler.DataWaitEnded:
		e.world.verifier.dataWaitEnded(c)
	case scheduler.Answer:
		for range c.Tickets {
			e.world.callers[c.Job].receiveAnswer(e, c.Outcome)
		}
	}
}

// send sends an event to the agent of a link. The event is lost if the link
// breaks meanwhile.
func (e *entryNode) send(number uint64, event func(entry string, number uint64) supervisor.Event) {
	l := e.links[number]
	if l == nil || l.closed {
		return
	}
	ev := event(e.name(), number)
	e.world.verifier.result.Frames++
	e.world.after(linkDelay, func() {
		if !l.partitioned && !l.closed && l.agent.incarnation == l.agentIncarnation {
			l.agent.deliver(ev)
		}
	})
}

// ping sends an empty frame at a fixed interval, so that the agent does not
// time out the link.
func (l *link) ping() {
	w := l.entry.world
	if l.closed {
		return
	}
	if !l.partitioned && !w.now.Before(l.entry.frozenUntil) && !l.entry.down {
		ev := supervisor.FrameReceived{Entry: l.entryName(), Link: l.number}
		w.after(linkDelay, func() {
			if !l.closed && !l.partitioned {
				l.agent.deliver(ev)
			}
		})
	}
	w.after(100*time.Millisecond, l.ping)
}

func (l *link) entryName() string {
	return fmt.Sprintf("entry-%d/%d", l.entry.index, l.entryIncarnation)
}

// close closes a link and informs both ends that still run. gone means that
// nothing listens at the entry any more.
func (l *link) close(gone bool) {
	if l.closed {
		return
	}
	l.closed = true
	if l.entry.incarnation == l.entryIncarnation {
		delete(l.entry.links, l.number)
		l.entry.deliver(scheduler.LinkClosed{Agent: l.agentID(), Link: l.number})
	}
	if l.agent.incarnation == l.agentIncarnation {
		delete(l.agent.links, l.entryName())
		l.agent.deliver(supervisor.LinkClosed{Entry: l.entryName(), Link: l.number, Gone: gone})
		if !l.agent.linking.retiring[l.entry.index] {
			l.agent.linking.connectingSince[l.entry.index] = l.agent.world.now
			l.agent.reconnect(l.entry)
		}
	}
}

func (l *link) agentID() scheduler.AgentID {
	return scheduler.AgentID{Name: fmt.Sprintf("agent-%02d", l.agent.index), Incarnation: l.agentIncarnation}
}
