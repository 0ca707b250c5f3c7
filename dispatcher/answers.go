package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

// statusClientClosedRequest is nginx's non-standard status for a client that
// disconnected before the response.
const statusClientClosedRequest = 499

// errorAnswer builds the answer to a submission that was refused or failed. A
// zero retryAt means that the time at which a retry may succeed isn't known.
func errorAnswer(outcome task.Outcome, status int, reason, remedy string, retryAt time.Time) Answer {
	return Answer{Outcome: outcome, Status: status, Reason: reason, Remedy: remedy, RetryAt: retryAt}
}

// keyReusedAnswer refuses a submission whose idempotency key belongs to another
// submission.
func keyReusedAnswer() Answer {
	return errorAnswer(task.NotRun, http.StatusUnprocessableEntity,
		"the idempotency key was used for another submission", "use a new key for new content", time.Time{})
}

// digestMismatchAnswer refuses a submission that has the key of this job but
// other content. Only a claim proves that the refused content has not run under
// the key.
func (j *job) digestMismatchAnswer() Answer {
	if j.claimed() && j.phase != phaseClaiming {
		return keyReusedAnswer()
	}
	return errorAnswer(task.MayHaveRun, http.StatusConflict,
		"another submission with the same idempotency key is under way", "use a new key for new content", time.Time{})
}

// unfinishedAnswer is the reply to a caller whose deadline passes while the job
// goes on.
func unfinishedAnswer() Answer {
	return errorAnswer(task.MayHaveRun, http.StatusGatewayTimeout,
		"the job had not ended by the deadline", "send it again with the same key to get its answer", time.Time{})
}

// expireJob ends a job that is not done at its deadline.
func (c *Core) expireJob(j *job) {
	if j.phase == phaseDone || c.jobs[j.id] != j {
		return
	}
	outcome := j.knownOutcome()
	if j.claimed() && (j.phase != phaseRunning || outcome == task.NotRun) {
		// There is no time left to find out what another owner has run.
		outcome = task.MayHaveRun
	}
	reason := "the deadline passed before every task had answered"
	if outcome == task.NotRun {
		reason = "the deadline passed before a minion was free"
	}
	remedy := "send it again with a later deadline"
	if j.keyed() {
		remedy = "send it again with the same key and a later deadline"
	}
	c.finish(j, errorAnswer(outcome, http.StatusGatewayTimeout, reason, remedy, time.Time{}))
}

// expireUnsent ends a claimed job of which nothing was sent. It runs
// confirmMargin before the deadline, so that the store can still confirm that
// nothing ran.
func (c *Core) expireUnsent(j *job) {
	if j.phase != phaseRunning || j.knownOutcome() != task.NotRun {
		return
	}
	c.finishConfirmed(j, errorAnswer(task.NotRun, http.StatusGatewayTimeout,
		"no minion was free in time", "send it again with a later deadline", time.Time{}))
}

// finishConfirmed finishes the job. Before it answers that a claimed job was
// not run, it replaces the claim by one of the next generation: only if that
// succeeds has no other entry taken the job over and run it while this entry
// was cut off.
func (c *Core) finishConfirmed(j *job, answer Answer) {
	if answer.Outcome != task.NotRun || !j.claimed() || j.phase != phaseRunning {
		c.finish(j, answer)
		return
	}
	c.stopTasks(j)
	j.wideningClaim = nil
	old := j.claim
	j.phase = phaseConfirming
	j.answer = answer
	j.claim = c.newClaim(j, old.Generation+1, old.Deadline)
	c.emit(ReplaceClaim{Old: old, Claim: j.claim})
}

// finish sets the job's answer, cancels its open attempts, and replies to all
// waiters.
func (c *Core) finish(j *job, answer Answer) {
	if j.phase == phaseDone {
		return
	}
	owned := j.phase == phaseRunning
	definitive := owned || j.phase == phaseConfirming && answer.Outcome == task.NotRun
	c.countOutcome(answer.Outcome)
	c.stopTasks(j)
	j.phase = phaseDone
	j.answer = answer
	for _, w := range j.waiters {
		delete(c.waiters, w.ticket)
		c.emit(Reply{Ticket: w.ticket, Known: true, Answer: answer})
	}
	j.waiters = nil
	if owned {
		c.acknowledgeAll(j)
	}
	c.retainAnswer(j, definitive || answer.Outcome == task.Complete)
}

// countOutcome counts a finished job under its outcome.
func (c *Core) countOutcome(outcome task.Outcome) {
	switch outcome {
	case task.Complete:
		c.counters.Completed++
	case task.NotRun:
		c.counters.NotRun++
	case task.Failed:
		c.counters.Failed++
	case task.MayHaveRun:
		c.counters.MayHaveRun++
	}
}

// stopTasks removes the job's tasks from the queue and cancels their open
// attempts.
func (c *Core) stopTasks(j *job) {
	for i := range j.tasks {
		jt := &j.tasks[i]
		c.dequeue(jt)
		for len(jt.openAttempts) > 0 {
			c.cancelAttempt(jt, jt.openAttempts[0])
		}
	}
	j.pending = nil
	c.markReady(c.poolOf(j))
}

// cancelAttempt closes an open attempt and tells its agent to stop it.
func (c *Core) cancelAttempt(jt *jobTask, a *attempt) {
	if pr := c.peers[a.agent]; pr != nil {
		c.emit(Cancel{Agent: pr.Peer, Ref: attemptRef(jt, a)})
	}
	c.closeAttempt(jt, a, balancer.Outcome{Accepted: a.accepted})
}

// retainAnswer keeps the definitive answer of a keyed job for resubmissions,
// within the limits of Options.KeepAnswers and Options.KeepBytes. It removes
// all other jobs at once.
func (c *Core) retainAnswer(j *job, definitive bool) {
	if !j.keyed() || !definitive {
		c.removeJob(j)
		return
	}
	j.tasks = nil
	j.submission.Tasks = nil
	j.expires = c.now.Add(c.options.KeepAnswers)
	c.keptAnswers = append(c.keptAnswers, j)
	c.keptBytes += answerSize(j.answer)
	c.schedule(timer{at: j.expires, kind: timerAnswerExpiry})
	for c.keptBytes > c.options.KeepBytes && len(c.keptAnswers) > 0 {
		c.dropAnswer(c.keptAnswers[0])
	}
}

// expireAnswers drops the kept answers that have expired.
func (c *Core) expireAnswers() {
	for len(c.keptAnswers) > 0 && !c.keptAnswers[0].expires.After(c.now) {
		c.dropAnswer(c.keptAnswers[0])
	}
}

// dropAnswer removes a finished job and its kept answer.
func (c *Core) dropAnswer(j *job) {
	for i, other := range c.keptAnswers {
		if other == j {
			c.keptAnswers = append(c.keptAnswers[:i], c.keptAnswers[i+1:]...)
			c.keptBytes -= answerSize(j.answer)
			break
		}
	}
	c.removeJob(j)
}

// answerSize returns the approximate size of an answer in bytes.
func answerSize(a Answer) int {
	size := len(a.Reason) + len(a.Remedy)
	for _, r := range a.Responses {
		size += len(r.Body)
		for name, values := range r.Header {
			size += len(name)
			for _, v := range values {
				size += len(v)
			}
		}
	}
	return size
}
