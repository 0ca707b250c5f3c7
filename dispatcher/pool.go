package dispatcher

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/queuer"
	"agatevalve/router"
)

// tidyEvery is how often a pool forgets the teams that it has nothing of. Callers
// name their teams, so there may be any number of them.
const tidyEvery = 10 * time.Second

// pool is the queue of one pool at this entry.
type pool struct {
	name  string
	queue *queuer.FairQueue[*job]
	// waiting counts the admitted units that aren't sent; never negative.
	waiting int
	// running counts the open sends of each team.
	running map[task.Team]int
	// delays holds how long the last job of each team waited for its first start.
	delays map[task.Team]time.Duration
	// catchUpUntil is until when a long wait isn't taken for overload, since the
	// store held work back and has let it in at once.
	catchUpUntil time.Time
	// dirty is true while the pool stands in line for a pump.
	dirty bool
	// pumpAt is when a pump is already due; zero when none is.
	pumpAt time.Time
	// tidyAt is when idle teams are next forgotten.
	tidyAt time.Time
}

// tidy forgets idle teams from time to time.
func (p *pool) tidy(now time.Time) {
	if now.Before(p.tidyAt) {
		return
	}
	p.tidyAt = now.Add(tidyEvery)
	p.queue.RemoveIdle(now)
	for team := range p.delays {
		if _, ok := p.queue.PeekTeam(team); !ok {
			delete(p.delays, team)
		}
	}
}

// order gives the job its place within its team: by the time at which it
// would end at best.
func (c *Core) order(j *job) {
	j.asked = c.now
	mean := c.times(j.submission.Plan.Route.Name).mean
	slots := c.chooser.Capacity(c.now, c.poolOf(j).name).Slots
	rounds := 1 + len(j.units)/max(slots, 1)
	j.rank = c.now.Add(time.Duration(rounds) * mean)
}

// enqueue puts a unit in line to be sent.
func (c *Core) enqueue(u *unit) {
	if u.waiting || u.done {
		return
	}
	u.waiting = true
	u.job.pending = append(u.job.pending, u)
	c.poolOf(u.job).waiting++
}

// unwait takes a unit out of line.
func (c *Core) unwait(u *unit) {
	if !u.waiting {
		return
	}
	u.waiting = false
	c.poolOf(u.job).waiting--
}

// start puts every task that has not run in line. Work that waits for a claim
// isn't in line, so that it keeps no other work out while the store is down.
func (c *Core) start(j *job) {
	j.phase = phaseRunning
	j.began = c.now
	c.catchUp(j)
	for i := len(j.units) - 1; i >= 0; i-- {
		u := &j.units[i]
		if !u.ran && len(u.sends) == 0 {
			c.enqueue(u)
		}
	}
	c.queueJob(j)
}

func (c *Core) queueJob(j *job) {
	p := c.poolOf(j)
	c.mark(p)
	if j.queued {
		return
	}
	j.queued = true
	p.queue.Push(j.submission.Team, weightOf(j.submission.Plan.Pool, j.submission.Team), j.rank, j)
}

func (c *Core) poolOf(j *job) *pool { return c.pool(j.submission.Plan.Pool.Name) }

func (c *Core) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name, queue: queuer.NewFairQueue[*job](), running: make(map[task.Team]int), delays: make(map[task.Team]time.Duration)}
		c.pools[name] = p
	}
	return p
}

func quotaOf(p router.Pool, team task.Team) router.Quota {
	for _, q := range p.Quotas {
		if q.Team == team {
			return q
		}
	}
	return router.Quota{Team: team, Weight: 1}
}

func weightOf(p router.Pool, team task.Team) int { return quotaOf(p, team).Weight }
