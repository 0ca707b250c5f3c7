package dispatcher_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

const (
	// pairWithin is how long after one fault another makes a pair with it.
	pairWithin = 5 * time.Second
	// enoughSteps is how many steps should reach every fault and pair.
	enoughSteps = 20_000
)

// coverage counts what a fuzz run reached.
type coverage struct {
	actions  map[string]int
	faults   map[fault]int
	pairs    map[faultPair]int
	outcomes map[task.Outcome]int
	// counts sums the counters of all entries.
	counts dispatcher.Counters
}

// faultPair names two faults, the lesser name first.
type faultPair struct{ a, b fault }

func newCoverage() *coverage {
	return &coverage{
		actions: make(map[string]int), faults: make(map[fault]int),
		pairs: make(map[faultPair]int), outcomes: make(map[task.Outcome]int),
	}
}

// add takes in a run that has ended.
func (c *coverage) add(w *world) {
	for outcome, n := range w.oracle.outcomes {
		c.outcomes[outcome] += n
	}
	for _, counts := range w.counts {
		c.counts.Joined += counts.Joined
		c.counts.Takeovers += counts.Takeovers
		c.counts.Resends += counts.Resends
		c.counts.Refusals += counts.Refusals
		c.counts.Strays += counts.Strays
	}
}

func pairOf(a, b fault) faultPair {
	if b < a {
		a, b = b, a
	}
	return faultPair{a, b}
}

// report prints the coverage, and fails the test if a long run missed any.
func (c *coverage) report(t *testing.T) {
	t.Helper()
	steps := 0
	for _, n := range c.actions {
		steps += n
	}
	var names []fault
	for _, a := range (&fuzzer{}).faults() {
		names = append(names, a.fault)
	}
	slices.Sort(names)
	missed, table := c.table(names)
	t.Logf("steps: %d", steps)
	t.Logf("outcomes: %v", c.outcomes)
	t.Logf("joined: %d, taken over: %d, resent: %d, refused by agents: %d, strays: %d",
		c.counts.Joined, c.counts.Takeovers, c.counts.Resends, c.counts.Refusals, c.counts.Strays)
	t.Logf("other actions: %v", c.others())
	t.Logf("faults, and pairs of a fault with one that was on or struck up to %s before:\n%s", pairWithin, table)
	t.Logf("missed: %v", missed)
	if steps >= enoughSteps && len(missed) > 0 {
		t.Errorf("%d steps did not reach %v", steps, missed)
	}
}

// table returns a row for each fault, with its count, the number of the others
// it met, and the rarest of these meetings.
func (c *coverage) table(names []fault) (missed []string, table string) {
	var b strings.Builder
	for _, name := range names {
		if c.faults[name] == 0 {
			missed = append(missed, string(name))
		}
		met, rarest := 0, fault("")
		for _, other := range names {
			count := c.pairs[pairOf(name, other)]
			switch {
			case other == name:
				continue
			case count > 0:
				met++
			case name < other:
				missed = append(missed, fmt.Sprint(name, " with ", other))
			}
			if rarest == "" || count < c.pairs[pairOf(name, rarest)] {
				rarest = other
			}
		}
		fmt.Fprintf(&b, "%-20s %7d  met %d of %d, rarest %s %d\n", name, c.faults[name], met, len(names)-1, rarest, c.pairs[pairOf(name, rarest)])
	}
	return missed, b.String()
}

func (c *coverage) others() map[string]int {
	others := maps.Clone(c.actions)
	for _, a := range (&fuzzer{}).faults() {
		delete(others, a.name)
	}
	return others
}
