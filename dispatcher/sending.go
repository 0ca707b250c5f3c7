package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

const (
	// dispatchInterval is the time after which a pool without a free minion is
	// dispatched again, unless an event frees one sooner.
	dispatchInterval = 10 * time.Millisecond
	// excessThreshold is the ratio of a team's recent use to its fair share at
	// which the team must begin to leave capacity to other teams.
	excessThreshold = 1.25
	// maxSmallJobTasks is the largest number of tasks of a small job. Only the
	// tasks of small jobs may queue at minions.
	maxSmallJobTasks = 32
	// excessPoolShare is the fraction of a pool's slots that may be busy, the next
	// task included, when a team at or above excessThreshold sends it.
	excessPoolShare = 0.7
	// minServiceFactor times the low quantile of the service time is the least
	// time that a task is assumed to take.
	minServiceFactor = 0.5
)

// markReady schedules a pool with waiting tasks to be dispatched at the end of
// the step.
func (c *Core) markReady(p *pool) {
	if p.ready || p.waiting == 0 {
		return
	}
	p.ready = true
	c.readyPools = append(c.readyPools, p)
}

// markAgentPools marks the pools of an agent as ready.
func (c *Core) markAgentPools(id task.Process) {
	m := c.chooser.Get(id)
	if m == nil {
		return
	}
	for _, name := range m.Pools {
		if p := c.pools[name]; p != nil {
			c.markReady(p)
		}
	}
}

// dispatchAll dispatches the pools that are ready.
func (c *Core) dispatchAll() {
	for i := 0; i < len(c.readyPools); i++ {
		c.readyPools[i].ready = false
		c.dispatchPool(c.readyPools[i])
	}
	c.readyPools = c.readyPools[:0]
}

// dispatchPool sends waiting tasks, in fair order between the teams, until no
// team has a task that may be sent now.
func (c *Core) dispatchPool(p *pool) {
	p.removeIdleTeams(c.now)
	var blocked map[task.Team]bool
	skip := func(team task.Team) bool { return blocked[team] }
	for {
		team, j, ok := p.queue.Peek(skip)
		if !ok {
			break
		}
		if j.phase != phaseRunning || !j.hasPending() {
			j.queued = false
			p.queue.Pop(team)
			continue
		}
		if c.tooLate(j) {
			c.finishConfirmed(j, errorAnswer(j.knownOutcome(), http.StatusGatewayTimeout,
				"a task can't be answered before the deadline", "send it again with a later deadline", time.Time{}))
			continue
		}
		if c.atTeamLimit(p, j) || c.mustYield(p, j) || !c.sendNext(p, j) {
			if blocked == nil {
				blocked = make(map[task.Team]bool)
			}
			blocked[team] = true
		}
	}
	c.scheduleDispatch(p)
}

// scheduleDispatch sets a timer to dispatch the pool again if tasks still wait.
func (c *Core) scheduleDispatch(p *pool) {
	if p.waiting == 0 || p.nextDispatch.After(c.now) {
		return
	}
	p.nextDispatch = c.now.Add(dispatchInterval)
	c.schedule(timer{at: p.nextDispatch, kind: timerDispatch, pool: p})
}

// atTeamLimit reports whether the job's team runs as many tasks as its quota
// allows.
func (c *Core) atTeamLimit(p *pool, j *job) bool {
	limit := quotaOf(j.submission.Plan.Pool, j.submission.Team).MaxRunning
	return limit > 0 && p.running[j.submission.Team] >= limit
}

// mustYield reports whether the team has used so much more than its fair share
// that it must leave the last free slots to other teams, whose tasks then
// needn't wait.
func (c *Core) mustYield(p *pool, j *job) bool {
	if p.queue.ShareRatio(c.now, j.submission.Team) < excessThreshold {
		return false
	}
	capacity := c.chooser.Capacity(c.now, p.name)
	return capacity.Busy+1 > excessPoolShare*float64(capacity.Slots)
}

// tooLate reports whether even a fast minion would answer after the deadline.
func (c *Core) tooLate(j *job) bool {
	low := c.serviceTimesOf(j.submission.Plan.Route.Name).low
	need := time.Duration(float64(low) * minServiceFactor)
	return !c.now.Add(need).Before(j.startDeadline())
}

// startDeadline returns the deadline that the job's starts carry.
func (j *job) startDeadline() time.Time {
	if j.claimed() && j.claim.Deadline.Before(j.submission.Deadline) {
		return j.claim.Deadline
	}
	return j.submission.Deadline
}

// sendNext sends the job's next waiting task if a minion can take it, and
// reports whether it did.
func (c *Core) sendNext(p *pool, j *job) bool {
	jt := j.popPending()
	work := c.workOf(j)
	slotCap := j.submission.Plan.Pool.SlotsPerMinion
	allow := func(id task.Process) bool { return jt.mayRunAt(id) }
	id, ok := c.chooser.Choose(c.now, p.name, slotCap, work, allow)
	if !ok {
		j.pending = append(j.pending, jt)
		c.widenClaim(j)
		return false
	}
	c.dequeue(jt)
	if !j.started {
		j.started = true
		p.lastDelays[j.submission.Team] = c.now.Sub(j.runnableAt)
	}
	c.sendAttempt(jt, id, false)
	p.queue.Charge(c.now, j.submission.Team, work.Mean)
	return true
}

// workOf describes a task of the job to the balancer.
func (c *Core) workOf(j *job) balancer.Work {
	times := c.serviceTimesOf(j.submission.Plan.Route.Name)
	work := balancer.Work{Mean: times.mean, HarmonicMean: times.harmonicMean()}
	if len(j.tasks) <= maxSmallJobTasks {
		// Large jobs are left out, since their wait comes from their own size and
		// says nothing about the minions.
		work.Waited = c.now.Sub(j.runnableAt)
	}
	return work
}

// mayRunAt reports whether the task may be sent to an agent.
func (jt *jobTask) mayRunAt(id task.Process) bool {
	if jt.job.allowedAgents != nil && !jt.job.allowedAgents[id] {
		return false
	}
	for _, t := range jt.triedAgents {
		if t == id {
			return false
		}
	}
	return true
}

// sendAttempt sends a new attempt of a task to an agent.
func (c *Core) sendAttempt(jt *jobTask, id task.Process, hedge bool) {
	j := jt.job
	pr := c.peers[id]
	jt.lastAttempt++
	a := &attempt{agent: id, number: jt.lastAttempt, sentAt: c.now, hedge: hedge}
	c.openAttempt(jt, a)
	c.counters.Sends++
	if jt.retries > 0 && !hedge {
		c.counters.Resends++
	}
	c.emit(SendStart{Agent: pr.Peer, Start: task.Start{
		Task:       jt.id(),
		Attempt:    a.number,
		Generation: j.claim.Generation,
		Team:       j.submission.Team,
		Pool:       j.submission.Plan.Pool.Name,
		Deadline:   j.startDeadline(),
		Request:    j.submission.Tasks[jt.index],
	}})
	c.scheduleHedge(jt, a)
}

// openAttempt records an open attempt with its task, team, agent and minion.
func (c *Core) openAttempt(jt *jobTask, a *attempt) {
	jt.openAttempts = append(jt.openAttempts, a)
	c.poolOf(jt.job).running[jt.job.submission.Team]++
	if pr := c.peers[a.agent]; pr != nil {
		pr.openAttempts[a] = jt
	}
	c.chooser.RecordSent(c.now, a.agent, c.serviceTimesOf(jt.job.submission.Plan.Route.Name).mean)
	if a.accepted {
		c.chooser.RecordAccepted(a.agent)
	}
}

// closeAttempt removes an open attempt and reports its outcome to the balancer.
func (c *Core) closeAttempt(jt *jobTask, a *attempt, o balancer.Outcome) {
	jt.removeAttempt(a)
	p := c.poolOf(jt.job)
	team := jt.job.submission.Team
	p.running[team]--
	if p.running[team] == 0 {
		delete(p.running, team)
	}
	if pr := c.peers[a.agent]; pr != nil {
		delete(pr.openAttempts, a)
		c.releasePeer(pr)
	}
	c.chooser.RecordEnd(c.now, a.agent, o)
	c.markReady(p)
}

// attemptRef returns the reference by which the agent identifies an attempt.
func attemptRef(jt *jobTask, a *attempt) AttemptRef {
	return AttemptRef{Task: jt.id(), Attempt: a.number, Deadline: jt.job.startDeadline()}
}
