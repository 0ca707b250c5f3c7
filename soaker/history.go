package soaker

import (
	"slices"
	"time"

	"agatevalve/common/work"
)

// checkedMinion is the current minion of an agent, as the checker needs it. The
// checker's lock is held.
type checkedMinion interface {
	// Advance ends runs that are due.
	Advance(now time.Time)
	// Describe returns the description that the minion reports of itself.
	Describe() work.Minion
}

// interval is the time during which a minion ran a run.
type interval struct {
	run    work.Run
	minion string
	// start and end are what the minion says, which may arrive later, and in another
	// order than that of other minions. end is zero while the run goes on.
	start, end time.Time
	// limit returns the end of a run whose minion says nothing about it: that of its
	// lease. It is nil for minions in this process.
	limit func() time.Time
}

// endBy returns the end of the run as known at a time.
func (i *interval) endBy(now time.Time) time.Time {
	switch {
	case !i.end.IsZero():
		return i.end
	case i.limit != nil && i.limit().Before(now):
		return i.limit()
	default:
		return now
	}
}

// limitRun sets the limit of a run that has just been recorded. The lock is held.
func (c *checker) limitRun(minion string, run work.Run, limit func() time.Time) {
	for _, i := range c.history[run.Task] {
		if i.run == run && i.minion == minion && i.end.IsZero() {
			i.limit = limit
		}
	}
}

// endRuns records that a minion has ended with all its runs, whose leases have
// expired at their limit at the latest. The lock is held.
func (c *checker) endRuns(minion string, at time.Time) {
	for _, intervals := range c.history {
		for _, i := range intervals {
			if i.minion == minion && i.end.IsZero() {
				end := i.endBy(at)
				if end.Before(i.start) { // It started while the signal was on its way.
					end = i.start
				}
				c.runStopped(minion, i.run, work.Lost, end)
			}
		}
	}
}

// unreportedLosses returns the number of runs of a task whose leases have expired,
// but whose minion has not said so yet. The lock is held.
func (c *checker) unreportedLosses(task work.Task) int {
	now, losses := time.Now(), 0
	for _, i := range c.history[task] {
		if i.end.IsZero() && i.endBy(now).Before(now) {
			losses++
		}
	}
	return losses
}

// checkOverlaps reports each pair of runs of one task that ran at the same time. It
// is called at the end, when all minions have said what they ran. The lock is held.
func (c *checker) checkOverlaps(now time.Time) {
	for _, m := range c.minions {
		m.Advance(now)
	}
	type pair struct{ earlier, later *interval }
	var pairs []pair
	for _, intervals := range c.history {
		slices.SortFunc(intervals, func(a, b *interval) int { return a.start.Compare(b.start) })
		for n, later := range intervals {
			for _, earlier := range intervals[:n] {
				if earlier.endBy(now).After(later.start) && later.endBy(now).After(later.start) {
					pairs = append(pairs, pair{earlier, later})
				}
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return a.later.start.Compare(b.later.start) })
	for _, p := range pairs {
		c.addViolationLocked("twice: %s started at %s at %.3f s while %s was at work at %s from %.3f to %.3f s (UTC of the start: %s)", p.later.run, p.later.minion, c.seconds(p.later.start),
			p.earlier.run, p.earlier.minion, c.seconds(p.earlier.start), c.seconds(p.earlier.endBy(now)), p.later.start.UTC().Format("15:04:05.000"))
	}
}

// seconds returns the time since the start of the soak test.
func (c *checker) seconds(at time.Time) float64 { return at.Sub(c.startTime).Seconds() }
