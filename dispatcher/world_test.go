package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/router"
	"agatevalve/runner"
)

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
}

func newWorld(seed uint64, entries, agents int) *world {
	w := &world{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)),
		claims: make(map[task.JobID]dispatcher.Claim), oracle: newOracle(),
		asks:  make(map[dispatcher.Ticket]question),
		calls: make(map[runner.Ticket]callback),
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
	n.paused, n.draining, n.held = false, false, nil
	n.core = dispatcher.New(dispatcher.Options{
		Self: n.self, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		QueueTasks: 40, KeepAnswers: 20 * time.Second, KeepBytes: 1 << 20, Random: w.random,
	})
	for _, h := range w.agents {
		w.toAgent(h, h.self, runner.LinkOpened{Entry: n.self})
	}
}

func (w *world) bootAgent(h *host) {
	h.self = task.Process{Name: h.name, Incarnation: h.self.Incarnation + 1}
	h.paused, h.hung, h.held = false, false, nil
	h.core = runner.New(runner.Options{
		Slots: 2, QueueLength: 1, Remember: 60, ResponseBytes: 1 << 10, ResultBytes: 1 << 16,
	})
	for _, n := range w.entries {
		w.toAgent(h, h.self, runner.LinkOpened{Entry: n.self})
	}
}

func (w *world) announceAll() {
	for _, h := range w.agents {
		for _, n := range w.entries {
			if !h.paused {
				w.toEntry(n, n.self, dispatcher.Announced{Announcement: dispatcher.Announcement{
					Peer: w.peer(h), Pools: []string{"desk"}, Load: h.core.Load(), Expires: w.now.Add(6 * time.Second),
				}})
			}
		}
	}
}

func (w *world) peer(h *host) dispatcher.Peer {
	return dispatcher.Peer{Process: h.self, Address: netip.MustParseAddrPort("127.0.0.1:2")}
}

func (w *world) post(m message) { w.flight = append(w.flight, m) }

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
	commands := append([]dispatcher.Command{}, n.core.Step(w.now, event)...)
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
	for _, command := range h.core.Step(w.now, event) {
		w.obeyAgent(h, command)
	}
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

func (w *world) obeyEntry(n *node, command dispatcher.Command) {
	self := n.self
	w.note(self, command)
	switch c := command.(type) {
	case dispatcher.Reply:
		w.reply(c)
	case dispatcher.WriteClaim:
		w.postClaim(n, c.Claim, func() bool { _, held := w.claims[c.Claim.Job]; return !held })
	case dispatcher.TakeClaim:
		w.postClaim(n, c.Claim, func() bool { return w.claims[c.Claim.Job].Token == c.Old.Token })
	case dispatcher.AskOwner:
		w.postAsk(n, c)
	case dispatcher.Fence:
		w.postFence(n, c)
	case dispatcher.Settle:
		w.postSettle(n, c)
	case dispatcher.Send:
		h := w.host(c.Agent.Process)
		w.post(message{text: "start", frame: true, deliver: func() {
			w.toAgent(h, c.Agent.Process, runner.Arrived{From: self, Start: c.Start})
		}})
	case dispatcher.Cancel:
		h := w.host(c.Agent.Process)
		w.post(message{text: "cancel", frame: true, deliver: func() {
			w.toAgent(h, c.Agent.Process, runner.Cancelled{Task: c.Sent.Task, Attempt: c.Sent.Attempt})
		}})
	case dispatcher.Acknowledge:
		h := w.host(c.Agent.Process)
		w.post(message{text: "ack", frame: true, deliver: func() {
			w.toAgent(h, c.Agent.Process, runner.Acknowledged{Task: c.Sent.Task, Attempt: c.Sent.Attempt})
		}})
	}
}

// reply ends a caller's wait or carries an owner's answer to the asker.
func (w *world) reply(r dispatcher.Reply) {
	q, asked := w.asks[r.Ticket]
	if !asked {
		w.oracle.replied(w.now, r)
		return
	}
	delete(w.asks, r.Ticket)
	to := q.asker.self
	w.post(message{text: "owner answer", deliver: func() {
		w.toEntry(q.asker, to, dispatcher.OwnerAnswered{Job: q.job, Known: r.Known, Answer: r.Answer})
	}, fail: func() { w.toEntry(q.asker, to, dispatcher.OwnerLost{Job: q.job}) }})
}

// postClaim applies a claim once, late or never, and reports its fate. A claim
// whose deadline has passed is reported as failed even if it took effect.
func (w *world) postClaim(n *node, claim dispatcher.Claim, free func() bool) {
	self := n.self
	w.post(message{text: "claim", store: true, deliver: func() {
		var event dispatcher.Event = dispatcher.ClaimWon{Claim: claim}
		if free() {
			w.claims[claim.Job] = claim
		} else {
			event = dispatcher.ClaimHeld{Claim: w.claims[claim.Job]}
		}
		w.post(message{text: "claim result", store: true, deliver: func() {
			if _, won := event.(dispatcher.ClaimWon); won && !w.now.Before(claim.Deadline) {
				event = dispatcher.ClaimFailed{Job: claim.Job, Reason: "its fate is unknown"}
			}
			w.toEntry(n, self, event)
		}})
	}})
}

func (w *world) postAsk(n *node, c dispatcher.AskOwner) {
	self := n.self
	lost := func() { w.toEntry(n, self, dispatcher.OwnerLost{Job: c.Claim.Job}) }
	w.post(message{text: "ask", fail: lost, deliver: func() {
		owner := w.node(c.Claim.Owner)
		if owner == nil || owner.self != c.Claim.Owner || owner.paused {
			lost()
			return
		}
		w.ticket++
		ticket := dispatcher.Ticket(1<<40 + w.ticket)
		w.asks[ticket] = question{asker: n, core: owner.core, job: c.Claim.Job}
		w.toEntry(owner, owner.self, dispatcher.Asked{
			Ticket: ticket, Team: c.Claim.Team, Job: c.Claim.Job, Digest: c.Claim.Digest, Deadline: c.Deadline,
		})
	}})
}

func (w *world) postFence(n *node, c dispatcher.Fence) {
	self, h := n.self, w.host(c.Agent.Process)
	failed := func() { w.toEntry(n, self, dispatcher.FenceFailed{Job: c.Job, Agent: c.Agent.Process}) }
	w.post(message{text: "fence", fail: failed, deliver: func() {
		if h.self != c.Agent.Process {
			failed()
			return
		}
		w.ticket++
		ticket := runner.Ticket(w.ticket)
		w.calls[ticket] = func(command runner.Command) {
			answer, ok := command.(runner.AnswerFence)
			if !ok {
				failed()
				return
			}
			w.post(message{text: "fenced", fail: failed, deliver: func() {
				w.toEntry(n, self, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process, Reports: answer.Reports})
			}})
		}
		w.toAgent(h, c.Agent.Process, runner.Fenced{Ticket: ticket, Fence: c})
	}})
}

func (w *world) postSettle(n *node, c dispatcher.Settle) {
	self, h := n.self, w.host(c.Agent.Process)
	failed := func(gone bool) {
		w.toEntry(n, self, dispatcher.SettleFailed{Agent: c.Agent.Process, Gone: gone, Tasks: c.Tasks})
	}
	w.post(message{text: "settle", fail: func() { failed(false) }, deliver: func() {
		if h.self != c.Agent.Process {
			failed(true)
			return
		}
		w.ticket++
		ticket := runner.Ticket(w.ticket)
		w.calls[ticket] = func(command runner.Command) {
			answer := command.(runner.AnswerSettle)
			w.post(message{text: "settled", fail: func() { failed(false) }, deliver: func() {
				w.toEntry(n, self, dispatcher.Settled{Agent: c.Agent.Process, Reports: answer.Reports})
			}})
		}
		w.toAgent(h, c.Agent.Process, runner.Settled{Ticket: ticket, Tasks: c.Tasks})
	}})
}

func (w *world) obeyAgent(h *host, command runner.Command) {
	from := h.self
	w.note(from, command)
	frame := func(to task.Process, text string, event dispatcher.Event) {
		load := h.core.Load()
		w.post(message{text: text, frame: true, deliver: func() {
			n := w.node(to)
			w.toEntry(n, to, event)
			w.toEntry(n, to, dispatcher.LoadSeen{Agent: from, Load: load})
		}})
	}
	switch c := command.(type) {
	case runner.Run:
		w.run(h, c.Start)
	case runner.Stop:
		w.post(message{text: "stopped", deliver: func() {
			w.toAgent(h, from, runner.MinionFailed{Task: c.Task, Attempt: c.Attempt, Reason: "stopped"})
		}})
	case runner.Accept:
		frame(c.To, "accept", dispatcher.Accepted{Agent: from, Task: c.Task, Attempt: c.Attempt})
	case runner.Refuse:
		frame(c.To, "refuse", dispatcher.Refused{Agent: from, Report: c.Report})
	case runner.Send:
		frame(c.To, "result", dispatcher.Ended{Agent: from, Report: c.Report})
	case runner.AnswerSettle:
		w.answerCall(c.Ticket, c)
	case runner.AnswerFence:
		w.answerCall(c.Ticket, c)
	case runner.Reject:
		w.answerCall(c.Ticket, c)
	}
}

func (w *world) answerCall(ticket runner.Ticket, command runner.Command) {
	if call := w.calls[ticket]; call != nil {
		delete(w.calls, ticket)
		call(command)
	}
}

// run starts a task at the minion, which answers when the fuzz says so.
func (w *world) run(h *host, s task.Start) {
	from := h.self
	id := s.Task
	if w.random.IntN(20) == 0 {
		w.post(message{text: "unreached", deliver: func() {
			w.toAgent(h, from, runner.MinionUnreached{Task: id, Attempt: s.Attempt})
		}})
		return
	}
	w.oracle.started(w.now, from, s)
	if h.hung {
		return
	}
	response := task.Response{Status: 200, Body: answerTo(s.Request)}
	if w.random.IntN(12) == 0 {
		response.Status = 500
	}
	w.post(message{text: "minion answer", deliver: func() {
		w.toAgent(h, from, runner.MinionAnswered{Task: id, Attempt: s.Attempt, Response: response})
	}, fail: func() {
		w.toAgent(h, from, runner.MinionFailed{Task: id, Attempt: s.Attempt, Reason: "cut"})
	}})
}

func answerTo(r task.Request) []byte { return append([]byte("answer to "), r.Body...) }

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

// nextWake returns the earliest wake after now, or until.
func (w *world) nextWake(until time.Time) time.Time {
	next := until
	consider := func(t time.Time) {
		if !t.IsZero() && t.After(w.now) && t.Before(next) {
			next = t
		}
	}
	for _, n := range w.entries {
		consider(n.core.NextWake())
	}
	for _, h := range w.agents {
		consider(h.core.NextWake())
	}
	return next
}

func (w *world) tick() {
	for _, n := range w.entries {
		if !n.paused {
			w.toEntry(n, n.self, dispatcher.Tick{})
		}
	}
	for _, h := range w.agents {
		if !h.paused {
			w.toAgent(h, h.self, runner.Tick{})
		}
	}
}

func (w *world) resumeEntry(n *node) {
	n.paused = false
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

// submit sends a submission of a caller to an entry.
func (w *world) submit(n *node, key task.Key, variant, tasks int, idempotent bool, within time.Duration) dispatcher.Ticket {
	w.ticket++
	s := dispatcher.Submission{
		Ticket: dispatcher.Ticket(w.ticket), Team: "climbs", Key: key,
		Digest: task.Digest{byte(variant)}, Deadline: w.now.Add(within),
		Plan: router.Plan{
			Route: router.Route{Name: fmt.Sprint("route", idempotent), Pool: "desk", Idempotent: idempotent},
			Pool:  router.Pool{Name: "desk"},
		},
	}
	name := string(key)
	if key == "" {
		name = fmt.Sprint("keyless-", w.ticket)
		if idempotent {
			name = fmt.Sprint("idempotent-", w.ticket)
		}
		s.Job = task.KeyedJobID("", task.Key(name))
	} else {
		s.Job = task.KeyedJobID(s.Team, key)
	}
	for i := range tasks {
		s.Tasks = append(s.Tasks, task.Request{Body: fmt.Appendf(nil, "%s/%d/%d", name, variant, i)})
	}
	w.oracle.submitted(w.now, n.self, s)
	w.toEntry(n, n.self, dispatcher.Submitted{Submission: s})
	return s.Ticket
}
