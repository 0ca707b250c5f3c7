package supervisor

import (
	"slices"
	"time"

	"agatevalve/common/work"
)

// holdsRunsAtMinion reports whether runs may be at the minion.
func (c *Core) holdsRunsAtMinion() bool {
	return slices.ContainsFunc(c.sortedRuns, func(r *run) bool { return r.phase != queued })
}

// awaitPredecessor keeps the description of a minion of another name until the one in
// use has ended, or has answered. It proves the end of no run, since it may be late: of
// an earlier minion, whose number is higher if the time of day was set back.
func (c *Core) awaitPredecessor(now time.Time, successor work.Minion) {
	c.minion.successor, c.minion.successorAt = &successor, now
}

// rejectSuccessor ignores the description of another minion if the one in use has
// answered a request that was sent later.
func (c *Core) rejectSuccessor(requestedAt time.Time) {
	m := &c.minion
	if m.successor == nil || requestedAt.Before(m.successorAt) {
		return
	}
	c.ignoreDescription(*m.successor, "the minion in use has answered since")
	m.successor = nil
}

// useSuccessor switches to the minion that has described itself once no run is left at
// the one in use.
func (c *Core) useSuccessor(now time.Time) {
	if c.minion.successor == nil || c.holdsRunsAtMinion() {
		return
	}
	next := *c.minion.successor
	c.replaceMinion(now, next, nil)
	c.emit(StoreMinion{Minion: next})
}
