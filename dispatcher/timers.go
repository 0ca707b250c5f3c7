package dispatcher

import (
	"time"

	"agatevalve/common/task"
)

// timer is a time at which the core acts. Timers aren't removed when they
// become obsolete; the handler of each checks whether it still applies.
type timer struct {
	at   time.Time
	kind timerKind
	job  *job
	// ticket is set for timerWaiterDeadline.
	ticket Ticket
	// task and attempt are set for timerHedge.
	task    *jobTask
	attempt task.Attempt
	// agent is set for timerPoll, pool for timerDispatch, and job for
	// timerJobDeadline and timerUnsent.
	agent task.Process
	pool  *pool
}

// timerKind selects the handler of a timer.
type timerKind uint8

const (
	// timerJobDeadline ends a job at its deadline.
	timerJobDeadline timerKind = iota
	// timerUnsent ends a claimed job of which nothing was sent; see
	// confirmMargin.
	timerUnsent
	// timerWaiterDeadline replies to a waiter whose deadline is earlier than the
	// job's.
	timerWaiterDeadline
	// timerAnswerExpiry drops the kept answers that have expired.
	timerAnswerExpiry
	// timerPoll asks an agent again for the state of its open attempts.
	timerPoll
	// timerHedge hedges an attempt that has become slow.
	timerHedge
	// timerMemberExpiry removes the agents whose membership has expired.
	timerMemberExpiry
	// timerDispatch dispatches a pool that had no free minion.
	timerDispatch
)

func (t timer) before(other timer) bool { return t.at.Before(other.at) }

func (c *Core) schedule(t timer) { c.timers.Push(t) }

// runTimers fires all timers that are due.
func (c *Core) runTimers() {
	for c.timers.Len() > 0 && !c.timers.Top().at.After(c.now) {
		c.fire(c.timers.Pop())
	}
}

func (c *Core) fire(t timer) {
	switch t.kind {
	case timerJobDeadline:
		c.expireJob(t.job)
	case timerUnsent:
		c.expireUnsent(t.job)
	case timerWaiterDeadline:
		c.expireWaiter(t.ticket)
	case timerAnswerExpiry:
		c.expireAnswers()
	case timerPoll:
		c.poll(t.agent)
	case timerHedge:
		c.hedge(t)
	case timerMemberExpiry:
		c.expireMembers()
	case timerDispatch:
		c.markReady(t.pool)
	}
}
