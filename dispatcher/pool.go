package dispatcher

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/queuer"
	"agatevalve/router"
)

// teamCleanupInterval is the interval at which a pool drops the state of idle
// teams. Callers choose the team names, so their number is unbounded.
const teamCleanupInterval = 10 * time.Second

// pool is the queue of one pool at this entry.
type pool struct {
	name  string
	queue *queuer.FairQueue[*job]
	// waiting counts the admitted tasks that wait to be sent; never negative.
	waiting int
	// running counts the open attempts of each team.
	running map[task.Team]int
	// lastDelays holds the wait of each team's last started job until its first
	// start.
	lastDelays map[task.Team]time.Duration
	// catchUpUntil is the time at which the overload check resumes. Until then,
	// long waits are due to jobs whose claims the store delayed and then wrote all
	// at once.
	catchUpUntil time.Time
	// ready is true while the pool is in Core.readyPools.
	ready bool
	// nextDispatch is the time at which the pool's timerDispatch is due; zero or
	// past if none is set.
	nextDispatch time.Time
	// nextCleanup is the time at which idle teams are removed next.
	nextCleanup time.Time
}

// removeIdleTeams drops the state of idle teams every teamCleanupInterval.
func (p *pool) removeIdleTeams(now time.Time) {
	if now.Before(p.nextCleanup) {
		return
	}
	p.nextCleanup = now.Add(teamCleanupInterval)
	p.queue.RemoveIdle(now)
	for team := range p.lastDelays {
		if _, ok := p.queue.PeekTeam(team); !ok {
			delete(p.lastDelays, team)
		}
	}
}

// setRank ranks the job within its team by its earliest possible end, and
// records the time at which its claim is requested.
func (c *Core) setRank(j *job) {
	j.claimRequestedAt = c.now
	mean := c.serviceTimesOf(j.submission.Plan.Route.Name).mean
	slots := c.chooser.Capacity(c.now, c.poolOf(j).name).Slots
	rounds := 1 + len(j.tasks)/max(slots, 1)
	j.rank = c.now.Add(time.Duration(rounds) * mean)
}

// enqueue makes a task wait to be sent.
func (c *Core) enqueue(jt *jobTask) {
	if jt.waiting || jt.done {
		return
	}
	jt.waiting = true
	jt.job.pending = append(jt.job.pending, jt)
	c.poolOf(jt.job).waiting++
}

// dequeue removes a task from those that wait to be sent.
func (c *Core) dequeue(jt *jobTask) {
	if !jt.waiting {
		return
	}
	jt.waiting = false
	c.poolOf(jt.job).waiting--
}

// startJob enqueues every task that has not run. Tasks of jobs that wait for a
// claim aren't enqueued, so that they don't displace other work while the store
// is down.
func (c *Core) startJob(j *job) {
	j.phase = phaseRunning
	j.runnableAt = c.now
	c.allowCatchUp(j)
	for i := len(j.tasks) - 1; i >= 0; i-- {
		jt := &j.tasks[i]
		if !jt.ran && len(jt.openAttempts) == 0 {
			c.enqueue(jt)
		}
	}
	c.enqueueJob(j)
}

// enqueueJob adds the job to the queue of its pool unless it is there already.
func (c *Core) enqueueJob(j *job) {
	p := c.poolOf(j)
	c.markReady(p)
	if j.queued {
		return
	}
	j.queued = true
	p.queue.Push(j.submission.Team, weightOf(j.submission.Plan.Pool, j.submission.Team), j.rank, j)
}

// poolOf returns the queue of a job's pool.
func (c *Core) poolOf(j *job) *pool { return c.pool(j.submission.Plan.Pool.Name) }

// pool returns the queue of a pool, and creates it if it doesn't exist.
func (c *Core) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name, queue: queuer.NewFairQueue[*job](), running: make(map[task.Team]int), lastDelays: make(map[task.Team]time.Duration)}
		c.pools[name] = p
	}
	return p
}

// quotaOf returns a team's quota in a pool; a team without one has weight 1 and
// no limit.
func quotaOf(p router.Pool, team task.Team) router.Quota {
	for _, q := range p.Quotas {
		if q.Team == team {
			return q
		}
	}
	return router.Quota{Team: team, Weight: 1}
}

func weightOf(p router.Pool, team task.Team) int { return quotaOf(p, team).Weight }
