package supervisor

import "time"

const (
	// maxStartRefusals is the number of start orders that the minion refused, for lack
	// of capacity or an expired lease, after which the agent reports the run as refused
	// to its entry, which places it at another minion.
	maxStartRefusals = 4
	// maxStartRepeats is the number of times that an unanswered start order is repeated
	// before the run is stopped. If a fifth of the orders is held, one of 600 runs is.
	maxStartRepeats = 3
)

// canStart reports whether start orders may be sent.
func (c *Core) canStart(now time.Time) bool {
	return c.minion.usable() && now.Sub(c.minion.lastAnswerAt) <= maxAnswerAge && c.fencing.raises == 0
}

// sendStart sends the start order of a run.
func (c *Core) sendStart(now time.Time, r *run) {
	r.startSentAt = now
	r.recordOrder(c.minion.Minion)
	if r.startRepeats == 0 {
		r.firstStartAt = now
	}
	c.emit(StartRun{
		Run: r.order.Run, Spec: r.order.Spec, Minion: c.minion.Name, Incarnation: c.minion.Incarnation,
		LeaseExpiry: c.minion.extendLease(now, c.options.Lease), FencingToken: c.fencing.token, SendBefore: now.Add(c.answerTime.timeout()),
	})
}

// handleUnansweredStart repeats a start order, which the minion carries out once, or
// stops the run. A confirmed stop binds one incarnation only, so a run that is stopped and
// placed elsewhere may still start at the next one; a repeated run stays here. A suspect
// is not repeated, since it may have crashed the minion.
func (c *Core) handleUnansweredStart(now time.Time, r *run) {
	c.lastUnansweredAt = now
	if r.startRepeats >= maxStartRepeats || r.onProbation() || !c.canStart(now) {
		r.phase, r.stops = uncertain, newStopOrders(now)
		r.recordStopCause(stopUnanswered)
		return
	}
	r.startRepeats++
	c.sendStart(now, r)
}
