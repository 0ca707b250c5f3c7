package dispatcher_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
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

// reached counts the fuzz actions that did something.
var reached = make(map[string]int)

func TestFuzzPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, 3)
		f := &fuzzer{w: w}
		t.Repeat(f.actions())
		f.heal()
		f.check(t)
		for outcome, n := range w.oracle.outcomes {
			outcomes[outcome] += n
		}
	})
	t.Logf("actions reached: %v", reached)
	t.Logf("outcomes: %v", outcomes)
}

// outcomes counts the replies of all runs.
var outcomes = make(map[task.Outcome]int)

type fuzzer struct {
	w *world
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
		t.Fatalf("callers without a reply: %v", late)
	}
}

// action is a fuzz step with its share of all steps.
type action struct {
	name  string
	share int
	do    func(*rapid.T)
}

func (f *fuzzer) actions() map[string]func(*rapid.T) {
	list := []action{
		{"submit", 20, f.submit}, {"deliver", 30, f.deliver}, {"deliver-oldest", 40, f.deliverOldest},
		{"lose", 3, f.lose}, {"double", 4, f.double}, {"fail", 4, f.fail},
		{"pass-time", 12, f.passTime}, {"link-lost", 4, f.linkLost},
		{"crash-entry", 2, f.crashEntry}, {"pause-entry", 4, f.pauseEntry},
		{"crash-agent", 2, f.crashAgent}, {"pause-agent", 4, f.pauseAgent},
		{"hang-minion", 2, f.hangMinion}, {"store", 3, f.store}, {"withdraw", 3, f.withdraw},
		{"drain-agent", 3, f.drainAgent}, {"drain-entry", 2, f.drainEntry},
	}
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
		reached[a.name]++
	}
	return map[string]func(*rapid.T){"step": step, "": f.check}
}

func (f *fuzzer) entry(t *rapid.T) *node {
	return f.w.entries[f.pick(t, len(f.w.entries))]
}

func (f *fuzzer) agent(t *rapid.T) *host {
	return f.w.agents[f.pick(t, len(f.w.agents))]
}

func (f *fuzzer) submit(t *rapid.T) {
	key := []task.Key{"", "a", "b", "c", "idempotent"}[f.pick(t, 5)]
	variant := 0
	if f.pick(t, 10) == 0 {
		variant = 1
	}
	tasks := rapid.IntRange(1, 4).Draw(t, "tasks")
	if key != "" {
		tasks = 1 + int(key[0])%3
	}
	idempotent := key == "idempotent" || key == "" && rapid.Bool().Draw(t, "idempotent")
	within := time.Duration(100+f.pick(t, 8900)) * time.Millisecond
	n := f.entry(t)
	if n.paused {
		t.Skip("the entry is paused")
	}
	f.w.submit(n, key, variant, tasks, idempotent, within)
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

func (f *fuzzer) deliverable(m message) bool { return !m.store || !f.w.down }

func (f *fuzzer) deliver(t *rapid.T) {
	f.w.take(f.index(t, f.deliverable)).deliver()
}

func (f *fuzzer) deliverOldest(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "count") {
		f.deliverFirst()
	}
}

func (f *fuzzer) deliverFirst() bool {
	for i, m := range f.w.flight {
		if f.deliverable(m) {
			f.w.take(i).deliver()
			return true
		}
	}
	return false
}

func (f *fuzzer) lose(t *rapid.T) {
	f.w.take(f.index(t, func(m message) bool { return m.frame }))
}

func (f *fuzzer) double(t *rapid.T) {
	f.w.flight[f.index(t, func(m message) bool { return m.frame })].deliver()
}

// fail gives up on a call; the call may still arrive later.
func (f *fuzzer) fail(t *rapid.T) {
	i := f.index(t, func(m message) bool { return m.fail != nil })
	m := f.w.flight[i]
	if rapid.Bool().Draw(t, "lost") {
		f.w.take(i)
	} else {
		f.w.flight[i].fail = nil
	}
	m.fail()
}

func (f *fuzzer) passTime(t *rapid.T) {
	f.w.advance(f.w.now.Add(time.Duration(1+f.pick(t, 2500)) * time.Millisecond))
}

func (f *fuzzer) linkLost(t *rapid.T) {
	n, h := f.entry(t), f.agent(t)
	f.w.toEntry(n, n.self, dispatcher.LinkLost{Agent: h.self})
	f.w.toAgent(h, h.self, runner.LinkClosed{Entry: n.self})
	f.w.toAgent(h, h.self, runner.LinkOpened{Entry: n.self})
}

func (f *fuzzer) crashEntry(t *rapid.T) { f.w.bootEntry(f.entry(t)) }

func (f *fuzzer) pauseEntry(t *rapid.T) {
	n := f.entry(t)
	if n.paused {
		f.w.resumeEntry(n)
		return
	}
	n.paused = true
}

func (f *fuzzer) crashAgent(t *rapid.T) { f.w.bootAgent(f.agent(t)) }

func (f *fuzzer) pauseAgent(t *rapid.T) {
	h := f.agent(t)
	if h.paused {
		f.w.resumeAgent(h)
		return
	}
	h.paused = true
}

func (f *fuzzer) hangMinion(t *rapid.T) {
	h := f.agent(t)
	h.hung = !h.hung
}

func (f *fuzzer) store(*rapid.T) { f.w.down = !f.w.down }

func (f *fuzzer) withdraw(t *rapid.T) {
	var open []dispatcher.Ticket
	for ticket := dispatcher.Ticket(1); ticket <= dispatcher.Ticket(f.w.ticket); ticket++ {
		if c := f.w.oracle.calls[ticket]; c != nil && !c.replied {
			open = append(open, ticket)
		}
	}
	if len(open) == 0 {
		t.Skip("nobody waits")
	}
	ticket := rapid.SampledFrom(open).Draw(t, "ticket")
	c := f.w.oracle.calls[ticket]
	n := f.w.node(c.entry)
	if n.self != c.entry || n.paused {
		t.Skip("the entry is not there")
	}
	c.replied = true
	f.w.toEntry(n, n.self, dispatcher.Withdrawn{Ticket: ticket})
}

func (f *fuzzer) drainAgent(t *rapid.T) {
	h := f.agent(t)
	leave := rapid.Bool().Draw(t, "leave")
	f.w.ticket++
	f.w.toAgent(h, h.self, runner.Drained{Ticket: runner.Ticket(f.w.ticket), Leave: leave})
}

func (f *fuzzer) drainEntry(t *rapid.T) {
	n := f.entry(t)
	if n.draining {
		f.w.bootEntry(n)
		return
	}
	n.draining = true
	f.w.toEntry(n, n.self, dispatcher.Drained{})
}

// heal ends all faults and lets every deadline pass.
func (f *fuzzer) heal() {
	f.w.down = false
	for _, h := range f.w.agents {
		f.w.resumeAgent(h)
	}
	for _, n := range f.w.entries {
		if n.paused {
			f.w.resumeEntry(n)
		}
	}
	for range 40 {
		for f.deliverFirst() {
		}
		f.w.advance(f.w.now.Add(500 * time.Millisecond))
	}
}
