package supervisor

import (
	"maps"
	"slices"
	"time"

	"agatevalve/common/work"
)

// endRun removes a run and reports its end, which is known by a proof.
func (c *Core) endRun(now time.Time, r *run, proof Proof, report work.Report) {
	history := c.history(now, r, proof)
	if r.phase != queued {
		c.allocated = c.allocated.Minus(r.order.Room)
		c.endedAt[r.order.Run] = now
		c.endOrder = append(c.endOrder, r.order.Run)
	}
	c.remove(r)
	report.Run = r.order.Run
	c.reportEnd(now, r.entry, report, history)
}

// reportEnd reports an end to an entry, and keeps it until it is acknowledged.
func (c *Core) reportEnd(now time.Time, name string, report work.Report, history History) {
	e := c.entry(name)
	c.lastEndNumber++
	report.Number = c.lastEndNumber
	e.unackedEnds = append(e.unackedEnds, unackedEnd{report: report, endedAt: now})
	e.reportPending = true
	c.emit(ReportRun{Entry: name, Report: report, History: history})
}

// loseRuns ends all runs that may have been running, but for those that are kept,
// since the minion can't be running them any more.
func (c *Core) loseRuns(now time.Time, reason work.Reason, proof Proof, kept ...*run) {
	lost := 0
	for _, r := range c.copyRuns() {
		if r.phase != queued && !slices.Contains(kept, r) {
			c.endRun(now, r, proof, work.Report{State: work.Lost, Reason: reason, Took: now.Sub(r.startSentAt)})
			lost++
		}
	}
	c.forgetOrphans(string(reason))
	if lost > 0 {
		c.emit(LogMessage{Text: "Lost the runs at the minion", Reason: string(reason), Count: lost, Minion: c.minion.Minion})
	}
}

// stopEntryRuns stops all runs of an entry.
func (c *Core) stopEntryRuns(now time.Time, name, reason string) {
	stopped := 0
	for _, r := range c.copyRuns() {
		if r.entry == name && (r.phase == queued || r.phase == starting || r.phase == running) {
			c.stop(now, r, reason)
			stopped++
		}
	}
	if stopped > 0 {
		c.emit(LogMessage{Text: "Stopped the runs of an entry", Entry: name, Reason: reason, Count: stopped})
	}
}

// addOrphan records a run that belongs to no entry, such as one that an
// earlier agent process started. Its stop is ordered in the same step.
func (c *Core) addOrphan(now time.Time, run work.Run) {
	if c.minion.orphans == nil {
		c.minion.orphans = make(map[work.Run]*stopOrders)
	}
	if c.minion.orphans[run] == nil {
		orders := newStopOrders(now)
		c.minion.orphans[run] = &orders
		c.emit(LogMessage{Text: "Stopped a run that belongs to no entry", Run: run, Minion: c.minion.Minion})
	}
}

// removeOrphan removes a run that belongs to no entry and has ended.
func (c *Core) removeOrphan(run work.Run, reason string) {
	delete(c.minion.orphans, run)
	c.emit(LogMessage{Text: "A run that belongs to no entry ended", Run: run, Reason: reason, Minion: c.minion.Minion})
}

// forgetOrphans removes all runs that belong to no entry.
func (c *Core) forgetOrphans(reason string) {
	for _, orphan := range slices.SortedFunc(maps.Keys(c.minion.orphans), work.Compare) {
		c.removeOrphan(orphan, reason)
	}
	c.minion.orphans = nil
}
