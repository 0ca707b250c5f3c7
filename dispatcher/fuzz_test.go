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

// TestMain fixes the seed of rapid, so that each run gives the same verdict.
// Another seed is taken with -rapid.seed.
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

func TestFuzzPromises(t *testing.T) {
	c := newCoverage()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 3)
		f := &fuzzer{w: w, coverage: c, last: make(map[fault]time.Time)}
		t.Repeat(f.actions())
		f.heal()
		f.check(t)
		f.checkIdle(t)
		c.add(w)
	})
	c.report(t)
}

type fuzzer struct {
	w        *world
	coverage *coverage
	// last is when each fault last struck, or was last seen to last.
	last map[fault]time.Time
	// steps counts the finished actions, and picks the draws of the present
	// one. A skipped action leaves no mark, so that rapid can replay a run.
	steps, picks uint64
}

// pick returns a number below n. Rapid's own draws lean to small values, which
// would starve the later actions; mixed with the step's number they don't
// (SplitMix64, Steele and others, 2014).
func (f *fuzzer) pick(t *rapid.T, n int) int {
	f.picks++
	z := rapid.Uint64().Draw(t, "pick") + (f.steps<<8+f.picks)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}

func (f *fuzzer) check(t *rapid.T) {
	if len(f.w.oracle.violations) > 0 {
		t.Logf("trace:\n%s", strings.Join(f.w.trace, "\n"))
		t.Fatalf("violations: %v", f.w.oracle.violations)
	}
	if late := f.w.oracle.unanswered(f.w); len(late) > 0 {
		t.Logf("trace:\n%s", strings.Join(f.w.trace, "\n"))
		t.Fatalf("callers without a reply: %v", late)
	}
}

// checkIdle expects that what is draining has finished, now that all faults
// have ended and all deadlines have passed.
func (f *fuzzer) checkIdle(t *rapid.T) {
	for _, n := range f.w.entries {
		if n.draining && !f.w.stopEntry(n) {
			t.Fatalf("%v can't stop", n.self)
		}
	}
	for _, h := range f.w.agents {
		if h.leaving && !f.w.stopAgent(h) {
			t.Fatalf("%v can't stop", h.self)
		}
	}
	f.check(t)
}

// action is a fuzz step with its share of all steps.
type action struct {
	name  string
	share int
	do    func(*rapid.T)
	// fault is empty for actions that are none.
	fault fault
}

// work lists the actions that are no faults.
func (f *fuzzer) work() []action {
	return []action{
		{"submit", 24, f.submit, ""}, {"deliver-oldest", 60, f.deliverOldest, ""}, {"pass-time", 12, f.passTime, ""},
		{"pass-moment", 12, f.passMoment, ""}, {"withdraw", 3, f.withdraw, ""},
		{"mend", 6, f.mend, ""},
		{"stop-agent", 3, f.stopAgent, ""}, {"stop-entry", 3, f.stopEntry, ""},
	}
}

func (f *fuzzer) actions() map[string]func(*rapid.T) {
	list := append(f.work(), f.faults()...)
	var shares []action
	for _, a := range list {
		for range a.share {
			shares = append(shares, a)
		}
	}
	step := func(t *rapid.T) {
		f.picks = 0
		a := shares[f.pick(t, len(shares))]
		a.do(t)
		f.steps++
		f.coverage.actions[a.name]++
		f.strike(a.fault)
	}
	return map[string]func(*rapid.T){"step": step, "": f.check}
}

func (f *fuzzer) entry(t *rapid.T) *node {
	return f.w.entries[f.pick(t, len(f.w.entries))]
}

func (f *fuzzer) agent(t *rapid.T) *host {
	return f.w.agents[f.pick(t, len(f.w.agents))]
}

// keyFor is how long a run uses a key, before it goes on with a new one.
const keyFor = 25 * time.Second

func (f *fuzzer) submit(t *rapid.T) {
	key := []task.Key{"", "a", "b", "c", "d", "idempotent"}[f.pick(t, 6)]
	variant := 0
	if f.pick(t, 10) == 0 {
		variant = 1
	}
	tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
	if key != "" {
		tasks = 1 + int(key[0])%3
	}
	r := f.routeOf(key)
	if key != "" {
		key += task.Key(fmt.Sprint(int(f.w.now.Sub(epoch) / keyFor)))
	} else {
		r.idempotent = rapid.Bool().Draw(t, "idempotent")
	}
	within := time.Duration(100+f.pick(t, 8900)) * time.Millisecond
	n := f.entry(t)
	if n.paused {
		t.Skip("the entry is paused")
	}
	f.w.submit(n, key, variant, tasks, r, within)
}

// routeOf returns what the configuration says of a key.
func (f *fuzzer) routeOf(key task.Key) route {
	if r, ok := f.w.routes[key]; ok {
		return r
	}
	return desk
}

// index draws a message that fits, or skips.
func (f *fuzzer) index(t *rapid.T, fits func(message) bool) int {
	var found []int
	for i, m := range f.w.flight {
		if fits(m) {
			found = append(found, i)
		}
	}
	if len(found) == 0 {
		t.Skip("no such message")
	}
	return found[f.pick(t, len(found))]
}

func (f *fuzzer) deliverOldest(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "count") {
		f.deliverFirst()
	}
}

func (f *fuzzer) deliverFirst() bool {
	for i, m := range f.w.flight {
		if f.w.deliverable(m) {
			f.w.take(i).deliver()
			return true
		}
	}
	return false
}

func (f *fuzzer) passTime(t *rapid.T) {
	f.w.advance(f.w.now.Add(time.Duration(1+f.pick(t, 2500)) * time.Millisecond))
}

func (f *fuzzer) passMoment(t *rapid.T) {
	f.w.advance(f.w.now.Add(time.Duration(1+f.pick(t, 100)) * time.Millisecond))
}

func (f *fuzzer) withdraw(t *rapid.T) {
	open := f.waiting()
	if len(open) == 0 {
		t.Skip("nobody waits")
	}
	f.w.withdraw(rapid.SampledFrom(open).Draw(t, "ticket"))
}

// waiting lists the callers without a reply whose entry is there.
func (f *fuzzer) waiting() []dispatcher.Ticket {
	var open []dispatcher.Ticket
	for ticket := dispatcher.Ticket(1); ticket <= dispatcher.Ticket(f.w.ticket); ticket++ {
		c := f.w.oracle.calls[ticket]
		if c == nil || c.replied {
			continue
		}
		if n := f.w.node(c.entry); n.self == c.entry && !n.paused {
			open = append(open, ticket)
		}
	}
	return open
}

func (f *fuzzer) stopAgent(t *rapid.T) {
	if !f.w.stopAgent(f.agent(t)) {
		t.Skip("the agent can't stop")
	}
}

func (f *fuzzer) stopEntry(t *rapid.T) {
	if !f.w.stopEntry(f.entry(t)) {
		t.Skip("the entry can't stop")
	}
}

// mend ends all faults that last.
func (f *fuzzer) mend(*rapid.T) {
	f.w.down = false
	f.w.slowUntil = time.Time{}
	clear(f.w.deaf)
	for _, n := range f.w.entries {
		f.w.skewEntry(n, 0)
		for _, h := range f.w.agents {
			f.endSilence(n, h)
		}
		if n.paused {
			f.w.resumeEntry(n)
		}
	}
	for _, h := range f.w.agents {
		h.hung, h.failing, h.skew = false, false, 0
		if h.paused {
			f.w.resumeAgent(h)
		}
	}
}

// heal ends all faults and lets every deadline pass.
func (f *fuzzer) heal() {
	f.mend(nil)
	for range 40 {
		for f.deliverFirst() {
		}
		f.w.advance(f.w.now.Add(500 * time.Millisecond))
	}
}

// submit sends a submission of a caller to an entry. Every other caller names
// the deadline itself, the rest leave it to the entry and its clock. A named one
// that has passed there is refused before the core gets it.
func (w *world) submit(n *node, key task.Key, variant, tasks int, r route, within time.Duration) {
	w.ticket++
	idempotent := r.idempotent
	deadline := n.clock(w.now).Add(within)
	if w.ticket%2 == 0 {
		deadline = w.now.Add(within)
	}
	if !deadline.After(n.clock(w.now)) {
		return
	}
	s := dispatcher.Submission{
		Ticket: dispatcher.Ticket(w.ticket), Team: "climbs", Key: key,
		Digest: task.Digest{byte(variant)}, Deadline: deadline,
		Plan: router.Plan{
			Route: router.Route{Name: fmt.Sprint("route", idempotent), Pool: r.pool, Idempotent: idempotent},
			Pool:  router.Pool{Name: r.pool},
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
	w.oracle.submitted(n, s)
	w.toEntry(n, n.self, dispatcher.Submitted{Submission: s})
}

// withdraw has a caller go away.
func (w *world) withdraw(ticket dispatcher.Ticket) {
	c := w.oracle.calls[ticket]
	n := w.node(c.entry)
	// A reply that a step of the clock has made due comes before.
	w.toEntry(n, c.entry, dispatcher.Tick{})
	if c.replied {
		return
	}
	c.replied = true
	w.toEntry(n, c.entry, dispatcher.WaitCancelled{Ticket: ticket})
}
