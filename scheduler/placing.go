package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// maxPendingOrders caps the pending orders of this entry at an agent whose
	// minion is full, since other entries see the same room.
	maxPendingOrders = 1
	// tieJitter is the difference of expected ends up to which two minions may
	// count as equal, so that entries don't all choose the same one.
	tieJitter = 4 * time.Millisecond
	// tieJitterFraction is the fraction of a task's expected time that is added
	// to tieJitter; estimates are accurate only to about this fraction.
	tieJitterFraction = 0.15
	// reserveThreshold applies to the utilization of the minion with the earliest
	// expected end of a task. Above it, the task goes to a slower minion that can
	// still end it in time, which keeps room on fast minions for tasks that need
	// it. Below it, the minion with the earliest end is preferred.
	reserveThreshold = 0.6
	// utilizationJitter randomizes the choice between minions of similar
	// utilization.
	utilizationJitter = 0.1
	// objectiveFraction is the fraction of the time to the objective that a task
	// may be expected to take at a slower minion.
	objectiveFraction = 0.65
	// maxWorkFactor is the largest multiple of its expected work that a task may
	// turn out to need.
	maxWorkFactor = 1.7
	// avoidedMinionPenalty multiplies the expected time to the end of a task at a
	// minion where it failed or that it was moved away from.
	avoidedMinionPenalty = 4
	// placementInterval is the interval between placement passes while no event
	// makes room, since a backoff ends without an event. It is below the shortest
	// backoff.
	placementInterval = 10 * time.Millisecond
	// lateShare is the fraction of a minion's CPU that late tasks of jobs that have
	// not started may fill. The rest is kept for tasks that can still be on time:
	// in an overload, late work would otherwise make all that follows late too.
	lateShare = 0.9
	// maxDisplacing caps the pending orders of this entry at an agent whose queue
	// is full of less urgent work.
	maxDisplacing = 2
	// meanWaitFraction is the fraction of a run's runtime after which room is
	// free for a queued one, since the runs before it are on average half done.
	meanWaitFraction = 0.5
)

// placeWaiting sends waiting tasks to agents, the most urgent first.
func (c *Core) placeWaiting(now time.Time) {
	if len(c.waiting) == 0 || now.Before(c.placeAfter) || !c.placementDue && now.Sub(c.lastPlacement) < placementInterval {
		return
	}
	c.placementDue, c.lastPlacement = false, now
	slices.SortStableFunc(c.waiting, func(a, b *task) int { return compareUrgency(now, a, b) })
	waiting := c.waiting
	c.waiting = nil
	for _, t := range waiting {
		if c.jobs[t.job.ID] != t.job {
			continue
		}
		if t.job.unplaceableAt.Equal(now) || c.awaitsProbation(t) || c.stoppingTasks[t.id()] > 0 {
			c.waiting = append(c.waiting, t)
			continue
		}
		probation := c.probationOf(t.job)
		a, noCandidate := c.chooseByLocality(now, t, probation > 0)
		if a != nil {
			c.place(now, t, a, probation)
			continue
		}
		c.waiting = append(c.waiting, t)
		if t.awaitsData() {
			continue // The next tasks of the job may be better off elsewhere.
		}
		if noCandidate || !t.avoidsMinions() {
			t.job.unplaceableAt = now // Tasks of one job are alike, so the next ones find no agent either.
		}
	}
}

// compareUrgency orders tasks that can still meet their objective first. Among
// them, tasks of started jobs precede the others, since the work done for a job
// is lost if one of its tasks is late; then they go by the priority of their
// route and by their latest start. Late tasks follow by deadline.
func compareUrgency(now time.Time, a, b *task) int {
	startA, startB := a.latestStart(), b.latestStart()
	lateA, lateB := now.After(startA), now.After(startB)
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA:
		return a.job.Deadline.Compare(b.job.Deadline)
	case a.job.mayHaveStarted && !b.job.mayHaveStarted:
		return -1
	case b.job.mayHaveStarted && !a.job.mayHaveStarted:
		return 1
	case a.job.Priority != b.job.Priority:
		return cmp.Compare(a.job.Priority, b.job.Priority)
	}
	return startA.Compare(startB)
}

// latestStart returns the latest start at which the task is expected to meet
// its objective.
func (t *task) latestStart() time.Time { return t.job.objective.Add(-t.job.expectedWork) }

// candidates are the agents that suit a task best, by different criteria.
type candidates struct {
	// earliest is the agent where the task is expected to end first, after
	// earliestEnd.
	earliest    *agent
	earliestEnd time.Duration
	// sufficient is the slowest and least utilized agent where the task ends well
	// in time, and sufficientCost its cost.
	sufficient     *agent
	sufficientCost float64
	// queuedEnd is the earliest expected end at the agents with a queue.
	queuedEnd time.Duration
}

// chooseAgent returns the agent that a task is sent to, or nil while it waits,
// and whether no agent had room. Agents with a queue are given nothing more, so
// that tasks can still go elsewhere. A free agent that is too slow for the task
// is not chosen either while a faster one with a queue would still end it in
// time.
func (c *Core) chooseAgent(now time.Time, t *task, suspected bool, where scope) (chosen *agent, noCandidate bool) {
	found := c.findCandidates(now, t, suspected, where)
	if found.earliest == nil {
		return nil, true
	}
	if found.sufficient != nil && found.earliest.utilization() > reserveThreshold {
		return found.sufficient, false
	}
	if found.earliestEnd <= found.queuedEnd {
		return found.earliest, false
	}
	if limit := t.job.nextLimit(now); now.Add(found.earliestEnd).After(limit) && !now.Add(found.queuedEnd).After(limit) {
		return nil, false
	}
	return found.earliest, false
}

// admits reports whether the agent may be given the task. A minion gets one
// suspect at a time, so that a crash shows which one is the cause.
func (a *agent) admits(now time.Time, t *task, suspected bool) bool {
	if a.minion.Service != t.job.Service || !a.available(now) || !a.fits(t.job) || a.atTaskLimit(t.job) {
		return false
	}
	return !a.reservedFrom(now, t) && (!suspected || a.onProbation == nil)
}

// findCandidates evaluates all agents in a scope that may be given the task.
func (c *Core) findCandidates(now time.Time, t *task, suspected bool, where scope) candidates {
	found := candidates{earliestEnd: math.MaxInt64, sufficientCost: math.Inf(1), queuedEnd: math.MaxInt64}
	for _, a := range c.sortedAgents {
		if !where.includes(a, t.job) || !a.admits(now, t, suspected) || !c.opensTo(a, t.job) || c.locality.reserves(now, a, t) {
			continue
		}
		end := a.expectedEnd(t.job)
		crowded := a.expectedWait(t.job.Room) > c.options.MaxQueueWait || a.queueFull(t.job.Room)
		if crowded && !a.queuesLessUrgent(now, t) {
			found.queuedEnd = min(found.queuedEnd, end)
			continue
		}
		if slices.Contains(t.failedMinions, a.minion.Name) || slices.Contains(t.movedFrom, a.minion.Name) {
			end *= avoidedMinionPenalty // Returns to such a minion only if all others are far worse.
		}
		end += time.Duration(c.options.Random.Int64N(int64(tieJitter) + int64(tieJitterFraction*float64(end))))
		penalty := c.locality.penalty(now, a, t.job)
		if weighted := time.Duration(float64(end) * (1 + penalty)); weighted < found.earliestEnd {
			found.earliest, found.earliestEnd = a, weighted
		}
		if !a.suffices(now, t.job, end) {
			continue
		}
		cost := a.utilization() - a.load.Slowness + utilizationJitter*c.options.Random.Float64() + penalty
		if cost < found.sufficientCost {
			found.sufficient, found.sufficientCost = a, cost
		}
	}
	return found
}

// suffices reports whether a task ends in time at this minion even if its work
// is larger than expected. The objective grows with the work, the deadline does
// not.
func (a *agent) suffices(now time.Time, j *job, end time.Duration) bool {
	inTime := time.Duration(float64(end) / objectiveFraction)
	worstCase := time.Duration(float64(end) * maxWorkFactor)
	return !now.Add(inTime).After(j.objective) && !now.Add(worstCase).After(j.Deadline)
}

// utilization returns the fraction of the minion's CPU that is taken.
func (a *agent) utilization() float64 {
	return float64(a.committed().CPU) / float64(max(a.minion.Room.CPU, 1))
}

// nextLimit returns the next time limit that the job can still meet: the
// objective, and after it the deadline.
func (j *job) nextLimit(now time.Time) time.Time {
	if now.Before(j.objective) && j.objective.Before(j.Deadline) {
		return j.objective
	}
	return j.Deadline
}

// place sends a task to an agent. A suspect is on probation there.
func (c *Core) place(now time.Time, t *task, a *agent, probation time.Duration) {
	t.runNumber++
	t.agent, t.inLoad, t.placedAt = a, false, now
	t.job.possibleStarts++
	t.job.mayHaveStarted = true
	if a.ejected() {
		a.nextTrial = now.Add(max(a.trialBackoff, minTrialBackoff))
	}
	t.expectedRuntime = a.expectedRuntime(t.job)
	t.order = work.Order{
		Run: t.run(), Room: t.job.Room, Label: t.job.Label, Spec: t.job.Spec, MaxPerMinion: t.job.MaxPerMinion, Priority: t.job.Priority,
		Route: t.job.Route, Probation: probation,
		StartBefore: t.job.objective.Add(-t.expectedRuntime), EndBefore: t.job.Deadline, Work: t.job.workAt(a),
	}
	if probation > 0 {
		c.beginProbation(a, t)
	}
	a.addRun(t)
	c.emit(Place{Agent: a.id, Link: a.link, Order: t.order})
}

// available reports whether the agent may be given work now.
func (a *agent) available(now time.Time) bool {
	if !a.acceptsWork() || now.Before(a.backoffUntil) {
		return false
	}
	return !a.ejected() || !now.Before(a.nextTrial)
}

// fits reports whether the minion could ever hold a task of the job.
func (a *agent) fits(j *job) bool {
	return a.minion.Room.Holds(j.Room) && (j.Label == "" || slices.Contains(a.minion.Labels, j.Label))
}

// atTaskLimit reports whether the minion has as many tasks of the job as it
// allows.
func (a *agent) atTaskLimit(j *job) bool {
	if j.MaxPerMinion == 0 {
		return false
	}
	sameJob := 0
	for _, t := range a.runs {
		if t.job == j {
			sameJob++
		}
	}
	return sameJob >= j.MaxPerMinion
}

// committed returns the room that the runs of all entries take, as far as this
// entry knows.
func (a *agent) committed() work.Room {
	return a.load.Running.Plus(a.load.Queued).Plus(a.unreportedRoom)
}

// queueFull reports whether the agent would likely refuse a task of this size,
// because its queue is full.
func (a *agent) queueFull(need work.Room) bool {
	excess := a.committed().Plus(need).CPU - a.minion.Room.CPU
	if excess <= 0 {
		return false
	}
	return excess > int64(work.QueuedShare*float64(a.minion.Room.CPU)) || len(a.pendingOrders) >= maxPendingOrders
}

// queuesLessUrgent reports whether the agent would queue the task in place of one
// of lower priority. Agents queue the work of all entries, so they know best
// which goes first.
func (a *agent) queuesLessUrgent(now time.Time, t *task) bool {
	return t.job.Priority < a.load.LeastUrgent && !now.After(t.latestStart()) && len(a.pendingOrders) < maxDisplacing
}

// reservedFrom reports whether the free room of the minion is kept for other
// tasks, since this one is late and its job has not started. An idle minion runs
// any task.
func (a *agent) reservedFrom(now time.Time, t *task) bool {
	if t.job.mayHaveStarted || !now.After(t.latestStart()) {
		return false
	}
	committed := a.committed().CPU
	return committed > 0 && committed+t.job.Room.CPU > int64(lateShare*float64(a.minion.Room.CPU))
}

// expectedWait returns the expected time until a task of this size has room.
func (a *agent) expectedWait(need work.Room) time.Duration {
	excess := a.committed().Plus(need).Minus(a.minion.Room)
	if excess.CPU <= 0 && excess.Memory <= 0 && excess.Accelerators <= 0 {
		return 0
	}
	queuedRuntime := a.load.QueuedWork + a.unreportedRuntime
	share := float64(need.CPU) / float64(max(a.minion.Room.CPU, 1))
	if share <= 0 {
		share = 1
	}
	// About 1/share runs share the room, one of which ends after each share of
	// the mean runtime.
	mean := defaultWork
	if n := len(a.runs); n > 0 {
		mean = a.totalRuntime / time.Duration(n)
	}
	return time.Duration(share * (meanWaitFraction*float64(mean) + float64(queuedRuntime)))
}

// expectedRuntime returns the expected runtime of a task of the job at this
// minion.
func (a *agent) expectedRuntime(j *job) time.Duration {
	return a.runtimeFor(j, j.expectedWork)
}

// runtimeFor returns the runtime of a task of the given work at this minion.
func (a *agent) runtimeFor(j *job, normalizedWork time.Duration) time.Duration {
	return time.Duration(float64(normalizedWork) * math.Exp(a.load.Slowness) * j.remoteFactorAt(a))
}

// expectedEnd returns the expected time until a task of the job would end here,
// allowing for its failure rate.
func (a *agent) expectedEnd(j *job) time.Duration {
	return a.expectedWait(j.Room) + time.Duration(float64(a.expectedRuntime(j))/(1-min(a.failureRate, ejectionThreshold)))
}

// sortedTasks returns the tasks in the order of their runs.
func sortedTasks(runs map[work.Run]*task) []*task {
	tasks := make([]*task, 0, len(runs))
	for _, t := range runs {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return work.Compare(a.run(), b.run())
	})
	return tasks
}
