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
	// maxPairInterval is the longest time between two faults that count as a
	// pair.
	maxPairInterval = 5 * time.Second
	// minStepsForCoverage is the minimum number of steps of a test that must reach
	// every fault and every pair.
	minStepsForCoverage = 20_000
)

// coverage counts what all runs of a fuzz test reached.
type coverage struct {
	actions  map[string]int
	faults   map[fault]int
	pairs    map[faultPair]int
	outcomes map[task.Outcome]int
	// counters sums the counters of all entries.
	counters dispatcher.Counters
}

// faultPair is an unordered pair of faults; a has the lesser name.
type faultPair struct{ a, b fault }

// newCoverage returns a coverage without any counts.
func newCoverage() *coverage {
	return &coverage{
		actions: make(map[string]int), faults: make(map[fault]int),
		pairs: make(map[faultPair]int), outcomes: make(map[task.Outcome]int),
	}
}

// add adds the outcomes and counters of a finished run.
func (c *coverage) add(w *world) {
	for outcome, n := range w.oracle.outcomes {
		c.outcomes[outcome] += n
	}
	for _, counts := range w.counters {
		c.counters.Joined += counts.Joined
		c.counters.Takeovers += counts.Takeovers
		c.counters.Resends += counts.Resends
		c.counters.Refusals += counts.Refusals
		c.counters.Strays += counts.Strays
	}
}

// pairOf returns the pair of two faults.
func pairOf(a, b fault) faultPair {
	if b < a {
		a, b = b, a
	}
	return faultPair{a, b}
}

// report logs the coverage. It fails the test if at least minStepsForCoverage
// steps missed a fault or a pair.
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
	unreached, table := c.table(names)
	t.Logf("steps: %d", steps)
	t.Logf("outcomes: %v", c.outcomes)
	t.Logf("joined: %d, taken over: %d, resent: %d, refused by agents: %d, strays: %d",
		c.counters.Joined, c.counters.Takeovers, c.counters.Resends, c.counters.Refusals, c.counters.Strays)
	t.Logf("other actions: %v", c.otherActions())
	t.Logf("faults, and their pairs with faults that were active up to %s before:\n%s", maxPairInterval, table)
	t.Logf("not reached: %v", unreached)
	if steps >= minStepsForCoverage && len(unreached) > 0 {
		t.Errorf("%d steps did not reach %v", steps, unreached)
	}
}

// table returns the faults and pairs that were not reached, and a table with a
// row for each fault: its count, the number of other faults that it was paired
// with, and the rarest of these pairs.
func (c *coverage) table(names []fault) (unreached []string, table string) {
	var b strings.Builder
	for _, name := range names {
		if c.faults[name] == 0 {
			unreached = append(unreached, string(name))
		}
		paired, rarest := 0, fault("")
		for _, other := range names {
			count := c.pairs[pairOf(name, other)]
			switch {
			case other == name:
				continue
			case count > 0:
				paired++
			case name < other:
				unreached = append(unreached, fmt.Sprint(name, " with ", other))
			}
			if rarest == "" || count < c.pairs[pairOf(name, rarest)] {
				rarest = other
			}
		}
		fmt.Fprintf(&b, "%-20s %7d  paired with %d of %d, rarest %s %d\n", name, c.faults[name], paired, len(names)-1, rarest, c.pairs[pairOf(name, rarest)])
	}
	return unreached, b.String()
}

// otherActions returns the counts of the actions that are not faults.
func (c *coverage) otherActions() map[string]int {
	others := maps.Clone(c.actions)
	for _, a := range (&fuzzer{}).faults() {
		delete(others, a.name)
	}
	return others
}
