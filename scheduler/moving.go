package scheduler

import (
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// maxMoves caps the moves of one task, since each discards the work done so
	// far.
	maxMoves = 2
	// moveCost is the time that a move takes: the stop order, the end of the run
	// and the next start, across availability zones.
	moveCost = 25 * time.Millisecond
	// moveThreshold is the fraction of a run's remaining time in which the task
	// has to end elsewhere to be worth moving.
	moveThreshold = 0.7
	// minWorkFactor is the smallest fraction of its expected work that a task may
	// turn out to need.
	minWorkFactor = 0.6
	// deadlineMarginFraction is the fraction of a run's projected runtime by
	// which it has to end before the deadline to count as in time.
	deadlineMarginFraction = 0.03
	// expiryInterval is the interval between checks of the waiting tasks. They
	// are given up at most this late.
	expiryInterval = 10 * time.Millisecond
	// agentGracePeriod is the time for which jobs wait at an entry that has just
	// started, or has just lost its last agent. Agents find an entry within this
	// time.
	agentGracePeriod = 700 * time.Millisecond
)

// handleProjection handles a run that takes longer than expected, because its
// minion has become slow or stalled or because the caller underestimated the
// work. The task moves if it ends in time elsewhere, and its job ends at once
// if it can't end in time.
func (c *Core) handleProjection(now time.Time, a *agent, t *task, report work.Report) {
	j := t.job
	normalizedWork := a.normalizedWork(j, report.Took)
	if report.Reliable {
		j.observeWork(normalizedWork)
	}
	end := now.Add(report.Remaining)
	// Larger work is allowed more time, even if it was not known in advance.
	objective := j.objectiveFor(max(normalizedWork, j.longestWork))
	if !end.After(objective) {
		return
	}
	endElsewhere := now.Add(moveCost + c.earliestEnd(now, j, normalizedWork, a))
	margin := time.Duration(deadlineMarginFraction * float64(report.Took))
	endsLate, endsLateElsewhere := end.Add(margin).After(j.Deadline), endElsewhere.Add(2*margin).After(j.Deadline)
	muchShorter := float64(endElsewhere.Sub(now)) < moveThreshold*float64(report.Remaining)
	worthMoving := muchShorter && (endsLate && !endsLateElsewhere || !endElsewhere.After(objective))
	attributes := []any{"left", report.Remaining, "projected", report.Took, "elsewhere", endElsewhere.Sub(now), "until-deadline", j.Deadline.Sub(now)}
	switch {
	case worthMoving && len(t.movedFrom) < maxMoves:
		t.movedFrom = append(t.movedFrom, a.minion.Name)
		c.emit(LogMessage{Text: "Moved a slow run", Job: j.ID, Run: report.Run, Agent: a.id, State: work.Started, Attributes: attributes})
		c.emit(Stop{Agent: a.id, Link: a.link, Run: report.Run})
	case report.Reliable && end.Sub(j.Deadline) > projectionError(report):
		c.emit(LogMessage{Text: "A run can't end in time", Job: j.ID, Run: report.Run, Agent: a.id, State: work.Started, Attributes: attributes})
		c.giveUp(now, j, c.lateReason(j, reasonTooLong))
	}
}

// projectionError returns the error of a projection whose progress is off by
// one percent, since progress is reported in whole percents.
func projectionError(report work.Report) time.Duration {
	done := 1 - float64(report.Remaining)/float64(max(report.Took, 1))
	return time.Duration(float64(report.Took) / max(100*done, 1))
}

// normalizedWork converts the runtime of a task of the job at this minion to
// work, which is the runtime at a minion of mean speed near the data.
func (a *agent) normalizedWork(j *job, runtime time.Duration) time.Duration {
	return time.Duration(float64(runtime) / (math.Exp(a.load.Slowness) * j.remoteFactorAt(a)))
}

// earliestEnd returns the shortest time until a task of the given work would
// end at any available agent except the excluded one, which may be nil.
func (c *Core) earliestEnd(now time.Time, j *job, normalizedWork time.Duration, excluded *agent) time.Duration {
	best := time.Duration(math.MaxInt64 / 2)
	for _, a := range c.sortedAgents {
		if a == excluded || a.minion.Service != j.Service || !a.available(now) || !a.fits(j) || !c.opensTo(a, j) {
			continue
		}
		best = min(best, a.expectedWait(j.Room)+a.runtimeFor(j, normalizedWork))
	}
	return best
}

// canFinish reports whether a task of the given work could still end before the
// deadline at any agent.
func (c *Core) canFinish(now time.Time, j *job, normalizedWork time.Duration) bool {
	return !now.Add(c.earliestEnd(now, j, normalizedWork, nil)).After(j.Deadline)
}

// inAgentGrace reports whether jobs wait for agents to connect.
func (c *Core) inAgentGrace(now time.Time) bool { return now.Before(c.agentGraceUntil) }

// updateAgentGrace starts the grace period in the first step and when the last
// usable agent is lost, unless it is known that its minion crashed.
func (c *Core) updateAgentGrace(now time.Time) {
	usable := slices.ContainsFunc(c.sortedAgents, (*agent).acceptsWork)
	crashed := slices.ContainsFunc(c.sortedAgents, func(a *agent) bool { return a.link != 0 && a.down })
	if c.agentGraceUntil.IsZero() || c.hasUsableAgent && !usable && !crashed {
		c.agentGraceUntil = now.Add(agentGracePeriod)
	}
	c.hasUsableAgent = usable
}

// expireWaiting gives up jobs with a waiting task that can't end in time or for
// which no agent has connected.
func (c *Core) expireWaiting(now time.Time) {
	if len(c.waiting) == 0 || now.Sub(c.lastExpiryCheck) < expiryInterval {
		return
	}
	c.lastExpiryCheck = now
	reachable := c.hasUsableAgent || c.inAgentGrace(now)
	reasons := make(map[*job]string)
	var expired []*job
	for _, t := range c.waiting {
		if _, seen := reasons[t.job]; seen {
			continue
		}
		if reasons[t.job] = c.giveUpReason(now, t, reachable); reasons[t.job] != "" {
			expired = append(expired, t.job)
		}
	}
	for _, j := range expired {
		if c.jobs[j.ID] == j {
			c.giveUp(now, j, reasons[j])
		}
	}
}

// earliestStart returns the earliest time at which a task of the job may start:
// now, or when the first minion is back if all that may run it have crashed.
func (c *Core) earliestStart(now time.Time, j *job) time.Time {
	if earliest, _, allDown := c.returnTimes(now, j); allDown {
		return earliest
	}
	return now
}

// awaitsReturn reports whether all minions that may run the job have crashed, and
// will be back.
func (c *Core) awaitsReturn(now time.Time, j *job) bool {
	_, _, allDown := c.returnTimes(now, j)
	return allDown
}

// giveUpReason returns why a waiting task can't end in time, or "". A job that
// has not started is given up as soon as it is late and the tasks before it
// take too long, since its caller may go elsewhere and no work is lost.
func (c *Core) giveUpReason(now time.Time, t *task, reachable bool) string {
	j := t.job
	switch {
	case !j.mayHaveStarted && !c.inAgentGrace(now) && c.onlyEvacuated(now, j):
		return reasonEvacuated
	case !reachable && !c.awaitsReturn(now, j):
		return "no minion is in reach"
	case c.earliestStart(now, j).Add(time.Duration(minWorkFactor / maxSpeedup * float64(j.expectedWork))).After(j.Deadline):
		return c.lateReason(j, reasonTooLong)
	case j.mayHaveStarted || !now.After(t.latestStart()):
		return ""
	}
	f := c.assessFeasibility(now, j)
	if !f.available {
		return ""
	}
	ahead := c.onTimeBacklog(now, j)
	if now.Add(ahead + f.shortestRuntime).After(j.Deadline) {
		return reasonBacklog
	}
	return ""
}
