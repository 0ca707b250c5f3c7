package supervisor

import (
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// minRenewalBackoff is the delay of the next renewal after a failed one.
	// It doubles with each further failure up to maxRenewalBackoff.
	minRenewalBackoff = 5 * time.Millisecond
	maxRenewalBackoff = 100 * time.Millisecond
	// maxBackoffDoublings keeps the doubled delay from overflowing.
	maxBackoffDoublings = 8
	// maxAnswerAge is the maximum age of the minion's last answer for sending
	// a start or extending the lease. An unanswered order may have extended
	// the lease, so the lease of a silent minion must be left to expire.
	maxAnswerAge = 250 * time.Millisecond
)

// startQueued starts the queued runs that fit into the free capacity, most
// urgent first.
func (c *Core) startQueued(now time.Time) {
	if !c.canStart(now) {
		return
	}
	for {
		r := c.nextRun(now)
		if r == nil {
			return
		}
		r.phase = starting
		c.allocated = c.allocated.Plus(r.order.Room)
		c.sendStart(now, r)
	}
}

// nextRun returns the most urgent queued run that fits now, or nil. An idle minion
// runs any task, also while it is cold.
func (c *Core) nextRun(now time.Time) *run {
	free := c.minion.Room.Minus(c.allocated)
	if c.allocated != (work.Room{}) {
		free.CPU -= c.withheldCPU(now)
	}
	var best *run
	for _, r := range c.sortedRuns {
		if r.phase != queued || now.Before(r.notBefore) || !free.Holds(r.order.Room) || c.atJobLimit(r) || c.awaitsProbation(r) {
			continue
		}
		if best == nil || moreUrgent(now, r.order, best.order) {
			best = r
		}
	}
	return best
}

// refuseExcessQueued refuses the least urgent queued runs beyond the share of
// capacity that may be queued. This happens when several entries see the same
// free capacity and fill it at once; they then place the refused runs at other
// minions.
func (c *Core) refuseExcessQueued(now time.Time) {
	var waiting []*run
	queuedCPU := int64(0)
	for _, r := range c.copyRuns() {
		if r.phase == queued && r.startRefusals == 0 {
			waiting = append(waiting, r)
			queuedCPU += r.order.Room.CPU
		}
	}
	limit := int64(c.options.QueuedShare * float64(c.minion.Room.CPU))
	if len(waiting) < 2 || queuedCPU <= limit {
		return
	}
	slices.SortFunc(waiting, func(a, b *run) int {
		if moreUrgent(now, a.order, b.order) {
			return -1
		}
		return 1
	})
	for i := len(waiting) - 1; i > 0 && queuedCPU > limit; i-- {
		queuedCPU -= waiting[i].order.Room.CPU
		c.endRun(now, waiting[i], ProofNotOrdered, work.Report{State: work.Refused, Reason: work.ReasonCrowded})
	}
}

// atJobLimit reports whether this minion runs as many tasks of the job as the
// job allows on one minion.
func (c *Core) atJobLimit(r *run) bool {
	if r.order.MaxPerMinion == 0 {
		return false
	}
	count := 0
	for _, o := range c.sortedRuns {
		if o.phase != queued && o.order.Run.Job == r.order.Run.Job {
			count++
		}
	}
	return count >= r.order.MaxPerMinion
}

// moreUrgent orders the queue: runs that can still meet their latency
// objective precede those that can't. The former are ordered by priority
// value, lowest first, then by the latest start that meets the objective; the
// latter by deadline.
func moreUrgent(now time.Time, a, b work.Order) bool {
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

// renewLease renews the lease, and requests the lists of running and ended
// runs.
func (c *Core) renewLease(now time.Time) {
	m := &c.minion
	if now.Before(c.fencing.retryAt) {
		return
	}
	if m.renewalInFlight && !m.listInFlight && c.needsNewerList(now) {
		m.listInFlight = true
		c.emit(RenewLease{
			Minion: m.Name, Incarnation: m.Incarnation, Acked: m.ackableEnd(), ListOnly: true, AnswerTimeout: c.answerTime.timeout(),
			FencingToken: c.fencing.token,
		})
	}
	if m.renewalInFlight || !m.known() && len(c.runs) == 0 || now.Before(m.nextRenewalAt) {
		return
	}
	m.renewalInFlight = true
	c.emit(c.renewal(now))
}

// renewal returns the next renewal. It extends no lease while the minion is silent or
// runs something of an earlier agent process, or after its departure.
func (c *Core) renewal(now time.Time) RenewLease {
	m := &c.minion
	command := RenewLease{
		Minion: m.Name, Incarnation: m.Incarnation, Acked: m.ackableEnd(), AnswerTimeout: c.answerTime.timeout(), FencingToken: c.fencing.token,
	}
	if !m.reconciled || len(m.orphans) > 0 || now.Sub(m.lastAnswerAt) > maxAnswerAge {
		return command
	}
	if m.known() {
		command.LeaseExpiry = m.extendLease(now, c.options.Lease)
	}
	command.Wait = idleRenewalWait
	if len(c.runs) > 0 {
		command.Wait = c.options.RenewalWait
	}
	if now.Sub(c.lastUnansweredAt) < shortRenewalPeriod {
		command.Wait = min(command.Wait, shortRenewalWait)
	}
	if c.fencing.raises > 0 {
		command.Wait = 0 // Queued runs wait for the answer.
	}
	return command
}

// needsNewerList reports whether a stopped run may never have started, a run may
// have survived its probation, the minion has not answered a raised fencing token, or
// another one may have followed it. Only a list requested afterwards shows it.
func (c *Core) needsNewerList(now time.Time) bool {
	if c.fencing.raises > 0 || !c.minion.lapsedAt.IsZero() || c.minion.successor != nil {
		return true
	}
	for _, r := range c.sortedRuns {
		if r.outlived(now) {
			return true
		}
		if r.phase == uncertain && !r.stopAckedAt.IsZero() && r.stopAckedAt.Before(now) {
			return true
		}
	}
	return false
}
