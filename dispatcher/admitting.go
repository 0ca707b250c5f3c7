package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/common/task"
)

const (
	// delayMeans times the mean service time is the delay at which new work is refused.
	delayMeans = 1.5
	// leastDelay is the least such delay.
	leastDelay = 100 * time.Millisecond
	// catchUpTimes the time that the store held a job back is how long its pool
	// may take to work off what came in with it.
	catchUpTimes = 2
)

// admit refuses early what can't be served in time. The refusal of a keyed
// submission can't prove that an earlier one with its key did not run.
func (c *Core) admit(s Submission) (Answer, bool) {
	outcome := task.NotRun
	if s.Key != "" {
		outcome = task.MayHaveRun
	}
	if c.draining {
		return refuse(outcome, http.StatusServiceUnavailable, "this entry is stopping", "send it again, to another entry", c.now), false
	}
	if !s.Deadline.Add(-replyMargin).After(c.now) {
		return refuse(outcome, http.StatusGatewayTimeout, "the deadline has passed", "send it again with a later deadline", time.Time{}), false
	}
	p := c.pool(s.Plan.Pool.Name)
	limit := s.Plan.Pool.QueueLimit
	if limit == 0 {
		limit = c.options.QueueTasks
	}
	wait := c.expectedWait(p, s)
	if p.waiting+len(s.Tasks) > limit {
		return refuse(outcome, http.StatusTooManyRequests, "the queue of the pool is full", "send it again later", c.now.Add(wait)), false
	}
	if c.overloaded(p, s) {
		return refuse(outcome, http.StatusServiceUnavailable, "the pool has more work than it can serve", "send it again later", c.now.Add(time.Second)), false
	}
	if c.now.Add(wait).After(s.Deadline) {
		return refuse(outcome, http.StatusServiceUnavailable, "the pool can't serve it before its deadline", "send it again later, or with a later deadline", c.now.Add(wait)), false
	}
	return Answer{}, true
}

// expectedWait estimates how long a submission waits before its last task is
// sent, from the tasks in line and the slots that other entries leave.
func (c *Core) expectedWait(p *pool, s Submission) time.Duration {
	times := c.times(s.Plan.Route.Name)
	capacity := c.chooser.Capacity(c.now, p.name)
	ahead := p.waiting + len(s.Tasks)
	if len(s.Tasks) <= smallJob {
		// Small jobs go before the tasks of large ones.
		return c.delay(p, s.Team)
	}
	if capacity.Slots == 0 || !times.learned() {
		return 0
	}
	share := max(capacity.Slots-int(capacity.Others), 1)
	running := min(p.sent(), share)
	free := share - running
	if ahead <= free {
		return 0
	}
	rounds := float64(ahead-free) / float64(share)
	return time.Duration(rounds * float64(times.mean))
}

// overloaded reports whether a queue stands that new work would lengthen.
func (c *Core) overloaded(p *pool, s Submission) bool {
	return !p.catchUpUntil.After(c.now) && c.delay(p, s.Team) > c.longestDelay(s)
}

// catchUp gives a pool time to work off a job that the store held back beside
// new work, which would be refused for the wait of such jobs otherwise.
func (c *Core) catchUp(j *job) {
	held := j.began.Sub(j.asked)
	if held <= c.longestDelay(j.submission) {
		return
	}
	p := c.poolOf(j)
	if until := j.began.Add(catchUpTimes * held); until.After(p.catchUpUntil) {
		p.catchUpUntil = until
	}
}

// delay returns how long the next job of a team has waited for its first
// start, or how long the last one did if the next has started.
func (c *Core) delay(p *pool, team task.Team) time.Duration {
	j, ok := p.queue.PeekTeam(team)
	if !ok || j.phase == phaseDone {
		return 0
	}
	if j.started {
		return p.delays[team]
	}
	return c.now.Sub(j.began)
}

// longestDelay bounds the queue in time rather than in length, so that no
// standing queue outlives an overload. The rule is that of CoDel (Nichols and
// Jacobson, 2012) with refusal at the door in place of drops from the queue.
func (c *Core) longestDelay(s Submission) time.Duration {
	mean := c.times(s.Plan.Route.Name).mean
	return max(time.Duration(delayMeans*float64(mean)), leastDelay)
}

func (p *pool) sent() int {
	sum := 0
	for _, n := range p.running {
		sum += n
	}
	return sum
}
