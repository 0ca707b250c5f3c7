package scheduler

import (
	"time"

	"agatevalve/common/work"
)

const (
	// defaultDowntime is the expected time from a crash until the minion is back,
	// before one has been seen.
	defaultDowntime = 3 * time.Second
	// downtimeWeight is the weight of a new downtime in the moving average.
	downtimeWeight = 0.25
	// earlyReturn is the fraction of the expected downtime after which a minion may
	// be back. Nothing is given up because of minions that may be back in time.
	earlyReturn = 0.6
)

// observeReturn learns from the return of a minion how long they are down after a
// crash.
func (c *Core) observeReturn(now time.Time, a *agent) {
	if !a.down {
		return
	}
	a.down = false
	downtime := work.BoundedDuration(now.Sub(a.crashedAt))
	c.downtime += time.Duration(downtimeWeight * float64(downtime-c.downtime))
}

// returnTimes returns when the first of the minions that may run a job is expected
// back, at the earliest and on average. It returns false if one of them accepts
// work, or may do so at any time.
func (c *Core) returnTimes(now time.Time, j *job) (earliest, expected time.Time, allDown bool) {
	for _, a := range c.sortedAgents {
		if a.minion.Service != j.Service || !a.fits(j) || !c.opensTo(a, j) || a.leaving || a.minion.Draining || a.evacuated {
			continue
		}
		if !a.down {
			return time.Time{}, time.Time{}, false
		}
		if at := a.crashedAt.Add(c.downtime); !allDown || at.Before(expected) {
			expected, allDown = at, true
		}
	}
	earliest = expected.Add(-time.Duration((1 - earlyReturn) * float64(c.downtime)))
	return laterOf(now, earliest), laterOf(now, expected), allDown
}

// retryAfterReturn returns the time after which a job that no minion accepts now
// may be sent again.
func (c *Core) retryAfterReturn(now time.Time, j *job) time.Duration {
	if _, expected, allDown := c.returnTimes(now, j); allDown {
		return clampRetryAfter(expected.Sub(now))
	}
	return minRetryAfter
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
