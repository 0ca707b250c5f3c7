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

// announceFor is how long an announcement stands.
const announceFor = announcer.Lifetime

// world joins shipped entry and agent cores by a network, a store and minions
// that do what the fuzz decides. Every message waits in flight until delivered.
type world struct {
	now     time.Time
	random  *rand.Rand
	entries []*node
	agents  []*host
	claims  map[task.JobID]dispatcher.Claim
	down    bool
	flight  []message
	oracle  *oracle
	ticket  uint64
	ports   ports
	// counts holds the counters of each run of an entry.
	counts map[task.Process]dispatcher.Counters
	// silent pairs exchange no frames; deaf pairs exchange no announcements.
	silent map[pair]bool
	deaf   map[pair]bool
	// slowUntil is when claims that are posted now reach the store at the
	// earliest.
	slowUntil time.Time
	// routes holds what the configuration says of each key's route.
	routes map[task.Key]route
	// trace tells what the cores did, for the report of a failure.
	trace []string
	// asks and calls name the question that a ticket stands for.
	asks  map[dispatcher.Ticket]question
	calls map[runner.Ticket]callback
}

// message is something on its way; deliver may be called more than once.
type message struct {
	text    string
	deliver func()
	// fail is called instead of, or before, deliver when the caller gives up.
	fail func()
	// frame is true for link frames, which may be lost or doubled.
	frame bool
	// store is true for claims, which wait while the store is down.
	store bool
	// result is true for the store's reply to a claim.
	result bool
	// pair is set for frames.
	pair pair
	// at is the earliest time of delivery.
	at time.Time
}

// pair names an entry and an agent by their places.
type pair struct{ entry, agent string }

// route is what the configuration says of a key.
type route struct {
	pool       string
	idempotent bool
}

type question struct {
	asker *node
	core  *dispatcher.Core
	job   task.JobID
}

type callback func(command runner.Command)

// node is an entry that restarts with a new incarnation.
type node struct {
	name   string
	core   *dispatcher.Core
	self   task.Process
	paused bool
	// draining entries are replaced by the next drain.
	draining bool
	// held are events that wait for the end of a pause.
	held []dispatcher.Event
	// resumed is when the last pause ended.
	resumed time.Time
	// skew is how far the entry's clock is ahead.
	skew time.Duration
	// links are those to agents that have announced themselves.
	links []*link
}

// host is an agent that restarts with a new incarnation.
type host struct {
	name   string
	core   *runner.Core
	self   task.Process
	paused bool
	held   []runner.Event
	// hung minions take tasks and never answer.
	hung bool
	// failing minions answer everything with an error.
	failing bool
	// skew is how far the agent's clock is ahead.
	skew time.Duration
	// leaving is true from a drain on.
	leaving bool
	// calls are the tasks that the minion has.
	calls map[work]bool
}

// work names an attempt at a minion.
type work struct {
	task    task.ID
	attempt task.Attempt
}

func newWorld(seed uint64, entries, agents int) *world {
	w := &world{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)),
		claims: make(map[task.JobID]dispatcher.Claim), oracle: newOracle(),
		asks:   make(map[dispatcher.Ticket]question),
		calls:  make(map[runner.Ticket]callback),
		counts: make(map[task.Process]dispatcher.Counters),
		silent: make(map[pair]bool), deaf: make(map[pair]bool),
		routes: map[task.Key]route{"": {pool: "desk"}, "idempotent": {pool: "desk", idempotent: true}},
	}
	for i := range entries {
		n := &node{name: fmt.Sprintf("entry-%d", i)}
		w.entries = append(w.entries, n)
		w.bootEntry(n)
	}
	for i := range agents {
		h := &host{name: fmt.Sprintf("agent-%d", i)}
		w.agents = append(w.agents, h)
		w.bootAgent(h)
	}
	w.announceAll()
	return w
}

func (w *world) bootEntry(n *node) {
	n.self = task.Process{Name: n.name, Incarnation: n.self.Incarnation + 1}
	n.paused, n.draining, n.held, n.links = false, false, nil, nil
	n.core = dispatcher.New(dispatcher.Options{
		Self: n.self, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		QueueTasks: 40, KeepAnswers: 20 * time.Second, KeepBytes: 1 << 20, Random: w.random,
	})
}

func (w *world) bootAgent(h *host) {
	h.self = task.Process{Name: h.name, Incarnation: h.self.Incarnation + 1}
	h.paused, h.hung, h.failing, h.leaving, h.held = false, false, false, false, nil
	h.calls = make(map[work]bool)
	h.core = runner.New(runner.Options{
		Slots: 2, QueueLength: 1, Remember: 60, ResponseBytes: 1 << 10, ResultBytes: 1 << 16,
	})
}

func (w *world) announceAll() {
	for _, h := range w.agents {
		for _, n := range w.entries {
			if !h.paused && !w.deaf[pair{n.name, h.name}] {
				w.meet(n, dispatcher.Announcement{
					Peer: w.peer(h), Pools: []string{"desk", "annex"}, Load: w.ports.loadOf(h),
					Expires: h.clock(w.now).Add(announceFor),
				})
			}
		}
	}
}

func (w *world) peer(h *host) dispatcher.Peer {
	return dispatcher.Peer{Process: h.self, Address: netip.MustParseAddrPort("127.0.0.1:2")}
}

func (w *world) post(m message) { w.flight = append(w.flight, m) }

// deliverable reports whether a message can arrive now.
func (w *world) deliverable(m message) bool {
	cut := m.store && w.down || m.frame && w.silent[m.pair]
	return !cut && !m.at.After(w.now)
}

// take removes a message from flight.
func (w *world) take(i int) message {
	m := w.flight[i]
	w.flight = append(w.flight[:i], w.flight[i+1:]...)
	return m
}

// toEntry steps an entry, unless that incarnation is gone.
func (w *world) toEntry(n *node, to task.Process, event dispatcher.Event) {
	if n.self != to {
		return
	}
	if n.paused {
		n.held = append(n.held, event)
		return
	}
	if _, tick := event.(dispatcher.Tick); !tick {
		w.note(n.self, event)
	}
	defer func() { w.counts[n.self] = n.core.Counters() }()
	commands := append([]dispatcher.Command{}, n.core.Step(n.clock(w.now), event)...)
	for _, command := range commands {
		w.obeyEntry(n, command)
	}
}

func (w *world) toAgent(h *host, to task.Process, event runner.Event) {
	if h.self != to {
		return
	}
	if h.paused {
		h.held = append(h.held, event)
		return
	}
	for _, command := range h.core.Step(h.clock(w.now), event) {
		w.obeyAgent(h, command)
	}
}

// clock returns what the entry's clock shows.
func (n *node) clock(now time.Time) time.Time { return now.Add(n.skew) }

// trueTime returns when the entry's clock shows a time.
func (n *node) trueTime(shown time.Time) time.Time { return shown.Add(-n.skew) }

// clock returns what the agent's clock shows.
func (h *host) clock(now time.Time) time.Time { return now.Add(h.skew) }

// skewEntry steps an entry's clock.
func (w *world) skewEntry(n *node, skew time.Duration) {
	n.skew = skew
	w.oracle.skewed(n)
}

func (w *world) host(p task.Process) *host {
	for _, h := range w.agents {
		if h.name == p.Name {
			return h
		}
	}
	return nil
}

func (w *world) node(p task.Process) *node {
	for _, n := range w.entries {
		if n.name == p.Name {
			return n
		}
	}
	return nil
}

func (w *world) note(who task.Process, what any) {
	at := w.now.Sub(epoch).Seconds()
	w.trace = append(w.trace, fmt.Sprintf("%7.3f %s.%d %T %v", at, who.Name, who.Incarnation, what, what))
}

// advance lets time pass, with a tick to each core when it wants one.
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

// nextWake returns the earliest wake, at least a millisecond from now, or until.
func (w *world) nextWake(until time.Time) time.Time {
	next := until
	consider := func(t time.Time) {
		if t.IsZero() {
			return
		}
		if soon := w.now.Add(time.Millisecond); t.Before(soon) {
			t = soon
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
			consider(k.wake())
		}
	}
	for _, h := range w.agents {
		if wake := h.core.NextWake(); !wake.IsZero() {
			consider(wake.Add(-h.skew))
		}
	}
	return next
}

func (w *world) tick() {
	for _, n := range w.entries {
		if n.paused {
			continue
		}
		for _, k := range n.links {
			w.watch(n, k)
		}
		w.toEntry(n, n.self, dispatcher.Tick{})
	}
	for _, h := range w.agents {
		if !h.paused {
			w.toAgent(h, h.self, runner.Tick{})
		}
	}
}

func (w *world) resumeEntry(n *node) {
	n.paused = false
	n.resumed = w.now
	w.oracle.resumed(w.now, n.self)
	held := n.held
	n.held = nil
	for _, event := range held {
		w.toEntry(n, n.self, event)
	}
	w.toEntry(n, n.self, dispatcher.Tick{})
}

func (w *world) resumeAgent(h *host) {
	h.paused = false
	held := h.held
	h.held = nil
	for _, event := range held {
		w.toAgent(h, h.self, event)
	}
	w.toAgent(h, h.self, runner.Tick{})
}

// sortedCalls returns the calls of a minion in a fixed order.
func sortedCalls(calls map[work]bool) []work {
	return slices.SortedFunc(maps.Keys(calls), func(a, b work) int {
		if order := cmp.Compare(a.task.Job.String(), b.task.Job.String()); order != 0 {
			return order
		}
		if a.task.Index != b.task.Index {
			return a.task.Index - b.task.Index
		}
		return int(a.attempt) - int(b.attempt)
	})
}
