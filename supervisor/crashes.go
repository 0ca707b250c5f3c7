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
)

// loseRunsInCrash ends the runs of a minion whose process has ended, and reports
// the crash to all linked entries. The end of a draining minion is planned.
func (c *Core) loseRunsInCrash(now time.Time) {
	reason := work.ReasonCrashed
	if c.minion.Draining || c.minion.departed {
		reason = "the minion has left"
	}
	atRisk := append(c.runsAtRisk(now), c.minion.lapsedRuns...)
	c.minion.lapsedRuns = nil
	if reason == work.ReasonCrashed && len(atRisk) > 0 {
		c.reportCrash(work.Crash{Minion: c.minion.Name, Incarnation: c.minion.Incarnation, At: now, Runs: atRisk})
	}
	c.loseRuns(now, reason)
}

// runsAtRisk returns the runs that may be running.
func (c *Core) runsAtRisk(now time.Time) []work.CrashedRun {
	var runs []work.CrashedRun
	for _, r := range c.sortedRuns {
		if r.phase != queued {
			runs = append(runs, work.CrashedRun{Run: r.order.Run, Route: r.order.Route, Age: now.Sub(r.startSentAt)})
		}
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

// awaitsProbation reports whether a suspected run has to wait for the end of
// another's probation. If the minion crashes, at most one suspect is there.
func (c *Core) awaitsProbation(now time.Time, r *run) bool {
	if r.order.Probation <= 0 {
		return false
	}
	return slices.ContainsFunc(c.sortedRuns, func(o *run) bool {
		return o.phase != queued && o.order.Probation > 0 && now.Sub(o.startSentAt) < o.order.Probation
	})
}
