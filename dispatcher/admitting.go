package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/common/task"
)

const (
	// maxDelayFactor is the queueing delay above which new work is refused, as a
	// multiple of the mean service time.
	maxDelayFactor = 1.5
	// minMaxDelay is the lower bound of that limit.
	minMaxDelay = 100 * time.Millisecond
	// catchUpFactor is the time that a pool gets to work off the backlog of a
	// store outage, as a multiple of the time for which the store held the work
	// back.
	catchUpFactor = 2
)

// admit refuses a submission that can't be served before its deadline. The
// refusal of a keyed submission reports that it may have run, since it can't
// prove that an earlier submission with the same key did not.
func (c *Core) admit(s Submission) (Answer, bool) {
	outcome := task.NotRun
	if s.Key != "" {
		outcome = task.MayHaveRun
	}
	if c.draining {
		return errorAnswer(outcome, http.StatusServiceUnavailable, "this entry is stopping", "send it again, to another entry", c.now), false
	}
	if !s.Deadline.Add(-replyMargin).After(c.now) {
		return errorAnswer(outcome, http.StatusGatewayTimeout, "the deadline has passed", "send it again with a later deadline", time.Time{}), false
	}
	p := c.pool(s.Plan.Pool.Name)
	limit := s.Plan.Pool.QueueLimit
	if limit == 0 {
		limit = c.options.QueueTasks
	}
	wait := c.expectedWait(p, s)
	if p.waiting+len(s.Tasks) > limit {
		return errorAnswer(outcome, http.StatusTooManyRequests, "the queue of the pool is full", "send it again later", c.now.Add(wait)), false
	}
	if c.overloaded(p, s) {
		return errorAnswer(outcome, http.StatusServiceUnavailable, "the pool has more work than it can serve", "send it again later", c.now.Add(time.Second)), false
	}
	if c.now.Add(wait).After(s.Deadline) {
		return errorAnswer(outcome, http.StatusServiceUnavailable, "the pool can't serve it before its deadline", "send it again later, or with a later deadline", c.now.Add(wait)), false
	}
	return Answer{}, true
}

// expectedWait estimates the time until the last task of a submission is sent,
// from the queue length and the slots that the tasks of other entries leave
// free.
func (c *Core) expectedWait(p *pool, s Submission) time.Duration {
	times := c.serviceTimesOf(s.Plan.Route.Name)
	capacity := c.chooser.Capacity(c.now, p.name)
	backlog := p.waiting + len(s.Tasks)
	if len(s.Tasks) <= maxSmallJobTasks {
		// Small jobs are sent before the tasks of large ones.
		return c.queueDelay(p, s.Team)
	}
	if capacity.Slots == 0 || !times.reliable() {
		return 0
	}
	usable := max(capacity.Slots-int(capacity.Others), 1)
	running := min(p.totalRunning(), usable)
	free := usable - running
	if backlog <= free {
		return 0
	}
	rounds := float64(backlog-free) / float64(usable)
	return time.Duration(rounds * float64(times.mean))
}

// overloaded reports whether the queueing delay of the pool exceeds its limit,
// in which case new work must be refused.
func (c *Core) overloaded(p *pool, s Submission) bool {
	return !p.catchUpUntil.After(c.now) && c.queueDelay(p, s.Team) > c.maxQueueDelay(s)
}

// allowCatchUp suspends the overload check of a pool while it works off a job
// that waited long for the store to write its claim. Otherwise new work would
// be refused because of the delay that the store caused.
func (c *Core) allowCatchUp(j *job) {
	claimDelay := j.runnableAt.Sub(j.claimRequestedAt)
	if claimDelay <= c.maxQueueDelay(j.submission) {
		return
	}
	p := c.poolOf(j)
	if until := j.runnableAt.Add(catchUpFactor * claimDelay); until.After(p.catchUpUntil) {
		p.catchUpUntil = until
	}
}

// queueDelay returns how long the team's next job has waited for its first
// start. If that job has started, it returns the wait of the last job that did.
func (c *Core) queueDelay(p *pool, team task.Team) time.Duration {
	j, ok := p.queue.PeekTeam(team)
	if !ok || j.phase == phaseDone {
		return 0
	}
	if j.started {
		return p.lastDelays[team]
	}
	return c.now.Sub(j.runnableAt)
}

// maxQueueDelay returns the queueing delay above which new work is refused. The
// delay of the queue is limited, rather than its length, so that no standing
// queue outlives an overload. The rule is that of CoDel (Nichols and Jacobson,
// 2012), except that new work is refused on arrival instead of being dropped
// from the queue.
func (c *Core) maxQueueDelay(s Submission) time.Duration {
	mean := c.serviceTimesOf(s.Plan.Route.Name).mean
	return max(time.Duration(maxDelayFactor*float64(mean)), minMaxDelay)
}

// totalRunning returns the number of open attempts of all teams.
func (p *pool) totalRunning() int {
	sum := 0
	for _, n := range p.running {
		sum += n
	}
	return sum
}
