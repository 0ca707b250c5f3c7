package dispatcher

import (
	"time"

	"agatevalve/common/task"
)

// timer wakes the core for a job or waiter. Timers aren't removed when their
// cause goes away; each cause checks whether it still applies.
type timer struct {
	at   time.Time
	kind timerKind
	job  *job
	// ticket is set for timerWaiter.
	ticket Ticket
	// unit and attempt are set for timerHedge.
	unit    *unit
	attempt task.Attempt
	// agent is set for timerPoll, and pool for timerPump.
	agent task.Process
	pool  *pool
}

type timerKind uint8

const (
	// timerJob ends a job at its deadline.
	timerJob timerKind = iota
	// timerClose gives up a claimed job of which nothing was sent.
	timerClose
	// timerWaiter answers a caller whose deadline is earlier than the job's.
	timerWaiter
	// timerAnswer drops an answer that was kept long enough.
	timerAnswer
	// timerPoll asks an agent again about tasks that it reported as running.
	timerPoll
	// timerHedge considers a second start beside a slow first one.
	timerHedge
	// timerMembers forgets agents that fell silent.
	timerMembers
	// timerPump looks at the queues again after a refusal.
	timerPump
)

func (t timer) before(other timer) bool { return t.at.Before(other.at) }

func (c *Core) wake(t timer) { c.timers.Push(t) }

func (c *Core) runTimers() {
	for c.timers.Len() > 0 && !c.timers.Top().at.After(c.now) {
		c.fire(c.timers.Pop())
	}
}

func (c *Core) fire(t timer) {
	switch t.kind {
	case timerJob:
		c.jobDue(t.job)
	case timerClose:
		c.closeDue(t.job)
	case timerWaiter:
		c.waiterDue(t.ticket)
	case timerAnswer:
		c.forgetAnswers()
	case timerPoll:
		c.poll(t.agent)
	case timerHedge:
		c.hedge(t)
	case timerMembers:
		c.expireMembers()
	case timerPump:
		c.mark(t.pool)
	}
}
