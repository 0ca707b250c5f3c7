package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

// statusClientClosed is the customary status for a caller that went away.
const statusClientClosed = 499

func refuse(outcome task.Outcome, status int, reason, remedy string, retry time.Time) Answer {
	return Answer{Outcome: outcome, Status: status, Reason: reason, Remedy: remedy, RetryAt: retry}
}

func keyReused() Answer {
	return refuse(task.NotRun, http.StatusUnprocessableEntity,
		"the idempotency key was used for another submission", "use a new key for new content", time.Time{})
}

// otherContent refuses a submission whose key this job has with other content.
// Only a claim proves that the refused content never ran under the key.
func (j *job) otherContent() Answer {
	if j.claimed() && j.phase != phaseClaiming {
		return keyReused()
	}
	return refuse(task.MayHaveRun, http.StatusConflict,
		"another submission with the same idempotency key is under way", "use a new key for new content", time.Time{})
}

func stillOpen() Answer {
	return refuse(task.MayHaveRun, http.StatusGatewayTimeout,
		"the job had not ended by the deadline", "send it again with the same key to get its answer", time.Time{})
}

// jobDue ends a job that is not done at its deadline.
func (c *Core) jobDue(j *job) {
	if j.phase == phaseDone || c.jobs[j.id] != j {
		return
	}
	outcome := j.verdict()
	if j.claimed() && (j.phase != phaseRunning || outcome == task.NotRun) {
		// There is no time left to learn what another owner has done.
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
	c.finish(j, refuse(outcome, http.StatusGatewayTimeout, reason, remedy, time.Time{}))
}

// closeDue gives up on a claimed job of which nothing was sent, early enough
// to prove that nothing ran.
func (c *Core) closeDue(j *job) {
	if j.phase != phaseRunning || j.verdict() != task.NotRun {
		return
	}
	c.end(j, refuse(task.NotRun, http.StatusGatewayTimeout,
		"no minion was free in time", "send it again with a later deadline", time.Time{}))
}

// end gives the job its answer. While this entry was cut off, another may have
// taken a claimed job over and run it; so the claim is written once more before
// its callers are told that it was not run.
func (c *Core) end(j *job, answer Answer) {
	if answer.Outcome != task.NotRun || !j.claimed() || j.phase != phaseRunning {
		c.finish(j, answer)
		return
	}
	c.stopUnits(j)
	j.widening = nil
	old := j.claim
	j.phase = phaseClosing
	j.answer = answer
	j.claim = c.newClaim(j, old.Generation+1, old.Deadline)
	c.emit(TakeClaim{Old: old, Claim: j.claim})
}

// finish gives the job its answer, stops what is still open, and replies.
func (c *Core) finish(j *job, answer Answer) {
	if j.phase == phaseDone {
		return
	}
	owned := j.phase == phaseRunning
	settled := owned || j.phase == phaseClosing && answer.Outcome == task.NotRun
	c.count(answer.Outcome)
	c.stopUnits(j)
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
	c.keep(j, settled || answer.Outcome == task.Complete)
}

func (c *Core) count(outcome task.Outcome) {
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

// stopUnits takes the job's units out of the queue and cancels open sends.
func (c *Core) stopUnits(j *job) {
	for i := range j.units {
		u := &j.units[i]
		c.unwait(u)
		for len(u.sends) > 0 {
			c.cancel(u, u.sends[0])
		}
	}
	j.pending = nil
	c.mark(c.poolOf(j))
}

// cancel gives up an open send that nobody waits for any more.
func (c *Core) cancel(u *unit, s *send) {
	if pr := c.peers[s.agent]; pr != nil {
		c.emit(Cancel{Agent: pr.Peer, Sent: sentOf(u, s)})
	}
	c.closeSend(u, s, balancer.Outcome{Accepted: s.accepted})
}

// keep holds the answer of a keyed job for resubmissions and drops all others.
func (c *Core) keep(j *job, settled bool) {
	if !j.keyed() || !settled {
		c.remove(j)
		return
	}
	j.units = nil
	j.submission.Tasks = nil
	j.expires = c.now.Add(c.options.KeepAnswers)
	c.kept = append(c.kept, j)
	c.keptBytes += sizeOf(j.answer)
	c.wake(timer{at: j.expires, kind: timerAnswer})
	for c.keptBytes > c.options.KeepBytes && len(c.kept) > 0 {
		c.dropKept(c.kept[0])
	}
}

// forgetAnswers drops the answers that were kept long enough.
func (c *Core) forgetAnswers() {
	for len(c.kept) > 0 && !c.kept[0].expires.After(c.now) {
		c.dropKept(c.kept[0])
	}
}

func (c *Core) dropKept(j *job) {
	for i, other := range c.kept {
		if other == j {
			c.kept = append(c.kept[:i], c.kept[i+1:]...)
			c.keptBytes -= sizeOf(j.answer)
			break
		}
	}
	c.remove(j)
}

func sizeOf(a Answer) int {
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
