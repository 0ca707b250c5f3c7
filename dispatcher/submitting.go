package dispatcher

import (
	"encoding/binary"
	"time"

	"agatevalve/common/task"
)

// replyMargin is the time before a deadline at which the reply leaves the core.
const replyMargin = 10 * time.Millisecond

// confirmMargin is the time before its deadline at which a claimed job of which
// nothing was sent is given up, so that the store can still confirm that it did
// not run.
const confirmMargin = 250 * time.Millisecond

// submit joins a submission to an earlier one with the same key, or admits it
// as a new job.
func (c *Core) submit(s Submission) {
	c.counters.Submitted++
	if j := c.findJob(s); j != nil && !c.restartable(j, s) {
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
	c.schedule(timer{at: s.Deadline.Add(-replyMargin), kind: timerJobDeadline, job: j})
	c.setRank(j)
	if !j.claimed() {
		c.startJob(j)
		return
	}
	c.scheduleUnsentExpiry(j)
	j.claim = c.newClaim(j, 1, s.Deadline)
	c.emit(WriteClaim{Claim: j.claim})
}

// scheduleUnsentExpiry sets the timer for expireUnsent, confirmMargin before
// the deadline or half of the remaining time if that is less.
func (c *Core) scheduleUnsentExpiry(j *job) {
	remaining := j.submission.Deadline.Sub(c.now)
	margin := min(confirmMargin, remaining/2)
	c.schedule(timer{at: j.submission.Deadline.Add(-margin), kind: timerUnsent, job: j})
}

// findJob returns the job of an earlier submission with the same key, or nil.
// If the route was changed to or from idempotent in between, both a claimed job
// and one without a claim may exist: then the claimed one is returned, unless
// it is proved not to have run.
func (c *Core) findJob(s Submission) *job {
	j := c.jobs[s.Job]
	if j != nil && (!s.Plan.Route.Idempotent || !j.provedNotRun()) {
		return j
	}
	if id, ok := c.aliases[s.Job]; ok {
		return c.jobs[id]
	}
	return nil
}

// provedNotRun reports whether the job has ended and is proved not to have run.
func (j *job) provedNotRun() bool { return j.phase == phaseDone && j.answer.Outcome == task.NotRun }

// runID returns the id by which agents identify the job. A keyed job without a
// claim may run at two entries at once, with different content, so each run has
// a random id.
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

// removeJob removes a job and its alias.
func (c *Core) removeJob(j *job) {
	if c.jobs[j.id] == j {
		delete(c.jobs, j.id)
	}
	if c.aliases[j.submission.Job] == j.id {
		delete(c.aliases, j.submission.Job)
	}
}

// restartable reports whether a resubmission runs a finished job again in place
// of its kept answer: the job is idempotent, did not complete, and has the same
// content.
func (c *Core) restartable(j *job, s Submission) bool {
	return j.phase == phaseDone && !j.claimed() && j.answer.Outcome != task.Complete &&
		j.submission.Digest == s.Digest
}

// join adds a resubmission to the job that has its key.
func (c *Core) join(j *job, s Submission) {
	c.counters.Joined++
	if j.submission.Digest != s.Digest {
		c.emit(Reply{Ticket: s.Ticket, Known: true, Answer: j.digestMismatchAnswer()})
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
		c.emit(Reply{Ticket: s.Ticket, Known: true, Answer: unfinishedAnswer()})
		return
	}
	c.addWaiter(j, &waiter{ticket: s.Ticket, job: j, deadline: s.Deadline})
}

// rerun claims again a job that is proved not to have run.
func (c *Core) rerun(previous *job, s Submission) {
	if refusal, ok := c.admit(s); !ok {
		c.emit(Reply{Ticket: s.Ticket, Known: true, Answer: refusal})
		return
	}
	c.dropAnswer(previous)
	j := newJob(previous.id, s)
	c.jobs[j.id] = j
	c.addWaiter(j, &waiter{ticket: s.Ticket, job: j, deadline: s.Deadline})
	c.schedule(timer{at: s.Deadline.Add(-replyMargin), kind: timerJobDeadline, job: j})
	c.setRank(j)
	c.scheduleUnsentExpiry(j)
	j.claim = c.newClaim(j, previous.claim.Generation+1, s.Deadline)
	c.emit(ReplaceClaim{Old: previous.claim, Claim: j.claim})
}
