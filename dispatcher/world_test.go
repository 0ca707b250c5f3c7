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
	// No frames arrive over silentLinks, and no announcements between the ends
	// in lostAnnouncements.
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
		n := &simEntry{name: fmt.Sprintf("entry-%d", i)}
		w.entries = append(w.entries, n)
		w.startEntry(n)
	}
	for i := range agents {
		h := &simAgent{name: fmt.Sprintf("agent-%d", i)}
		w.agents = append(w.agents, h)
		w.startAgent(h)
	}
	w.announceAll()
	return w
}

// startEntry starts an entry, or restarts it without its state.
func (w *world) startEntry(n *simEntry) {
	n.self = task.Process{Name: n.name, Incarnation: n.self.Incarnation + 1}
	n.paused, n.draining, n.heldEvents, n.links = false, false, nil, nil
	n.core = dispatcher.New(dispatcher.Options{
		Self: n.self, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		QueueTasks: 40, KeepAnswers: 20 * time.Second, KeepBytes: 1 << 20, Random: w.random,
	})
}

// startAgent starts an agent, or restarts it without its state.
func (w *world) startAgent(h *simAgent) {
	h.self = task.Process{Name: h.name, Incarnation: h.self.Incarnation + 1}
	h.paused, h.hung, h.failing, h.leaving, h.heldEvents = false, false, false, false, nil
	h.running = make(map[attemptKey]bool)
	h.core = runner.New(runner.Options{
		Slots: 2, QueueLength: 1, Remember: 60, ResponseBytes: 1 << 10, ResultBytes: 1 << 16,
	})
}

// announceAll announces every agent to every entry, unless the agent is paused
// or the announcement is lost.
func (w *world) announceAll() {
	for _, h := range w.agents {
		for _, n := range w.entries {
			if !h.paused && !w.lostAnnouncements[linkEnds{n.name, h.name}] {
				w.handleAnnouncement(n, dispatcher.Announcement{
					Peer: w.peerOf(h), Pools: []string{"desk", "annex"}, Load: w.injected.loadOf(h),
					Expires: h.clock(w.now).Add(announcementLifetime),
				})
			}
		}
	}
}

// peerOf returns the present incarnation of an agent.
func (w *world) peerOf(h *simAgent) dispatcher.Peer {
	return dispatcher.Peer{Process: h.self, Address: netip.MustParseAddrPort("127.0.0.1:2")}
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
func (w *world) stepEntry(n *simEntry, to task.Process, event dispatcher.Event) {
	if n.self != to {
		return
	}
	if n.paused {
		n.heldEvents = append(n.heldEvents, event)
		return
	}
	if _, tick := event.(dispatcher.Tick); !tick {
		w.addTrace(n.self, event)
	}
	defer func() { w.counters[n.self] = n.core.Counters() }()
	commands := append([]dispatcher.Command{}, n.core.Step(n.clock(w.now), event)...)
	for _, command := range commands {
		w.executeEntryCommand(n, command)
	}
}

// stepAgent sends an event to an incarnation of an agent and executes its
// commands. A paused agent gets the event when it resumes.
func (w *world) stepAgent(h *simAgent, to task.Process, event runner.Event) {
	if h.self != to {
		return
	}
	if h.paused {
		h.heldEvents = append(h.heldEvents, event)
		return
	}
	for _, command := range h.core.Step(h.clock(w.now), event) {
		w.executeAgentCommand(h, command)
	}
}

// clock returns the time that the entry's clock shows.
func (n *simEntry) clock(now time.Time) time.Time { return now.Add(n.clockSkew) }

// trueTime returns the time at which the entry's clock shows the given one.
func (n *simEntry) trueTime(shown time.Time) time.Time { return shown.Add(-n.clockSkew) }

// clock returns the time that the agent's clock shows.
func (h *simAgent) clock(now time.Time) time.Time { return now.Add(h.clockSkew) }

// skewEntry steps an entry's clock to the given skew.
func (w *world) skewEntry(n *simEntry, skew time.Duration) {
	n.clockSkew = skew
	w.oracle.recordClockStep(n)
}

// agentOf returns the agent of which p is an incarnation, or nil.
func (w *world) agentOf(p task.Process) *simAgent {
	for _, h := range w.agents {
		if h.name == p.Name {
			return h
		}
	}
	return nil
}

// entryOf returns the entry of which p is an incarnation, or nil.
func (w *world) entryOf(p task.Process) *simEntry {
	for _, n := range w.entries {
		if n.name == p.Name {
			return n
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
	for _, n := range w.entries {
		if wake := n.core.NextWake(); !wake.IsZero() {
			consider(n.trueTime(wake))
		}
		for _, k := range n.links {
			consider(k.nextCheck())
		}
	}
	for _, h := range w.agents {
		if wake := h.core.NextWake(); !wake.IsZero() {
			consider(wake.Add(-h.clockSkew))
		}
	}
	return next
}

// tick maintains the links and ticks the cores, except those that are paused.
func (w *world) tick() {
	for _, n := range w.entries {
		if n.paused {
			continue
		}
		for _, k := range n.links {
			w.maintainLink(n, k)
		}
		w.stepEntry(n, n.self, dispatcher.Tick{})
	}
	for _, h := range w.agents {
		if !h.paused {
			w.stepAgent(h, h.self, runner.Tick{})
		}
	}
}

// resumeEntry ends an entry's pause and sends it the held events.
func (w *world) resumeEntry(n *simEntry) {
	n.paused = false
	n.resumedAt = w.now
	w.oracle.recordResume(w.now, n.self)
	held := n.heldEvents
	n.heldEvents = nil
	for _, event := range held {
		w.stepEntry(n, n.self, event)
	}
	w.stepEntry(n, n.self, dispatcher.Tick{})
}

// resumeAgent ends an agent's pause and sends it the held events.
func (w *world) resumeAgent(h *simAgent) {
	h.paused = false
	held := h.heldEvents
	h.heldEvents = nil
	for _, event := range held {
		w.stepAgent(h, h.self, event)
	}
	w.stepAgent(h, h.self, runner.Tick{})
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
