package supervisor

import (
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// crashRetention is the time for which a crash is reported to entries that
	// connect, so that work that crashes minions stays known after the loss of the
	// entry that placed it.
	crashRetention = time.Minute
	// maxCrashes limits the crashes that are kept.
	maxCrashes = 32
	// maxCrashNotice is the longest time from the first failed renewal to the notice
	// of the crash that explains it.
	maxCrashNotice = 50 * time.Millisecond
	// movedRunTimeout is the time without an answer of the minion after which moved
	// runs are lost and orphans forgotten. It exceeds the longest lease that a minion
	// grants.
	movedRunTimeout = 1500 * time.Millisecond
)

// presumeCrash reports a crash of the minion to all linked entries, so that they treat
// its runs as suspects. The end of a draining minion is planned.
func (c *Core) presumeCrash(now time.Time) {
	crashedAt := c.crashTime(now)
	atRisk := append(c.runsAtRisk(now, crashedAt), c.minion.lapsedRuns...)
	c.minion.lapsedRuns = nil
	if !c.minion.Draining && !c.minion.departed && len(atRisk) > 0 {
		c.reportCrash(work.Crash{Minion: c.minion.Name, Incarnation: c.minion.Incarnation, At: crashedAt, Runs: atRisk})
	}
}

// withdrawCrash withdraws the report of a crash, since the minion has answered.
func (c *Core) withdrawCrash() {
	at := slices.IndexFunc(c.crashes, func(o work.Crash) bool {
		return o.Minion == c.minion.Name && o.Incarnation == c.minion.Incarnation
	})
	if at < 0 {
		return
	}
	withdrawn := c.crashes[at]
	withdrawn.Runs, withdrawn.Withdrawn = nil, true
	c.crashes = slices.Delete(c.crashes, at, at+1)
	c.sendCrash(withdrawn)
}

// loseRunsInCrash ends the runs of a minion whose process has ended, but for those
// that are kept, and reports the crash if that has not been done.
func (c *Core) loseRunsInCrash(now time.Time, proof Proof, kept ...*run) {
	if c.minion.refusingSince.IsZero() {
		c.presumeCrash(now)
	}
	reason := work.ReasonCrashed
	if c.minion.Draining || c.minion.departed {
		reason = "the minion has left"
	}
	c.loseRuns(now, reason, proof, kept...)
}

// loseLapsedRuns ends the runs of a minion whose lease has lapsed. One that refused
// connections until then counts as crashed, and one that announced its departure as
// gone. Another one counts as crashed only if a later incarnation follows.
func (c *Core) loseLapsedRuns(now time.Time) {
	defer func() { c.minion.leaseExpiry, c.minion.lapsedAt = 0, time.Time{} }() // The histories of the runs have the expiry.
	if !c.minion.refusingSince.IsZero() || c.minion.departed {
		c.loseRunsInCrash(now, ProofLeaseLapsed)
		return
	}
	c.minion.lapsedRuns = append(c.minion.lapsedRuns, c.runsAtRisk(now, c.silentSince(now))...)
	c.loseRuns(now, "the lease has lapsed", ProofLeaseLapsed)
}

// moveRuns marks and returns the runs that an incarnation of the minion which the agent
// has just heard of may be running. If it has answered with a list, these are the runs in
// it, and those whose start was not answered, or only after the list was requested or
// renewals had begun to fail. A status report proves the end of no run: the sender may
// have accepted starts before, and the report may be late. They are stopped there before
// they are reported as lost.
func (c *Core) moveRuns(now time.Time, list *RunsListed) []*run {
	var moved []*run
	for _, r := range c.sortedRuns {
		if r.phase == queued || list != nil && c.endedBefore(*list, r) {
			continue
		}
		if !r.moved {
			r.leaseEndsAt = c.minion.leaseEndsAt(now)
		}
		if list != nil && list.contains(r.order.Run) {
			r.listedAt = now
		}
		r.phase, r.moved, r.stops, r.stopSent, r.stopAckedAt = uncertain, true, newStopOrders(now), false, time.Time{}
		r.recordStopCause(stopMoved)
		c.emit(LogMessage{Text: "The next incarnation may have started a run", Run: r.order.Run, Entry: r.entry, Minion: c.minion.Minion})
		moved = append(moved, r)
	}
	return moved
}

// endedBefore reports whether the first list of the next incarnation proves the end of a
// run: its only start was answered before the list was requested, and it is not in it.
func (c *Core) endedBefore(list RunsListed, r *run) bool {
	confirmedAt, failingSince := r.confirmedAt, c.minion.failingSince
	if confirmedAt.IsZero() { // By a list.
		confirmedAt = r.startSentAt
	}
	answeredLate := !confirmedAt.Before(list.RequestedAt) || !failingSince.IsZero() && !confirmedAt.Before(failingSince)
	return r.phase != starting && r.phase != uncertain && r.startRepeats == 0 && !answeredLate && !list.contains(r.order.Run)
}

// silentSince returns the time of the first renewal that failed since the minion
// last answered.
func (c *Core) silentSince(now time.Time) time.Time {
	if since := c.minion.failingSince; !since.IsZero() {
		return since
	}
	return now
}

// crashTime returns the time of a crash that is noticed now: that of the first
// renewal that failed, if the crash explains it.
func (c *Core) crashTime(now time.Time) time.Time {
	if since := c.silentSince(now); now.Sub(since) < maxCrashNotice || len(c.minion.lapsedRuns) > 0 {
		return since
	}
	return now
}

// runsAtRisk returns the runs that may have been running at a minion that is lost
// now, and whose first renewal failed at a time. Runs that were ordered later are
// at risk only if the minion confirmed their start.
func (c *Core) runsAtRisk(now, failedAt time.Time) []work.CrashedRun {
	var runs []work.CrashedRun
	for _, r := range c.sortedRuns {
		lostAt := failedAt
		if r.firstStartAt.After(failedAt) {
			lostAt = now
		}
		if r.phase == queued || lostAt != failedAt && (r.phase == starting || r.phase == uncertain) {
			continue
		}
		runs = append(runs, work.CrashedRun{Run: r.order.Run, Route: r.order.Route, Age: lostAt.Sub(r.firstStartAt), OnProbation: r.onProbation()})
	}
	return runs
}

// reportCrash records a crash and reports it to all linked entries.
func (c *Core) reportCrash(crash work.Crash) {
	if len(c.crashes) == maxCrashes {
		c.crashes = slices.Delete(c.crashes, 0, 1)
	}
	c.crashes = append(c.crashes, crash)
	c.emit(LogMessage{Text: "The minion crashed", Count: len(crash.Runs), Minion: c.minion.Minion})
	c.sendCrash(crash)
}

// sendCrash sends the report of a crash, or its withdrawal, to all linked entries.
func (c *Core) sendCrash(crash work.Crash) {
	for _, e := range c.sortedEntries {
		if e.link != 0 {
			c.emit(ReportCrash{Entry: e.name, Crash: crash})
		}
	}
}

// expireCrashes drops crashes that are older than crashRetention.
func (c *Core) expireCrashes(now time.Time) {
	for len(c.crashes) > 0 && now.Sub(c.crashes[0].At) > crashRetention {
		c.crashes = c.crashes[1:]
	}
}

// onProbation reports whether the run may still crash the minion.
func (r *run) onProbation() bool { return r.order.Probation > 0 && !r.survived }

// awaitsProbation reports whether a run has to wait for the end of another's
// probation. If the minion crashes, at most one suspect is there.
func (c *Core) awaitsProbation(r *run) bool {
	return r.onProbation() && slices.ContainsFunc(c.sortedRuns, func(o *run) bool { return o.phase != queued && o.onProbation() })
}

// outlived reports whether the probation of a run had ended at a time.
func (r *run) outlived(at time.Time) bool {
	return r.phase == running && r.onProbation() && at.Sub(r.startSentAt) >= r.order.Probation
}

// survive reports that a run has survived its probation.
func (c *Core) survive(r *run) {
	r.survived = true
	c.entry(r.entry).reportPending = true
	c.emit(ReportRun{Entry: r.entry, Report: work.Report{Run: r.order.Run, State: work.Started, Reason: work.ReasonSurvived}})
}
