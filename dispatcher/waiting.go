package dispatcher

import (
	"time"
)

// addWaiter makes a caller or entry wait for a job, with a timer of its own if
// its deadline is earlier than the job's.
func (c *Core) addWaiter(j *job, w *waiter) {
	j.waiters = append(j.waiters, w)
	c.waiters[w.ticket] = w
	if w.deadline.Before(j.submission.Deadline) {
		c.schedule(timer{at: w.deadline.Add(-replyMargin), kind: timerWaiterDeadline, ticket: w.ticket})
	}
}

// cancelWait removes a caller that no longer waits. A keyless job without
// waiters is cancelled; a keyed one goes on, since its caller may submit it
// again.
func (c *Core) cancelWait(ticket Ticket) {
	w := c.waiters[ticket]
	if w == nil {
		return
	}
	j := w.job
	c.removeWaiter(w)
	if len(j.waiters) == 0 && !j.keyed() {
		c.finish(j, errorAnswer(j.knownOutcome(), statusClientClosedRequest, "the caller went away", "send it again", time.Time{}))
	}
}

// handleAnswerRequested answers another entry, or makes it wait for the job to
// end.
func (c *Core) handleAnswerRequested(e AnswerRequested) {
	j := c.jobs[e.Job]
	if j == nil || j.submission.Team != e.Team {
		c.emit(Reply{Ticket: e.Ticket})
		return
	}
	if j.submission.Digest != e.Digest {
		c.emit(Reply{Ticket: e.Ticket, Known: true, Answer: j.digestMismatchAnswer()})
		return
	}
	if j.phase == phaseDone {
		c.emit(Reply{Ticket: e.Ticket, Known: true, Answer: j.answer})
		return
	}
	if j.phase == phaseAsking {
		// Two entries that waited for each other would deadlock.
		c.emit(Reply{Ticket: e.Ticket})
		return
	}
	c.addWaiter(j, &waiter{ticket: e.Ticket, job: j, deadline: e.Deadline, fromEntry: true})
}

// expireWaiter replies to a waiter whose deadline passes before the job ends.
func (c *Core) expireWaiter(ticket Ticket) {
	w := c.waiters[ticket]
	if w == nil {
		return
	}
	c.removeWaiter(w)
	c.emit(Reply{Ticket: ticket, Known: true, Answer: unfinishedAnswer()})
}

// removeWaiter removes a waiter from its job. The job goes on.
func (c *Core) removeWaiter(w *waiter) {
	delete(c.waiters, w.ticket)
	for i, other := range w.job.waiters {
		if other == w {
			w.job.waiters = append(w.job.waiters[:i], w.job.waiters[i+1:]...)
			return
		}
	}
}
