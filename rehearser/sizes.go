package rehearser

import (
	"cmp"
	"slices"
)

// SizedShare tells which part of a route's jobs was served, on time or late.
type SizedShare struct {
	// All is the share of all jobs, and Largest that of the tenth with the most
	// work.
	All, Largest float64
}

// servedBySize returns the served share of the jobs of each route.
func (v *verifier) servedBySize() map[string]SizedShare {
	byRoute := make(map[string][]*caller)
	for _, c := range v.world.sortedCallers() {
		if !c.deadly && !c.leftEarly {
			byRoute[c.route.Name] = append(byRoute[c.route.Name], c)
		}
	}
	shares := make(map[string]SizedShare)
	for name, callers := range byRoute {
		slices.SortStableFunc(callers, func(a, b *caller) int { return cmp.Compare(b.work(), a.work()) })
		shares[name] = SizedShare{All: servedShare(callers), Largest: servedShare(callers[:(len(callers)+9)/10])}
	}
	return shares
}

// work returns the work of all tasks of the job, in thousandths of a core times
// nanoseconds.
func (c *caller) work() int64 {
	sum := int64(0)
	for _, p := range c.profiles {
		sum += int64(p.Work) * p.Room.CPU
	}
	return sum
}

func servedShare(callers []*caller) float64 {
	served := 0
	for _, c := range callers {
		if c.served {
			served++
		}
	}
	return float64(served) / float64(len(callers))
}
