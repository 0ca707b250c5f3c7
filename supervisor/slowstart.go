package supervisor

import "time"

const (
	// initialShare is the share of its room that a cold minion is given at first.
	initialShare = 0.1
	// slowStartPeriod limits the slow start of a minion that doesn't say how long
	// it stays cold.
	slowStartPeriod = 3 * time.Second
	// coldSlowness is the logarithm of the factor by which runs at a cold minion are
	// expected to take longer, before one has shown it.
	coldSlowness = 0.7
	// maxColdPeriod bounds the time for which a minion says that it stays cold.
	maxColdPeriod = time.Minute
)

// slowStart limits the room of a minion that may be cold: after it returned from
// evacuation, or while it says so after a start. Each run that succeeds opens as
// much room as it took, which doubles the room with each generation of runs; a cold
// minion completes them later and gets its room later. The zero value limits
// nothing.
type slowStart struct {
	// until is the end of the slow start; zero while there is none.
	until time.Time
	// openedCPU is the CPU of the runs that succeeded since its begin.
	openedCPU int64
}

// begin starts anew. coldUntil is zero or in the past for a minion that says
// nothing.
func (s *slowStart) begin(now, coldUntil time.Time) {
	*s = slowStart{until: now.Add(slowStartPeriod)}
	if coldUntil.After(now) {
		s.until = coldUntil
		if limit := now.Add(maxColdPeriod); coldUntil.After(limit) {
			s.until = limit
		}
	}
}

// succeeded records a run that has taken cpu and succeeded.
func (s *slowStart) succeeded(cpu int64) {
	if !s.until.IsZero() {
		s.openedCPU += cpu
	}
}

// beginSlowStart limits the minion's room for a while, and lets the next few runs
// show how slow it is. What it was before says little of that.
func (c *Core) beginSlowStart(now, coldUntil time.Time) {
	c.slowStart.begin(now, coldUntil)
	c.slowness.samples, c.slowness.updatedAt = 0, now
	if coldUntil.After(now) {
		c.slowness.current = c.slowness.baseline + coldSlowness
	}
}

// observeCold begins or ends the slow start by what the minion says of itself.
func (c *Core) observeCold(now, coldUntil time.Time) {
	wasCold := c.minion.ColdUntil.After(now)
	switch cold := coldUntil.After(now); {
	case cold && !wasCold:
		c.beginSlowStart(now, coldUntil)
	case !cold && wasCold:
		c.slowStart = slowStart{}
	}
}

// withheldCPU returns the free CPU of the minion that is not used while it is
// cold.
func (c *Core) withheldCPU(now time.Time) int64 {
	all := c.minion.Room.CPU
	return max(0, all-max(c.slowStart.limit(now, all), c.allocated.CPU))
}

// limit returns how much of the minion's CPU may be filled.
func (s *slowStart) limit(now time.Time, cpu int64) int64 {
	if s.until.IsZero() {
		return cpu
	}
	limit := int64(initialShare*float64(cpu)) + s.openedCPU
	if limit >= cpu || !now.Before(s.until) {
		s.until = time.Time{}
		return cpu
	}
	return limit
}
