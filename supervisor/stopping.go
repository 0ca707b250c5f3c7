package supervisor

import (
	"maps"
	"slices"
	"time"

	"agatevalve/common/work"
)

// stopOrders is the state of the stop orders for one run. At most one is under way:
// repeated ones would fill the queue to a minion that is slow to answer, and delay the
// stops of other runs.
type stopOrders struct {
	// dueAt is the earliest time of the next order.
	dueAt time.Time
	// inFlight is true while the result of an order is awaited.
	inFlight bool
	// unanswered counts the orders without an answer since the last answered one.
	unanswered int
}

// newStopOrders returns the state of a run of which the first stop order is due.
func newStopOrders(now time.Time) stopOrders { return stopOrders{dueAt: now} }

// order returns the next stop order for a run, if one is due. Its timeout doubles with
// each unanswered one, as the retransmission timer of TCP does (RFC 6298).
func (s *stopOrders) order(c *Core, now time.Time, run work.Run) (StopRun, bool) {
	if s.inFlight || now.Before(s.dueAt) {
		return StopRun{}, false
	}
	s.inFlight = true
	timeout := min(c.answerTime.timeout()<<min(s.unanswered, maxBackoffDoublings), maxAnswerTimeout)
	return StopRun{
		Run: run, Incarnation: c.minion.Incarnation, FencingToken: c.fencing.token, AnswerTimeout: timeout, Repeated: s.unanswered > 0,
	}, true
}

// completed records the result of an order. One that was answered is repeated later, in
// case the minion still lists the run; one that was refused, with the newest token.
func (s *stopOrders) completed(c *Core, now time.Time, ev StopAnswered) {
	s.inFlight, s.dueAt = false, now
	switch {
	case ev.Fenced:
		s.dueAt = c.fencing.retryAt
	case ev.Answered:
		s.unanswered, s.dueAt = 0, now.Add(maxAnswerTimeout)
	default:
		s.unanswered++
	}
}

// sendDueStops sends the stop orders that are due, repeated until the minion's
// lists show that they took effect.
func (c *Core) sendDueStops(now time.Time) {
	if c.minion.Name == "" {
		return
	}
	for _, r := range c.copyRuns() {
		if r.phase != uncertain && r.phase != stopping {
			continue
		}
		if order, due := r.stops.order(c, now, r.order.Run); due {
			r.stopSent = true
			if r.stopSentAt.IsZero() {
				r.stopSentAt = now
			}
			c.emit(order)
		}
	}
	for _, orphan := range slices.SortedFunc(maps.Keys(c.minion.orphans), work.Compare) {
		if order, due := c.minion.orphans[orphan].order(c, now, orphan); due {
			c.emit(order)
		}
	}
}

func (ev StopAnswered) apply(c *Core, now time.Time) {
	if ev.Fenced {
		c.refuseToken(now, ev.FencingToken)
	}
	if ev.Incarnation != c.minion.Incarnation {
		return
	}
	r := c.runs[ev.Run]
	if r != nil {
		r.stops.completed(c, now, ev)
	}
	if orphan := c.minion.orphans[ev.Run]; orphan != nil { // Of a run that is queued here.
		orphan.completed(c, now, ev)
	}
	if ev.Fenced {
		return
	}
	c.minion.observeClock(now, ev.Clock)
	if r != nil && ev.Answered && r.stopAckedAt.IsZero() {
		// If the run was running, its capacity stays allocated until its end is listed.
		r.stopAckedAt = now
	}
}
