package dispatcher

import (
	"time"
)

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
	j := w.job
	c.dropWaiter(w)
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
	c.dropWaiter(w)
	c.emit(Reply{Ticket: ticket, Known: true, Answer: stillOpen()})
}

// dropWaiter removes a caller from its job, whatever becomes of the job.
func (c *Core) dropWaiter(w *waiter) {
	delete(c.waiters, w.ticket)
	for i, other := range w.job.waiters {
		if other == w {
			w.job.waiters = append(w.job.waiters[:i], w.job.waiters[i+1:]...)
			return
		}
	}
}
