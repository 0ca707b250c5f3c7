package supervisor

import (
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// holdAgainAfter is the pause after a renewal that failed. It doubles with
	// each that fails up to lastHoldAgain.
	holdAgainAfter = 5 * time.Millisecond
	lastHoldAgain  = 100 * time.Millisecond
	// mostDoublings keeps the doubled pause from overflowing.
	mostDoublings = 8
	// staleAfter is how old the minion's last answer may be for a start or a
	// renewal. An order without an answer may have extended the lease, so the
	// lease of a silent minion has to be left to lapse.
	staleAfter = 250 * time.Millisecond
)

// startWaiting starts the queued runs that fit, most urgent first.
func (c *Core) startWaiting(now time.Time) {
	if !c.minion.usable() || now.Sub(c.minion.answered) > staleAfter {
		return
	}
	for {
		r := c.next(now)
		if r == nil {
			return
		}
		r.phase, r.began = starting, now
		c.used = c.used.Plus(r.order.Room)
		c.emit(StartRun{
			Run: r.order.Run, Spec: r.order.Spec, Minion: c.minion.Name, Incarnation: c.minion.Incarnation,
			Until: c.minion.lease(now, c.o.Lease),
		})
	}
}

// next returns the most urgent queued run that fits now, or nil.
func (c *Core) next(now time.Time) *run {
	free := c.minion.Room.Minus(c.used)
	var best *run
	for _, r := range c.byRun {
		if r.phase != queued || now.Before(r.notBefore) || !free.Holds(r.order.Room) || c.crowded(r) {
			continue
		}
		if best == nil || goesFirst(now, r.order, best.order) {
			best = r
		}
	}
	return best
}

// returnCrowded gives the least urgent runs back that would wait long, as after
// several entries have seen the same room. Their entries place them elsewhere.
func (c *Core) returnCrowded(now time.Time) {
	var waiting []*run
	total := int64(0)
	for _, r := range c.ordered() {
		if r.phase == queued && r.refusals == 0 {
			waiting = append(waiting, r)
			total += r.order.Room.CPU
		}
	}
	most := int64(c.o.QueuedShare * float64(c.minion.Room.CPU))
	if len(waiting) < 2 || total <= most {
		return
	}
	slices.SortFunc(waiting, func(a, b *run) int {
		if goesFirst(now, a.order, b.order) {
			return -1
		}
		return 1
	})
	for i := len(waiting) - 1; i > 0 && total > most; i-- {
		total -= waiting[i].order.Room.CPU
		c.end(now, waiting[i], work.Report{State: work.Refused, Reason: work.ReasonCrowded})
	}
}

// crowded reports whether the job has as many tasks here as it allows.
func (c *Core) crowded(r *run) bool {
	if r.order.MostBeside == 0 {
		return false
	}
	beside := 0
	for _, o := range c.byRun {
		if o.phase != queued && o.order.Run.Job == r.order.Run.Job {
			beside++
		}
	}
	return beside >= r.order.MostBeside
}

// goesFirst orders the queue: runs that can still meet their objective go
// before those that can't. Among the first the lower priority value goes first,
// and among equals the one with the least time left.
func goesFirst(now time.Time, a, b work.Order) bool {
	lateA, lateB := now.After(a.StartBefore), now.After(b.StartBefore)
	switch {
	case lateA != lateB:
		return !lateA
	case !lateA && a.Priority != b.Priority:
		return a.Priority < b.Priority
	case !lateA && !a.StartBefore.Equal(b.StartBefore):
		return a.StartBefore.Before(b.StartBefore)
	case lateA && !a.EndBefore.Equal(b.EndBefore):
		return a.EndBefore.Before(b.EndBefore)
	}
	return work.Compare(a.Run, b.Run) < 0
}

// hold renews the lease, and asks for what runs and what has ended.
func (c *Core) hold(now time.Time) {
	m := &c.minion
	if m.holding && !m.looking && c.awaitsList(now) {
		m.looking = true
		c.emit(HoldLease{Minion: m.Name, Incarnation: m.Incarnation, Acked: m.acked, Look: true, Patience: c.answers.patience()})
	}
	if m.holding || !m.known() || now.Before(m.holdAfter) {
		return
	}
	m.holding = true
	command := HoldLease{Minion: m.Name, Incarnation: m.Incarnation, Acked: m.acked, Patience: c.answers.patience()}
	if m.listed && len(m.strays) == 0 && now.Sub(m.answered) <= staleAfter {
		command.Until = m.lease(now, c.o.Lease)
		command.Wait = idleHoldWait
		if len(c.runs) > 0 {
			command.Wait = c.o.HoldWait
		}
		if now.Sub(c.doubted) < doubtFor {
			command.Wait = min(command.Wait, doubtfulHoldWait)
		}
	}
	c.emit(command)
}

// awaitsList reports whether a run was stopped that may never have started,
// which only a newer list tells.
func (c *Core) awaitsList(now time.Time) bool {
	for _, r := range c.byRun {
		if r.phase == doubtful && !r.stopTaken.IsZero() && r.stopTaken.Before(now) {
			return true
		}
	}
	return false
}
