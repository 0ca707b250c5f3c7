package scheduler

import (
	"math"
	"time"
)

const (
	// reasonBacklog is the reason of refusals because of the backlog.
	reasonBacklog = "too much work waits before it"
	// reasonTooLong is the reason for which admitted jobs are given up as hopeless.
	reasonTooLong = "its tasks can't end before the deadline"
)

const (
	// minOwnShare is the lower bound of this entry's expected share of the
	// minions' throughput. Even when other entries use nearly all of it, this
	// entry gets some of the room that becomes free.
	minOwnShare = 0.1
	// ownWorkFraction is the fraction of its own work that a job waits for, since
	// its tasks start one after the other where room is short.
	ownWorkFraction = 0.5
	// minLeftShare is the lower bound of the share of the throughput that work of
	// higher priority is expected to leave.
	minLeftShare = 0.1
)

// feasibility summarizes how soon the minions of a service can run a job.
type feasibility struct {
	// fitting is true if any minion could ever hold a task of the job.
	fitting bool
	// available is true if any of these minions may be given work now.
	available bool
	// earliestEnd is the shortest time until a task would end, including its
	// wait, and shortestRuntime the shortest expected runtime.
	earliestEnd, shortestRuntime time.Duration
}

// assessFeasibility evaluates all minions of the job's service.
func (c *Core) assessFeasibility(now time.Time, j *job) feasibility {
	f := feasibility{earliestEnd: math.MaxInt64, shortestRuntime: math.MaxInt64}
	for _, a := range c.sortedAgents {
		if a.minion.Service != j.Service || !a.fits(j) {
			continue
		}
		f.fitting = true
		if !c.opensTo(a, j) {
			continue
		}
		if !a.available(now) {
			continue
		}
		f.available = true
		f.shortestRuntime = min(f.shortestRuntime, a.expectedRuntime(j))
		f.earliestEnd = min(f.earliestEnd, a.expectedEnd(j))
	}
	return f
}

// checkAdmission returns why a job is refused, or "" if it is admitted. It
// refuses jobs under overload and without any minion, before a task has
// started.
func (c *Core) checkAdmission(now time.Time, j *job) (reason string, retry time.Duration) {
	f := c.assessFeasibility(now, j)
	switch {
	case c.inAgentGrace(now):
		return "", 0 // Agents are still connecting, so it isn't known what can be served.
	case !f.fitting:
		return "no minion in reach of this entry can hold its tasks", minRetryAfter
	case !f.available && c.onlyEvacuated(now, j):
		return reasonEvacuated, maxRetryAfter
	case !f.available:
		return "no minion of the service is in reach", c.retryAfterReturn(now, j)
	}
	if end := now.Add(f.earliestEnd); end.After(j.Deadline) {
		if c.endsWithStop(j) {
			return reasonStopping, minRetryAfter
		}
		return "it can't end before its deadline", clampRetryAfter(end.Sub(j.Deadline))
	}
	ahead, all := c.backlog(now, j)
	if wait := c.canaryWait(j); wait > 0 && now.Add(wait+f.shortestRuntime).After(j.objective) {
		return reasonBacklog, clampRetryAfter(wait)
	}
	if ahead > 0 && now.Add(ahead+f.shortestRuntime).After(j.objective) && !c.fitsNow(now, j) {
		return reasonBacklog, clampRetryAfter(all)
	}
	return "", 0
}

// fitsNow reports whether all tasks of the job find free room at once. No job is
// refused while minions are free.
func (c *Core) fitsNow(now time.Time, j *job) bool {
	room := 0
	for _, a := range c.sortedAgents {
		if a.minion.Service != j.Service || !a.available(now) || !a.fits(j) || !c.opensTo(a, j) {
			continue
		}
		free := a.minion.Room.Minus(a.committed())
		for free.Holds(j.Room) && room < j.Count {
			free = free.Minus(j.Room)
			room++
		}
	}
	return room >= j.Count
}

// clampRetryAfter bounds the time after which a refused caller may expect free
// capacity.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// backlog returns how long the job waits for the tasks of its service that go
// before it and for part of its own work (ahead), and how long all waiting
// tasks take (all). Work of higher priority that arrives meanwhile goes before it
// too, so only the throughput that such work leaves counts. Refusing jobs because
// of the backlog helps in bursts that last longer than the time limit, in which
// jobs would otherwise be started and then given up.
func (c *Core) backlog(now time.Time, j *job) (ahead, all time.Duration) {
	workAhead, totalWork := 0.0, 0.0
	ownLatestStart := j.objective.Add(-j.expectedWork)
	for _, t := range c.waiting {
		if !c.sameSide(t.job, j) || t.awaitsData() {
			continue
		}
		taskWork := float64(t.job.Room.CPU) * float64(t.job.expectedWork)
		totalWork += taskWork
		latest := t.latestStart()
		if !now.After(latest) && (t.job.Priority < j.Priority || t.job.Priority == j.Priority && latest.Before(ownLatestStart)) {
			workAhead += taskWork
		}
	}
	if totalWork == 0 {
		return 0, 0
	}
	throughput := c.ownThroughput(j)
	if workAhead == 0 {
		return 0, time.Duration(totalWork / throughput)
	}
	left := math.Max(minLeftShare*throughput, throughput-c.arrivals.before(now, j.Priority))
	workAhead += ownWorkFraction * float64(j.Count) * float64(j.Room.CPU) * float64(j.expectedWork)
	return time.Duration(workAhead / left), time.Duration(totalWork / throughput)
}

// onTimeBacklog returns the time that the minions need for those waiting tasks
// that can still meet their objective and compete with a job. These tasks go
// before all others.
func (c *Core) onTimeBacklog(now time.Time, j *job) time.Duration {
	onTimeWork := 0.0
	for _, t := range c.waiting {
		if c.sameSide(t.job, j) && !now.After(t.latestStart()) {
			onTimeWork += float64(t.job.Room.CPU) * float64(t.job.expectedWork)
		}
	}
	if onTimeWork == 0 {
		return 0
	}
	return time.Duration(onTimeWork / c.ownThroughput(j))
}

// ownThroughput estimates the rate at which the minions that are open to a job do
// work for this entry, in thousandths of a core of mean speed: the throughput of
// these minions times this entry's share of the room in use.
func (c *Core) ownThroughput(j *job) float64 {
	throughput, ownCPU, takenCPU := 0.0, int64(0), int64(0)
	for _, a := range c.sortedAgents {
		if a.minion.Service != j.Service || !a.acceptsWork() || !c.opensTo(a, j) {
			continue
		}
		throughput += float64(a.minion.Room.CPU) * math.Exp(-a.load.Slowness)
		takenCPU += a.committed().CPU
		for _, t := range a.runs {
			ownCPU += t.order.Room.CPU
		}
	}
	share := 1.0
	if takenCPU > 0 {
		share = math.Min(1, math.Max(minOwnShare, float64(ownCPU)/float64(takenCPU)))
	}
	return math.Max(1, throughput*share)
}
