package dispatcher

import (
	"encoding/binary"
	"time"

	"agatevalve/common/task"
)

// replyMargin is how long before a deadline the reply leaves the core.
const replyMargin = 10 * time.Millisecond

// closeMargin is how long before its deadline a claimed job of which nothing
// was sent is given up, so that the store can confirm it.
const closeMargin = 250 * time.Millisecond

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
