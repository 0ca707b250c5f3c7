package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

const (
	// pumpPause is when a queue that had no free minion is looked at again,
	// unless an answer comes first.
	pumpPause = 10 * time.Millisecond
	// excessAllowed is the use over the fair part from which a team yields.
	excessAllowed = 1.25
	// smallJob is the largest job whose tasks may queue at minions.
	smallJob = 32
	// borrowable is the part of a pool that a team that yields may fill.
	borrowable = 0.7
	// doomedShare of the low service time is what a task needs at least.
	doomedShare = 0.5
)

// mark puts a pool in line for a pump at the end of the step.
func (c *Core) mark(p *pool) {
	if p.dirty || p.waiting == 0 {
		return
	}
	p.dirty = true
	c.dirty = append(c.dirty, p)
}

// markAgent marks the pools that an agent's minion serves.
func (c *Core) markAgent(id task.Process) {
	m := c.chooser.Get(id)
	if m == nil {
		return
	}
	for _, name := range m.Pools {
		if p := c.pools[name]; p != nil {
			c.mark(p)
		}
	}
}

func (c *Core) pumpAll() {
	for i := 0; i < len(c.dirty); i++ {
		c.dirty[i].dirty = false
		c.pump(c.dirty[i])
	}
	c.dirty = c.dirty[:0]
}

// pump sends what the pool's minions have room for.
func (c *Core) pump(p *pool) {
	p.tidy(c.now)
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
		if c.doomed(j) {
			c.end(j, refuse(j.verdict(), http.StatusGatewayTimeout,
				"a task can't be answered before the deadline", "send it again with a later deadline", time.Time{}))
			continue
		}
		if c.capped(p, j) || c.yields(p, j) || !c.sendNext(p, j) {
			if blocked == nil {
				blocked = make(map[task.Team]bool)
			}
			blocked[team] = true
		}
	}
	c.pumpLater(p)
}

// pumpLater makes sure that waiting work is looked at again.
func (c *Core) pumpLater(p *pool) {
	if p.waiting == 0 || p.pumpAt.After(c.now) {
		return
	}
	p.pumpAt = c.now.Add(pumpPause)
	c.wake(timer{at: p.pumpAt, kind: timerPump, pool: p})
}

// capped reports whether the team runs as much as its quota allows.
func (c *Core) capped(p *pool, j *job) bool {
	limit := quotaOf(j.submission.Plan.Pool, j.submission.Team).MaxRunning
	return limit > 0 && p.running[j.submission.Team] >= limit
}

// yields reports whether the team has used so much more than its part that it
// must leave the last free slots to the others, who then needn't wait.
func (c *Core) yields(p *pool, j *job) bool {
	if p.queue.ShareRatio(c.now, j.submission.Team) < excessAllowed {
		return false
	}
	capacity := c.chooser.Capacity(c.now, p.name)
	return capacity.Busy+1 > borrowable*float64(capacity.Slots)
}

// doomed reports whether even a fast minion would answer too late.
func (c *Core) doomed(j *job) bool {
	low := c.times(j.submission.Plan.Route.Name).low
	need := time.Duration(float64(low) * doomedShare)
	return !c.now.Add(need).Before(j.startDeadline())
}

// startDeadline is the deadline that the job's starts carry.
func (j *job) startDeadline() time.Time {
	if j.claimed() && j.claim.Deadline.Before(j.submission.Deadline) {
		return j.claim.Deadline
	}
	return j.submission.Deadline
}

// sendNext sends the job's next unit, if a minion has room.
func (c *Core) sendNext(p *pool, j *job) bool {
	u := j.next()
	work := c.workOf(j)
	slotCap := j.submission.Plan.Pool.SlotsPerMinion
	allow := func(id task.Process) bool { return u.allows(id) }
	id, ok := c.chooser.Choose(c.now, p.name, slotCap, work, allow)
	if !ok {
		j.pending = append(j.pending, u)
		c.widen(j)
		return false
	}
	c.unwait(u)
	if !j.started {
		j.started = true
		p.delays[j.submission.Team] = c.now.Sub(j.began)
	}
	c.sendTo(u, id, false)
	p.queue.Charge(c.now, j.submission.Team, work.Mean)
	return true
}

func (c *Core) workOf(j *job) balancer.Work {
	times := c.times(j.submission.Plan.Route.Name)
	work := balancer.Work{Mean: times.mean, HarmonicMean: times.typical()}
	if len(j.units) <= smallJob {
		// The wait of a large job is its own doing, and says nothing of minions.
		work.Waited = c.now.Sub(j.began)
	}
	return work
}

// allows reports whether the unit may be sent to an agent.
func (u *unit) allows(id task.Process) bool {
	if u.job.allowed != nil && !u.job.allowed[id] {
		return false
	}
	for _, t := range u.tried {
		if t == id {
			return false
		}
	}
	return true
}

func (c *Core) sendTo(u *unit, id task.Process, hedged bool) {
	j := u.job
	pr := c.peers[id]
	u.attempts++
	s := &send{agent: id, attempt: u.attempts, at: c.now, hedged: hedged}
	c.openSend(u, s)
	c.counters.Sends++
	if u.retries > 0 && !hedged {
		c.counters.Resends++
	}
	c.emit(Send{Agent: pr.Peer, Start: task.Start{
		Task:       u.id(),
		Attempt:    s.attempt,
		Generation: j.claim.Generation,
		Team:       j.submission.Team,
		Pool:       j.submission.Plan.Pool.Name,
		Deadline:   j.startDeadline(),
		Request:    j.submission.Tasks[u.index],
	}})
	c.planHedge(u, s)
}

// openSend accounts an attempt whose fate is open.
func (c *Core) openSend(u *unit, s *send) {
	u.sends = append(u.sends, s)
	c.poolOf(u.job).running[u.job.submission.Team]++
	if pr := c.peers[s.agent]; pr != nil {
		pr.open[s] = u
	}
	c.chooser.RecordSent(c.now, s.agent, c.times(u.job.submission.Plan.Route.Name).mean)
	if s.accepted {
		c.chooser.RecordAccepted(s.agent)
	}
}

// closeSend accounts the end of an attempt.
func (c *Core) closeSend(u *unit, s *send, o balancer.Outcome) {
	u.close(s)
	p := c.poolOf(u.job)
	team := u.job.submission.Team
	p.running[team]--
	if p.running[team] == 0 {
		delete(p.running, team)
	}
	if pr := c.peers[s.agent]; pr != nil {
		delete(pr.open, s)
		c.release(pr)
	}
	c.chooser.RecordEnd(c.now, s.agent, o)
	c.mark(p)
}

func sentOf(u *unit, s *send) Sent {
	return Sent{Task: u.id(), Attempt: s.attempt, Deadline: u.job.startDeadline()}
}
