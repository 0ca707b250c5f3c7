package dispatcher

import (
	"encoding/binary"
	"net/http"
	"time"

	"agatevalve/common/task"
	"agatevalve/queuer"
	"agatevalve/router"
)

// replyMargin is how long before a deadline the reply leaves the core.
const replyMargin = 10 * time.Millisecond

// closeMargin is how long before its deadline a claimed job of which nothing
// was sent is given up, so that the store can confirm it.
const closeMargin = 250 * time.Millisecond

const (
	// delayMeans times the mean service time is the delay at which new work is refused.
	delayMeans = 1.5
	// leastDelay is the least such delay.
	leastDelay = 100 * time.Millisecond
)

// pool is the queue of one pool at this entry.
type pool struct {
	name  string
	queue *queuer.Fair[*job]
	// waiting counts the admitted units that aren't sent; never negative.
	waiting int
	// running counts the open sends of each team.
	running map[task.Team]int
	// delays holds how long the last job of each team waited for its first start.
	delays map[task.Team]time.Duration
	// dirty is true while the pool stands in line for a pump.
	dirty bool
	// pumpAt is when a pump is already due; zero when none is.
	pumpAt time.Time
}

func (c *Core) submit(s Submission) {
	c.counters.Submitted++
	if j := c.known(s); j != nil && !c.restartable(j, s) {
		c.join(j, s)
		return
	}
	if refusal, ok := c.admit(s); !ok {
		c.emit(Reply{Ticket: s.Ticket, Known: true, Answer: refusal})
		return
	}
	j := newJob(c.runID(s), s)
	c.jobs[j.id] = j
	c.addWaiter(j, &waiter{ticket: s.Ticket, job: j, deadline: s.Deadline})
	c.wake(timer{at: s.Deadline.Add(-replyMargin), kind: timerJob, job: j})
	c.order(j)
	if !j.claimed() {
		c.start(j)
		return
	}
	c.planClose(j)
	j.claim = c.newClaim(j, 1, s.Deadline)
	c.emit(WriteClaim{Claim: j.claim})
}

// planClose leaves time to prove that a job was not run.
func (c *Core) planClose(j *job) {
	left := j.submission.Deadline.Sub(c.now)
	margin := min(closeMargin, left/2)
	c.wake(timer{at: j.submission.Deadline.Add(-margin), kind: timerClose, job: j})
}

// known returns the job of an earlier submission with the same key, or nil. An
// edit may have made the key's route idempotent, or not, in between: then both
// a claimed job and one without a claim may be here, and the claimed one is the
// key's, unless it was proved not to have run.
func (c *Core) known(s Submission) *job {
	j := c.jobs[s.Job]
	if j != nil && (!s.Plan.Route.Idempotent || !j.provedNotRun()) {
		return j
	}
	if id, ok := c.aliases[s.Job]; ok {
		return c.jobs[id]
	}
	return nil
}

func (j *job) provedNotRun() bool { return j.phase == phaseDone && j.answer.Outcome == task.NotRun }

// runID returns the id under which agents see the job. A keyed job without a
// claim may run at two entries at once, with different content, so each run
// has an id of its own.
func (c *Core) runID(s Submission) task.JobID {
	if s.Key == "" || !s.Plan.Route.Idempotent {
		return s.Job
	}
	var id task.JobID
	binary.LittleEndian.PutUint64(id[:8], c.options.Random.Uint64())
	binary.LittleEndian.PutUint64(id[8:], c.options.Random.Uint64())
	c.aliases[s.Job] = id
	return id
}

// remove forgets a job.
func (c *Core) remove(j *job) {
	if c.jobs[j.id] == j {
		delete(c.jobs, j.id)
	}
	if c.aliases[j.submission.Job] == j.id {
		delete(c.aliases, j.submission.Job)
	}
}

// restartable reports whether a kept answer must not stop a new run: the job
// is idempotent and did not complete.
func (c *Core) restartable(j *job, s Submission) bool {
	return j.phase == phaseDone && !j.claimed() && j.answer.Outcome != task.Complete &&
		j.submission.Digest == s.Digest
}

// join adds a resubmission to a job that is here already.
func (c *Core) join(j *job, s Submission) {
	c.counters.Joined++
	if j.submission.Digest != s.Digest {
		c.emit(Reply{Ticket: s.Ticket, Known: true, Answer: j.otherContent()})
		return
	}
	if j.phase == phaseDone && j.answer.Outcome == task.NotRun && j.claimed() {
		c.rerun(j, s)
		return
	}
	if j.phase == phaseDone {
		c.emit(Reply{Ticket: s.Ticket, Known: true, Answer: j.answer})
		return
	}
	if !s.Deadline.After(c.now) {
		c.emit(Reply{Ticket: s.Ticket, Known: true, Answer: stillOpen()})
		return
	}
	c.addWaiter(j, &waiter{ticket: s.Ticket, job: j, deadline: s.Deadline})
}

// rerun claims a job again that is proved not to have run.
func (c *Core) rerun(done *job, s Submission) {
	if refusal, ok := c.admit(s); !ok {
		c.emit(Reply{Ticket: s.Ticket, Known: true, Answer: refusal})
		return
	}
	c.dropKept(done)
	j := newJob(done.id, s)
	c.jobs[j.id] = j
	c.addWaiter(j, &waiter{ticket: s.Ticket, job: j, deadline: s.Deadline})
	c.wake(timer{at: s.Deadline.Add(-replyMargin), kind: timerJob, job: j})
	c.order(j)
	c.planClose(j)
	j.claim = c.newClaim(j, done.claim.Generation+1, s.Deadline)
	c.emit(TakeClaim{Old: done.claim, Claim: j.claim})
}

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
	if c.delay(p, s.Team) > c.longestDelay(s) {
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

// delay returns how long the next job of a team has waited for its first
// start, or how long the last one did if the next has started.
func (c *Core) delay(p *pool, team task.Team) time.Duration {
	j, ok := p.queue.First(team)
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

func (c *Core) addWaiter(j *job, w *waiter) {
	j.waiters = append(j.waiters, w)
	c.waiters[w.ticket] = w
	if w.deadline.Before(j.submission.Deadline) {
		c.wake(timer{at: w.deadline.Add(-replyMargin), kind: timerWaiter, ticket: w.ticket})
	}
}

// withdraw removes a caller. A keyless job that nobody waits for is cancelled;
// a keyed one goes on, since its caller may ask again.
func (c *Core) withdraw(ticket Ticket) {
	w := c.waiters[ticket]
	if w == nil {
		return
	}
	delete(c.waiters, ticket)
	j := w.job
	for i, other := range j.waiters {
		if other == w {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	if len(j.waiters) == 0 && !j.keyed() {
		c.finish(j, refuse(j.verdict(), statusClientClosed, "the caller went away", "send it again", time.Time{}))
	}
}

// asked answers another entry's question or lets it wait.
func (c *Core) asked(e Asked) {
	j := c.jobs[e.Job]
	if j == nil || j.submission.Team != e.Team {
		c.emit(Reply{Ticket: e.Ticket})
		return
	}
	if j.submission.Digest != e.Digest {
		c.emit(Reply{Ticket: e.Ticket, Known: true, Answer: j.otherContent()})
		return
	}
	if j.phase == phaseDone {
		c.emit(Reply{Ticket: e.Ticket, Known: true, Answer: j.answer})
		return
	}
	if j.phase == phaseAsking {
		// Two entries that ask each other would wait for ever.
		c.emit(Reply{Ticket: e.Ticket})
		return
	}
	c.addWaiter(j, &waiter{ticket: e.Ticket, job: j, deadline: e.Deadline, entry: true})
}

func (c *Core) waiterDue(ticket Ticket) {
	w := c.waiters[ticket]
	if w == nil {
		return
	}
	c.withdrawQuietly(w)
	c.emit(Reply{Ticket: ticket, Known: true, Answer: stillOpen()})
}

func (c *Core) withdrawQuietly(w *waiter) {
	delete(c.waiters, w.ticket)
	for i, other := range w.job.waiters {
		if other == w {
			w.job.waiters = append(w.job.waiters[:i], w.job.waiters[i+1:]...)
			return
		}
	}
}

// order gives the job its place within its team: by the time at which it
// would end at best.
func (c *Core) order(j *job) {
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
		p = &pool{name: name, queue: queuer.NewFair[*job](), running: make(map[task.Team]int), delays: make(map[task.Team]time.Duration)}
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
