package dispatcher_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/router"
)

// TestMain sets the default seed of rapid to 1, so that each run gives the same
// result, and its default number of steps to 300. The flags -rapid.seed and
// -rapid.steps set others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == "30" {
		_ = f.Value.Set("300")
	}
	os.Exit(m.Run())
}

// TestFuzzPromises applies random actions and faults to a simulated world. The
// oracle checks the promises after each step and at the end.
func TestFuzzPromises(t *testing.T) {
	c := newCoverage()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 3)
		f := &fuzzer{w: w, coverage: c, lastActive: make(map[fault]time.Time)}
		t.Repeat(f.actions())
		f.finishRun()
		f.checkViolations(t)
		f.checkDrained(t)
		c.add(w)
	})
	c.report(t)
}

// fuzzer draws and executes the steps of one run.
type fuzzer struct {
	w        *world
	coverage *coverage
	// lastActive is the time at which each fault last occurred or was last
	// active.
	lastActive map[fault]time.Time
	// steps counts the executed actions; draws counts the numbers drawn in the
	// current one. Skipped actions aren't counted, so that rapid can replay a
	// run.
	steps, draws uint64
}

// drawBelow draws a number below n. Rapid's own draws favour small values, so
// that the later actions would hardly be drawn; mixing in the step number
// removes that bias (SplitMix64, Steele and others, 2014).
func (f *fuzzer) drawBelow(t *rapid.T, n int) int {
	f.draws++
	z := rapid.Uint64().Draw(t, "pick") + (f.steps<<8+f.draws)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}

// checkViolations fails the test if a promise was broken or a reply is overdue.
func (f *fuzzer) checkViolations(t *rapid.T) {
	if len(f.w.oracle.violations) > 0 {
		t.Logf("trace:\n%s", strings.Join(f.w.trace, "\n"))
		t.Fatalf("violations: %v", f.w.oracle.violations)
	}
	if overdue := f.w.oracle.unansweredCallers(f.w); len(overdue) > 0 {
		t.Logf("trace:\n%s", strings.Join(f.w.trace, "\n"))
		t.Fatalf("overdue replies to callers: %v", overdue)
	}
}

// checkDrained checks that draining entries and agents can stop, now that all
// faults have ended and all deadlines have passed.
func (f *fuzzer) checkDrained(t *rapid.T) {
	for _, entry := range f.w.entries {
		if entry.draining && !f.w.stopEntry(entry) {
			t.Fatalf("%v is draining and can't stop", entry.self)
		}
	}
	for _, agent := range f.w.agents {
		if agent.leaving && !f.w.stopAgent(agent) {
			t.Fatalf("%v is draining and can't stop", agent.self)
		}
	}
	f.checkViolations(t)
}

// action is a fuzz step. It is drawn in proportion to its weight.
type action struct {
	name   string
	weight int
	run    func(*rapid.T)
	// fault is empty for actions that are not faults.
	fault fault
}

// ordinaryActions lists the actions that are not faults.
func (f *fuzzer) ordinaryActions() []action {
	return []action{
		{"submit", 24, f.submit, ""}, {"deliver-oldest", 60, f.deliverInOrder, ""}, {"pass-time", 12, f.advanceLong, ""},
		{"pass-moment", 12, f.advanceShort, ""}, {"withdraw", 3, f.cancelCaller, ""},
		{"mend", 6, f.endFaults, ""},
		{"stop-agent", 3, f.stopAgent, ""}, {"stop-entry", 3, f.stopEntry, ""},
	}
}

// actions returns the map for rapid's Repeat: one step that draws an action by
// weight, and the check that follows each step.
func (f *fuzzer) actions() map[string]func(*rapid.T) {
	list := append(f.ordinaryActions(), f.faults()...)
	var weighted []action
	for _, a := range list {
		for range a.weight {
			weighted = append(weighted, a)
		}
	}
	step := func(t *rapid.T) {
		f.draws = 0
		a := weighted[f.drawBelow(t, len(weighted))]
		a.run(t)
		f.steps++
		f.coverage.actions[a.name]++
		f.recordFault(a.fault)
	}
	return map[string]func(*rapid.T){"step": step, "": f.checkViolations}
}

// drawEntry draws one of the entries.
func (f *fuzzer) drawEntry(t *rapid.T) *simEntry {
	return f.w.entries[f.drawBelow(t, len(f.w.entries))]
}

// drawAgent draws one of the agents.
func (f *fuzzer) drawAgent(t *rapid.T) *simAgent {
	return f.w.agents[f.drawBelow(t, len(f.w.agents))]
}

// keyLifetime is the time after which a run replaces each key by a new one.
const keyLifetime = 25 * time.Second

// submit submits a job with a random key, content, size and timeout.
func (f *fuzzer) submit(t *rapid.T) {
	key := []task.Key{"", "a", "b", "c", "d", "idempotent"}[f.drawBelow(t, 6)]
	variant := 0
	if f.drawBelow(t, 10) == 0 {
		variant = 1
	}
	tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
	if key != "" {
		tasks = 1 + int(key[0])%3
	}
	r := f.routeOf(key)
	if key != "" {
		key += task.Key(fmt.Sprint(int(f.w.now.Sub(epoch) / keyLifetime)))
	} else {
		r.idempotent = rapid.Bool().Draw(t, "idempotent")
	}
	timeout := time.Duration(100+f.drawBelow(t, 8900)) * time.Millisecond
	entry := f.drawEntry(t)
	if entry.paused {
		t.Skip("the entry is paused")
	}
	f.w.submit(entry, key, variant, tasks, r, timeout)
}

// routeOf returns the configured route of a key.
func (f *fuzzer) routeOf(key task.Key) route {
	if r, ok := f.w.routes[key]; ok {
		return r
	}
	return deskRoute
}

// drawMessage draws the index of a matching message in flight, or skips the
// step if there is none.
func (f *fuzzer) drawMessage(t *rapid.T, matches func(message) bool) int {
	var found []int
	for i, m := range f.w.inFlight {
		if matches(m) {
			found = append(found, i)
		}
	}
	if len(found) == 0 {
		t.Skip("no such message")
	}
	return found[f.drawBelow(t, len(found))]
}

// deliverInOrder delivers up to 12 messages, the oldest first.
func (f *fuzzer) deliverInOrder(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "count") {
		f.deliverNext()
	}
}

// deliverNext delivers the oldest message that can arrive now, and reports
// whether there is one.
func (f *fuzzer) deliverNext() bool {
	for i, m := range f.w.inFlight {
		if f.w.deliverable(m) {
			f.w.removeMessage(i).deliver()
			return true
		}
	}
	return false
}

// advanceLong advances the time by up to 2.5 s.
func (f *fuzzer) advanceLong(t *rapid.T) {
	f.w.advance(f.w.now.Add(time.Duration(1+f.drawBelow(t, 2500)) * time.Millisecond))
}

// advanceShort advances the time by up to 100 ms.
func (f *fuzzer) advanceShort(t *rapid.T) {
	f.w.advance(f.w.now.Add(time.Duration(1+f.drawBelow(t, 100)) * time.Millisecond))
}

// cancelCaller makes a waiting caller cancel.
func (f *fuzzer) cancelCaller(t *rapid.T) {
	tickets := f.waitingCallers()
	if len(tickets) == 0 {
		t.Skip("no caller waits")
	}
	f.w.cancelWait(rapid.SampledFrom(tickets).Draw(t, "ticket"))
}

// waitingCallers lists the callers without a reply whose entry is neither
// paused nor restarted.
func (f *fuzzer) waitingCallers() []dispatcher.Ticket {
	var tickets []dispatcher.Ticket
	for ticket := dispatcher.Ticket(1); ticket <= dispatcher.Ticket(f.w.lastTicket); ticket++ {
		c := f.w.oracle.callers[ticket]
		if c == nil || c.replied {
			continue
		}
		if entry := f.w.entryOf(c.entry); entry.self == c.entry && !entry.paused {
			tickets = append(tickets, ticket)
		}
	}
	return tickets
}

// stopAgent carries out the planned stop of an agent.
func (f *fuzzer) stopAgent(t *rapid.T) {
	if !f.w.stopAgent(f.drawAgent(t)) {
		t.Skip("the agent can't stop")
	}
}

// stopEntry carries out the planned stop of an entry.
func (f *fuzzer) stopEntry(t *rapid.T) {
	if !f.w.stopEntry(f.drawEntry(t)) {
		t.Skip("the entry can't stop")
	}
}

// endFaults ends all lasting faults.
func (f *fuzzer) endFaults(*rapid.T) {
	f.w.storeDown = false
	f.w.storeSlowUntil = time.Time{}
	clear(f.w.lostAnnouncements)
	for _, entry := range f.w.entries {
		f.w.skewEntry(entry, 0)
		for _, agent := range f.w.agents {
			f.endSilence(entry, agent)
		}
		if entry.paused {
			f.w.resumeEntry(entry)
		}
	}
	for _, agent := range f.w.agents {
		agent.hung, agent.failing, agent.clockSkew = false, false, 0
		if agent.paused {
			f.w.resumeAgent(agent)
		}
	}
}

// finishRun ends all faults, delivers all messages, and lets every deadline
// pass.
func (f *fuzzer) finishRun() {
	f.endFaults(nil)
	for range 40 {
		for f.deliverNext() {
		}
		f.w.advance(f.w.now.Add(500 * time.Millisecond))
	}
}

// submit sends a submission to an entry. Every other caller sets an absolute
// deadline; the others set a timeout, which the entry converts by its own
// clock. An absolute deadline that has passed by the entry's clock is refused
// before the core gets the submission.
func (w *world) submit(entry *simEntry, key task.Key, variant, tasks int, r route, timeout time.Duration) {
	w.lastTicket++
	idempotent := r.idempotent
	deadline := entry.clock(w.now).Add(timeout)
	if w.lastTicket%2 == 0 {
		deadline = w.now.Add(timeout)
	}
	if !deadline.After(entry.clock(w.now)) {
		return
	}
	s := dispatcher.Submission{
		Ticket: dispatcher.Ticket(w.lastTicket), Team: "climbs", Key: key,
		Digest: task.Digest{byte(variant)}, Deadline: deadline,
		Plan: router.Plan{
			Route: router.Route{Name: fmt.Sprint("route", idempotent), Pool: r.pool, Idempotent: idempotent},
			Pool:  router.Pool{Name: r.pool},
		},
	}
	name := string(key)
	if key == "" {
		name = fmt.Sprint("keyless-", w.lastTicket)
		if idempotent {
			name = fmt.Sprint("idempotent-", w.lastTicket)
		}
		s.Job = task.KeyedJobID("", task.Key(name))
	} else {
		s.Job = task.KeyedJobID(s.Team, key)
	}
	for i := range tasks {
		s.Tasks = append(s.Tasks, task.Request{Body: fmt.Appendf(nil, "%s/%d/%d", name, variant, i)})
	}
	w.oracle.recordSubmission(entry, s)
	w.stepEntry(entry, entry.self, dispatcher.Submitted{Submission: s})
}

// cancelWait makes a caller cancel.
func (w *world) cancelWait(ticket dispatcher.Ticket) {
	c := w.oracle.callers[ticket]
	entry := w.entryOf(c.entry)
	// A reply that a clock step has made due precedes the cancellation.
	w.stepEntry(entry, c.entry, dispatcher.Tick{})
	if c.replied {
		return
	}
	c.replied = true
	w.stepEntry(entry, c.entry, dispatcher.WaitCancelled{Ticket: ticket})
}
