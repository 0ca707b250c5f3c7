package dispatcher_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"agatevalve/announcer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// announcementLifetime is the time for which an announcement is valid.
const announcementLifetime = announcer.Lifetime

// world simulates a deployment: the real cores of entries and agents, and a
// network, a store and minions that the fuzzer controls. Every message stays in
// flight until the fuzzer delivers it.
type world struct {
	now        time.Time
	random     *rand.Rand
	entries    []*simEntry
	agents     []*simAgent
	claims     map[task.JobID]dispatcher.Claim
	storeDown  bool
	inFlight   []message
	oracle     *oracle
	lastTicket uint64
	injected   faultInjection
	// counters holds the counters of each run of an entry.
	counters map[task.Process]dispatcher.Counters
	// silentLinks holds the links over which no frame arrives, lostAnnouncements
	// the ends between which no announcement does.
	silentLinks       map[linkEnds]bool
	lostAnnouncements map[linkEnds]bool
	// storeSlowUntil is the earliest time at which claims that are sent now
	// reach the store.
	storeSlowUntil time.Time
	// routes holds the configured route of each key.
	routes map[task.Key]route
	// trace lists the events and commands of the cores, for the report of a
	// failure.
	trace []string
	// pendingAsks and pendingCalls hold the unanswered requests to entries and
	// agents, by ticket.
	pendingAsks  map[dispatcher.Ticket]pendingAsk
	pendingCalls map[runner.Ticket]callback
}

// message is a message in flight; deliver may be called more than once.
type message struct {
	kind    string
	deliver func()
	// fail is called instead of, or before, deliver when the sender gives up.
	fail func()
	// isFrame is true for frames on a link, which may be lost or duplicated.
	isFrame bool
	// toStore is true for claims and their results, which wait during a store
	// outage.
	toStore bool
	// claimResult is true for the store's reply to a claim.
	claimResult bool
	// ends identifies the link of a frame.
	ends linkEnds
	// notBefore is the earliest time of delivery.
	notBefore time.Time
}

// linkEnds identifies a link by the names of its entry and agent.
type linkEnds struct{ entry, agent string }

// route is the configured route of a key.
type route struct {
	pool       string
	idempotent bool
}

// pendingAsk is an entry's unanswered request for the answer of a job.
type pendingAsk struct {
	asker *simEntry
	core  *dispatcher.Core
	job   task.JobID
}

// callback handles an agent's answer to a call.
type callback func(command runner.Command)

// simEntry is a simulated entry. Each restart gives it a new incarnation.
type simEntry struct {
	name   string
	core   *dispatcher.Core
	self   task.Process
	paused bool
	// draining is true from a drain until the next restart.
	draining bool
	// heldEvents holds the events that arrived during a pause.
	heldEvents []dispatcher.Event
	// resumedAt is the time at which the last pause ended.
	resumedAt time.Time
	// clockSkew is the time by which the entry's clock is ahead.
	clockSkew time.Duration
	// links holds the links to agents that have announced themselves.
	links []*link
}

// simAgent is a simulated agent with its minion. Each restart gives it a new
// incarnation.
type simAgent struct {
	name       string
	core       *runner.Core
	self       task.Process
	paused     bool
	heldEvents []runner.Event
	// hung is true while the minion accepts tasks and never responds.
	hung bool
	// failing is true while the minion responds to everything with an error.
	failing bool
	// clockSkew is the time by which the agent's clock is ahead.
	clockSkew time.Duration
	// leaving is true while the agent is drained.
	leaving bool
	// running holds the attempts that the minion runs.
	running map[attemptKey]bool
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    task.ID
	attempt task.Attempt
}

// newWorld returns a world of connected entries and agents.
func newWorld(seed uint64, entries, agents int) *world {
	w := &world{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)),
		claims: make(map[task.JobID]dispatcher.Claim), oracle: newOracle(),
		pendingAsks:  make(map[dispatcher.Ticket]pendingAsk),
		pendingCalls: make(map[runner.Ticket]callback),
		counters:     make(map[task.Process]dispatcher.Counters),
		silentLinks:  make(map[linkEnds]bool), lostAnnouncements: make(map[linkEnds]bool),
		routes: map[task.Key]route{"": {pool: "desk"}, "idempotent": {pool: "desk", idempotent: true}},
	}
	for i := range entries {
		entry := &simEntry{name: fmt.Sprintf("entry-%d", i)}
		w.entries = append(w.entries, entry)
		w.startEntry(entry)
	}
	for i := range agents {
		agent := &simAgent{name: fmt.Sprintf("agent-%d", i)}
		w.agents = append(w.agents, agent)
		w.startAgent(agent)
	}
	w.announceAll()
	return w
}

// startEntry starts an entry, or restarts it without its state.
func (w *world) startEntry(entry *simEntry) {
	entry.self = task.Process{Name: entry.name, Incarnation: entry.self.Incarnation + 1}
	entry.paused, entry.draining, entry.heldEvents, entry.links = false, false, nil, nil
	entry.core = dispatcher.New(dispatcher.Options{
		Self: entry.self, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		QueueTasks: 40, KeepAnswers: 20 * time.Second, KeepBytes: 1 << 20, Random: w.random,
	})
}

// startAgent starts an agent, or restarts it without its state.
func (w *world) startAgent(agent *simAgent) {
	agent.self = task.Process{Name: agent.name, Incarnation: agent.self.Incarnation + 1}
	agent.paused, agent.hung, agent.failing, agent.leaving, agent.heldEvents = false, false, false, false, nil
	agent.running = make(map[attemptKey]bool)
	agent.core = runner.New(runner.Options{
		Slots: 2, QueueLength: 1, Remember: 60, ResponseBytes: 1 << 10, ResultBytes: 1 << 16,
	})
}

// announceAll announces every agent to every entry, unless the agent is paused
// or the announcement is lost.
func (w *world) announceAll() {
	for _, agent := range w.agents {
		for _, entry := range w.entries {
			if !agent.paused && !w.lostAnnouncements[linkEnds{entry.name, agent.name}] {
				w.handleAnnouncement(entry, dispatcher.Announcement{
					Peer: w.peerOf(agent), Pools: []string{"desk", "annex"}, Load: w.injected.loadOf(agent),
					Expires: agent.clock(w.now).Add(announcementLifetime),
				})
			}
		}
	}
}

// peerOf returns the present incarnation of an agent.
func (w *world) peerOf(agent *simAgent) dispatcher.Peer {
	return dispatcher.Peer{Process: agent.self, Address: netip.MustParseAddrPort("127.0.0.1:2")}
}

// post adds a message to those in flight.
func (w *world) post(m message) { w.inFlight = append(w.inFlight, m) }

// deliverable reports whether a message can arrive now.
func (w *world) deliverable(m message) bool {
	blocked := m.toStore && w.storeDown || m.isFrame && w.silentLinks[m.ends]
	return !blocked && !m.notBefore.After(w.now)
}

// removeMessage removes and returns a message in flight.
func (w *world) removeMessage(i int) message {
	m := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	return m
}

// stepEntry sends an event to an incarnation of an entry and executes its
// commands. A paused entry gets the event when it resumes.
func (w *world) stepEntry(entry *simEntry, to task.Process, event dispatcher.Event) {
	if entry.self != to {
		return
	}
	if entry.paused {
		entry.heldEvents = append(entry.heldEvents, event)
		return
	}
	if _, tick := event.(dispatcher.Tick); !tick {
		w.addTrace(entry.self, event)
	}
	defer func() { w.counters[entry.self] = entry.core.Counters() }()
	commands := append([]dispatcher.Command{}, entry.core.Step(entry.clock(w.now), event)...)
	for _, command := range commands {
		w.executeEntryCommand(entry, command)
	}
}

// stepAgent sends an event to an incarnation of an agent and executes its
// commands. A paused agent gets the event when it resumes.
func (w *world) stepAgent(agent *simAgent, to task.Process, event runner.Event) {
	if agent.self != to {
		return
	}
	if agent.paused {
		agent.heldEvents = append(agent.heldEvents, event)
		return
	}
	for _, command := range agent.core.Step(agent.clock(w.now), event) {
		w.executeAgentCommand(agent, command)
	}
}

// clock returns the time that the entry's clock shows.
func (e *simEntry) clock(now time.Time) time.Time { return now.Add(e.clockSkew) }

// trueTime returns the time at which the entry's clock shows the given one.
func (e *simEntry) trueTime(shown time.Time) time.Time { return shown.Add(-e.clockSkew) }

// clock returns the time that the agent's clock shows.
func (a *simAgent) clock(now time.Time) time.Time { return now.Add(a.clockSkew) }

// skewEntry steps an entry's clock to the given skew.
func (w *world) skewEntry(entry *simEntry, skew time.Duration) {
	entry.clockSkew = skew
	w.oracle.recordClockStep(entry)
}

// agentOf returns the agent of which p is an incarnation, or nil.
func (w *world) agentOf(p task.Process) *simAgent {
	for _, agent := range w.agents {
		if agent.name == p.Name {
			return agent
		}
	}
	return nil
}

// entryOf returns the entry of which p is an incarnation, or nil.
func (w *world) entryOf(p task.Process) *simEntry {
	for _, entry := range w.entries {
		if entry.name == p.Name {
			return entry
		}
	}
	return nil
}

// addTrace adds an event or command of a process to the trace.
func (w *world) addTrace(process task.Process, input any) {
	at := w.now.Sub(epoch).Seconds()
	w.trace = append(w.trace, fmt.Sprintf("%7.3f %s.%d %T %v", at, process.Name, process.Incarnation, input, input))
}

// advance advances the time, with a tick to each core whenever a timer is due.
func (w *world) advance(until time.Time) {
	for {
		next := w.nextWake(until)
		if !next.Before(until) {
			break
		}
		w.now = next
		w.tick()
	}
	w.now = until
	w.tick()
	w.announceAll()
}

// nextWake returns the time of the next timer, at least a millisecond from now
// and at most until.
func (w *world) nextWake(until time.Time) time.Time {
	next := until
	consider := func(t time.Time) {
		if t.IsZero() {
			return
		}
		if earliest := w.now.Add(time.Millisecond); t.Before(earliest) {
			t = earliest
		}
		if t.Before(next) {
			next = t
		}
	}
	for _, entry := range w.entries {
		if wake := entry.core.NextWake(); !wake.IsZero() {
			consider(entry.trueTime(wake))
		}
		for _, k := range entry.links {
			consider(k.nextCheck())
		}
	}
	for _, agent := range w.agents {
		if wake := agent.core.NextWake(); !wake.IsZero() {
			consider(wake.Add(-agent.clockSkew))
		}
	}
	return next
}

// tick maintains the links and ticks the cores, except those that are paused.
func (w *world) tick() {
	for _, entry := range w.entries {
		if entry.paused {
			continue
		}
		for _, k := range entry.links {
			w.maintainLink(entry, k)
		}
		w.stepEntry(entry, entry.self, dispatcher.Tick{})
	}
	for _, agent := range w.agents {
		if !agent.paused {
			w.stepAgent(agent, agent.self, runner.Tick{})
		}
	}
}

// resumeEntry ends an entry's pause and sends it the held events.
func (w *world) resumeEntry(entry *simEntry) {
	entry.paused = false
	entry.resumedAt = w.now
	w.oracle.recordResume(w.now, entry.self)
	held := entry.heldEvents
	entry.heldEvents = nil
	for _, event := range held {
		w.stepEntry(entry, entry.self, event)
	}
	w.stepEntry(entry, entry.self, dispatcher.Tick{})
}

// resumeAgent ends an agent's pause and sends it the held events.
func (w *world) resumeAgent(agent *simAgent) {
	agent.paused = false
	held := agent.heldEvents
	agent.heldEvents = nil
	for _, event := range held {
		w.stepAgent(agent, agent.self, event)
	}
	w.stepAgent(agent, agent.self, runner.Tick{})
}

// sortedAttempts returns the attempts in a fixed order.
func sortedAttempts(attempts map[attemptKey]bool) []attemptKey {
	return slices.SortedFunc(maps.Keys(attempts), func(a, b attemptKey) int {
		if order := cmp.Compare(a.task.Job.String(), b.task.Job.String()); order != 0 {
			return order
		}
		if a.task.Index != b.task.Index {
			return a.task.Index - b.task.Index
		}
		return int(a.attempt) - int(b.attempt)
	})
}
