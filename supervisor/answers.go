package supervisor

import (
	"maps"
	"slices"
	"time"

	"agatevalve/common/work"
)

// apply updates the run: it is running, queued again, refused, or ordered again or
// uncertain if no answer came.
func (ev StartAnswered) apply(c *Core, now time.Time) {
	if ev.Answer == StartFenced {
		c.refuseToken(now, ev.FencingToken)
	}
	r := c.runs[ev.Run]
	if r != nil && r.incarnation == ev.Incarnation {
		r.answer, r.answeredAt = ev.Answer, now
	}
	if ev.Incarnation != c.minion.Incarnation {
		return
	}
	c.minion.observeClock(now, ev.Clock)
	if r == nil {
		return
	}
	if r.startRepeats == 0 && ev.Answer != StartUnanswered && ev.Answer != StartUnreachable {
		c.answerTime.add(now.Sub(r.startSentAt))
	}
	if r.phase == starting || r.phase == uncertain {
		c.handleStartAnswer(now, r, ev.Answer)
	}
}

// handleStartAnswer handles the answer to a start that was not confirmed before.
func (c *Core) handleStartAnswer(now time.Time, r *run, answer StartAnswer) {
	switch answer {
	case StartAccepted:
		r.confirmedAt = now
		c.confirmStart(r)
	case StartUnanswered:
		if r.phase == starting && r.startRepeats == 0 {
			c.handleUnansweredStart(now, r)
		}
	default:
		c.handleStartRefusal(now, r, answer)
	}
}

// confirmStart records that the minion has started a run.
func (c *Core) confirmStart(r *run) {
	if r.stopRequested || r.stopSent || !r.stopAckedAt.IsZero() {
		r.phase = stopping
		return
	}
	r.phase = running
}

// handleStartRefusal handles an answer that proves that the run has not
// started, unless the order was repeated.
func (c *Core) handleStartRefusal(now time.Time, r *run, answer StartAnswer) {
	if answer != StartFenced {
		r.startRefusals++
	}
	switch {
	case r.startRepeats > 0: // An earlier order may still take effect.
		if r.phase == starting {
			r.phase, r.stops = uncertain, newStopOrders(now)
			r.recordStopCause(stopUnanswered)
		}
	case r.phase == uncertain:
		c.endRun(now, r, ProofStartRefused, work.Report{State: work.Stopped, Reason: work.ReasonUnstarted})
	case answer == StartFenced:
		c.allocated = c.allocated.Minus(r.order.Room)
		r.phase = queued
	case answer == StartOld:
		c.endRun(now, r, ProofStartRefused, work.Report{State: work.Refused, Reason: work.ReasonOld})
	case answer == StartMalformed:
		c.endRun(now, r, ProofStartRefused, work.Report{State: work.Refused, Reason: work.ReasonMalformed})
	case answer == StartUnhealthy:
		c.endRun(now, r, ProofStartRefused, work.Report{State: work.Refused, Reason: work.ReasonUnhealthy})
	case answer == StartUnreachable || answer == StartOtherIncarnation || r.startRefusals >= maxStartRefusals:
		c.endRun(now, r, ProofStartRefused, work.Report{State: work.Refused, Reason: work.ReasonUnreachable})
	default:
		c.allocated = c.allocated.Minus(r.order.Room)
		r.phase, r.notBefore = queued, now.Add(startRetryDelay)
	}
}

// apply updates all runs from the minion's lists. The minion becomes usable
// once a list shows no run of an earlier agent process. The fencing token of the
// list then keeps out what that process has left unanswered.
func (ev RunsListed) apply(c *Core, now time.Time) {
	m := &c.minion
	if ev.ListOnly {
		m.listInFlight = false
	} else {
		m.renewalInFlight = false
	}
	if ev.Incarnation != 0 && ev.Incarnation != m.Incarnation {
		if m.isEarlier(ev.Incarnation, ev.RequestedAt) {
			c.emit(LogMessage{Text: "Ignored a late list of an earlier incarnation", Minion: m.Minion})
			return
		}
		c.awaitDescription(now, ev)
		return
	}
	m.observeClock(now, ev.Clock)
	m.correctClock(now, ev.RequestedAt, ev.Clock)
	c.fencing.answered(ev.FencingToken)
	c.observeAnswer(now, len(ev.Running))
	c.rejectSuccessor(ev.RequestedAt)
	m.lastAnswerAt, m.failedRenewals, m.failingSince, m.lapsedRuns = now, 0, time.Time{}, nil
	for _, e := range ev.Ended {
		c.handleEnd(now, e)
	}
	c.reconcile(now, ev)
	if m.reconciled || len(m.orphans) > 0 || ev.FencingToken < c.fencing.token {
		return
	}
	m.reconciled = true
	if m.described {
		c.reportMinion()
	}
}

// observeAnswer notes that the minion has answered with so many runs. If it refused
// connections before, it had not crashed.
func (c *Core) observeAnswer(now time.Time, running int) {
	m := &c.minion
	if m.refusingSince.IsZero() {
		return
	}
	c.emit(LogMessage{
		Text: "The minion refused connections but had not crashed", Reason: "refused for " + now.Sub(m.refusingSince).String(), Count: running, Minion: m.Minion,
	})
	m.refusingSince = time.Time{}
	c.withdrawCrash()
}

// awaitDescription switches to the incarnation of a list, which has not described
// itself yet. It gets no runs until then, since it may be of another kind or draining.
func (c *Core) awaitDescription(now time.Time, list RunsListed) {
	for _, e := range list.Ended { // It may have run what was ordered from the last one.
		c.handleEnd(now, e)
	}
	wasUsable := c.minion.usable()
	next := c.minion.Minion
	next.Incarnation, next.Sequence, next.Draining, next.ColdUntil = list.Incarnation, 0, false, time.Time{}
	c.replaceMinion(now, next, &list)
	c.minion.described = false
	if wasUsable {
		c.reportMinion()
	}
}

// handleEnd handles an end that the minion lists.
func (c *Core) handleEnd(now time.Time, end ListedEnd) {
	if end.Number > c.minion.ackedEnd {
		c.minion.ackedEnd = end.Number
	}
	r := c.runs[end.Run]
	if r == nil || r.phase == queued {
		return
	}
	report := work.Report{State: end.State, Took: now.Sub(r.startSentAt)}
	if end.State == work.Done {
		c.slowness.addSample(now, report.Took, r.order.Work)
		c.slowStart.succeeded(r.order.Room.CPU)
	}
	c.endRun(now, r, ProofListedEnd, report)
}

// reconcile compares the runs that the minion lists with those that the agent
// holds.
func (c *Core) reconcile(now time.Time, ev RunsListed) {
	listed := make(map[work.Run]bool, len(ev.Running))
	for _, l := range ev.Running {
		listed[l.Run] = true
		c.handleListed(now, l, ev.RequestedAt)
		if r := c.runs[l.Run]; r != nil && r.outlived(ev.RequestedAt) {
			c.survive(r)
		}
	}
	for _, orphan := range slices.SortedFunc(maps.Keys(c.minion.orphans), work.Compare) {
		if !listed[orphan] {
			c.removeOrphan(orphan, "the minion lists it no more")
		}
	}
	for _, r := range c.copyRuns() {
		if !listed[r.order.Run] {
			c.handleUnlisted(now, r, ev.RequestedAt)
		}
	}
}

// handleListed handles a run that the minion lists as running.
func (c *Core) handleListed(now time.Time, l ListedRun, requestedAt time.Time) {
	r := c.runs[l.Run]
	if r != nil && r.phase != queued {
		r.listedAt = now
	}
	switch {
	case r == nil || r.phase == queued:
		if !c.endedSince(l.Run, requestedAt) {
			c.addOrphan(now, l.Run)
		}
	case r.phase == starting || r.phase == uncertain && r.stopAckedAt.IsZero():
		c.confirmStart(r)
	case r.phase == running:
		c.observeProgress(now, r, l.Percent)
	}
}

// handleUnlisted handles a run that was not running when the list was
// requested.
func (c *Core) handleUnlisted(now time.Time, r *run, requestedAt time.Time) {
	stopConfirmed := !r.stopAckedAt.IsZero() && r.stopAckedAt.Before(requestedAt)
	switch {
	case r.moved && stopConfirmed:
		c.endRun(now, r, ProofStopConfirmed, work.Report{State: work.Lost, Reason: work.ReasonCrashed, Took: now.Sub(r.startSentAt)})
	case r.phase == uncertain && stopConfirmed:
		c.endRun(now, r, ProofStopConfirmed, work.Report{State: work.Stopped, Reason: work.ReasonUnstarted})
	case r.phase == stopping && stopConfirmed:
		c.endRun(now, r, ProofStopConfirmed, work.Report{State: work.Stopped})
	case r.phase == running && r.startSentAt.Add(c.options.Lease).Before(requestedAt):
		c.endRun(now, r, ProofNotListed, work.Report{State: work.Lost, Reason: "the minion lists it no more"})
	}
}

// endedSince reports whether a run ended after the list was requested. Lists
// may arrive out of order, so an older one may still contain the run.
func (c *Core) endedSince(run work.Run, requestedAt time.Time) bool {
	endedAt, known := c.endedAt[run]
	return known && !endedAt.Before(requestedAt)
}

func (ev RenewalFailed) apply(c *Core, now time.Time) {
	if ev.ListOnly {
		c.minion.listInFlight = false
		return
	}
	m := &c.minion
	m.renewalInFlight = false
	c.lastUnansweredAt = now
	m.nextRenewalAt = now.Add(min(minRenewalBackoff<<min(m.failedRenewals, maxBackoffDoublings), maxRenewalBackoff))
	if m.failedRenewals == 0 {
		m.failingSince = now
	}
	m.failedRenewals++
}

// apply refuses the queued runs, and reports the crash that is presumed. The other runs
// may go on, since a port can refuse connections for other reasons: they are lost once
// their lease has lapsed or another incarnation is known. No run is accepted until the
// minion answers again.
func (ev MinionDown) apply(c *Core, now time.Time) {
	RenewalFailed(ev).apply(c, now)
	if c.minion.refusingSince.IsZero() {
		c.presumeCrash(now)
		c.minion.refusingSince = now
	}
	wasReconciled := c.minion.reconciled
	c.minion.reconciled = false
	if wasReconciled {
		c.refuseQueued(now, work.ReasonUnreachable)
		c.reportMinion()
	}
}

// apply treats the incarnation that the agent knew as departed.
func (ev OtherIncarnationAnswered) apply(c *Core, now time.Time) {
	RenewalFailed{ListOnly: ev.ListOnly}.apply(c, now)
	if ev.Name == c.minion.Name {
		c.loseRunsInCrash(now, ProofOtherIncarnation)
	}
	MinionDeparted{Name: ev.Name}.apply(c, now)
}
