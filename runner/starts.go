package runner

import (
	"slices"
	"time"

	"agatevalve/common/task"
)

func (c *Core) arrive(e Arrived) {
	if r := c.find(e.Start.Task); r != nil {
		c.double(e, r)
		return
	}
	if c.mayBeForgotten(e.Start.Deadline) {
		c.emit(Send{To: e.From, Report: forgotten(e.Start.Task, e.Start.Attempt)})
		return
	}
	c.makeRoom()
	if refusal := c.refusalOf(e.Start); refusal != 0 {
		c.refuse(e, refusal)
		return
	}
	r := &record{
		id:      e.Start.Task,
		attempt: e.Start.Attempt,
		phase:   queued,
		work:    &work{start: e.Start, askers: []task.Process{e.From}},
	}
	c.add(r)
	c.queue = append(c.queue, r)
	c.emit(Accept{To: e.From, Task: e.Start.Task, Attempt: e.Start.Attempt})
}

// mayBeForgotten reports whether a task with this deadline may have started and
// been forgotten since. Then even a start that comes for the first time can't be
// told from a late copy, and nothing proves that the task hasn't run.
func (c *Core) mayBeForgotten(deadline time.Time) bool {
	return !deadline.Add(ClockAllowance).After(c.latest)
}

// double answers a start of a task that was accepted before with what is known
// of the first start.
func (c *Core) double(e Arrived, r *record) {
	if e.Start.Attempt != r.attempt {
		c.refuse(e, task.Doubled)
	} else {
		c.emit(Accept{To: e.From, Task: r.id, Attempt: r.attempt})
	}
	if r.work != nil && e.Start.Attempt == r.attempt {
		r.work.addAsker(e.From)
	}
	if r.phase == ended {
		c.emit(Send{To: e.From, Report: r.known()})
	}
}

func (c *Core) refuse(e Arrived, refusal task.Refusal) {
	s := e.Start
	c.refusals.add(c.now, attempt{s.Task, s.Attempt}, s.Deadline)
	c.emit(Refuse{To: e.From, Report: unstarted(s.Task, s.Attempt, refusal)})
}

// refuseUnreadable refuses an attempt that was not accepted before.
func (c *Core) refuseUnreadable(e Unreadable) {
	if r := c.find(e.Task); r != nil && r.attempt == e.Attempt {
		return
	}
	c.refusals.add(c.now, attempt{e.Task, e.Attempt}, c.now.Add(CancelWindow))
	c.emit(Refuse{To: e.From, Report: unstarted(e.Task, e.Attempt, task.Malformed)})
}

// refusalOf returns why a start can't be accepted, or 0.
func (c *Core) refusalOf(s task.Start) task.Refusal {
	switch {
	case c.refusals.has(attempt{s.Task, s.Attempt}):
		return task.Withdrawn
	case c.leaving:
		return task.Leaving
	case !c.now.Before(s.Deadline):
		return task.Late
	case c.isStale(s):
		return task.StaleOwner
	case c.isFull(s):
		return task.Full
	case len(c.running)+len(c.queue) >= c.options.Slots+c.options.QueueLength:
		return task.Busy
	}
	return 0
}

func (c *Core) isStale(s task.Start) bool {
	j := c.jobs[s.Task.Job]
	return j != nil && s.Generation < j.generation
}

// isFull reports whether the start, or the largest response to it, might not
// be remembered.
func (c *Core) isFull(s task.Start) bool {
	return c.tasks >= c.options.Remember || !c.fitsAnother() ||
		!s.Deadline.After(c.refusals.horizon)
}

// fitsAnother reports whether the largest responses to all accepted tasks and
// to one more can be kept.
func (c *Core) fitsAnother() bool {
	open := len(c.running) + len(c.queue) + 1
	return c.resultBytes+open*c.options.ResponseBytes <= c.options.ResultBytes
}

// begin starts queued tasks while there are free slots.
func (c *Core) begin() {
	for len(c.queue) > 0 && len(c.running) < c.options.Slots {
		r := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		r.phase = running
		c.running = append(c.running, r)
		c.emit(Run{Start: r.work.start})
	}
}

// stopLate ends the minion calls whose deadline has passed.
func (c *Core) stopLate() {
	for _, r := range c.running {
		if !c.now.Before(r.work.start.Deadline) {
			c.stop(r, reasonDeadline)
		}
	}
}

// dropLate refuses the queued tasks whose deadline has passed.
func (c *Core) dropLate() {
	for _, r := range slices.Clone(c.queue) {
		if !c.now.Before(r.work.start.Deadline) {
			c.drop(r, task.Late)
		}
	}
}

func (c *Core) stop(r *record, reason string) {
	if r.work.stopped != "" {
		return
	}
	r.work.stopped = reason
	c.emit(Stop{Task: r.id, Attempt: r.attempt})
}

// drop takes back the acceptance of a task that the minion didn't get.
func (c *Core) drop(r *record, refusal task.Refusal) {
	c.queue = without(c.queue, r)
	c.running = without(c.running, r)
	c.remove(r)
	c.refusals.add(c.now, attempt{r.id, r.attempt}, r.work.start.Deadline)
	for _, entry := range r.work.askers {
		c.emit(Refuse{To: entry, Report: r.unstarted(refusal)})
	}
}

func (c *Core) minionAnswered(e MinionAnswered) {
	r := c.runningRecord(e.Task, e.Attempt)
	if r == nil {
		return
	}
	cost := costOf(e.Response)
	if cost > c.options.ResponseBytes {
		c.end(r, task.Broken, reasonTooLarge)
		return
	}
	r.work.cost = cost
	r.work.response = e.Response
	c.resultBytes += cost
	c.end(r, task.Finished, "")
}

func (c *Core) minionFailed(e MinionFailed) {
	r := c.runningRecord(e.Task, e.Attempt)
	if r == nil {
		return
	}
	reason := e.Reason
	if r.work.stopped != "" {
		reason = r.work.stopped
	}
	c.end(r, task.Broken, reason)
}

func (c *Core) minionUnreached(e MinionUnreached) {
	r := c.runningRecord(e.Task, e.Attempt)
	switch {
	case r == nil:
	case r.work.stopped == reasonCancelled:
		c.drop(r, task.Withdrawn)
	case !c.now.Before(r.work.start.Deadline):
		c.drop(r, task.Late)
	default:
		c.drop(r, task.Unreachable)
	}
}

func (c *Core) runningRecord(id task.ID, attempt task.Attempt) *record {
	r := c.find(id)
	if r == nil || r.phase != running || r.attempt != attempt {
		return nil
	}
	return r
}

// end frees the slot and sends the final report.
func (c *Core) end(r *record, state task.State, reason string) {
	c.running = without(c.running, r)
	r.phase = ended
	r.state = state
	r.reason = reason
	r.work.start.Request = task.Request{}
	r.until = r.work.start.Deadline.Add(ClockAllowance)
	if j := c.jobs[r.id.Job]; j.fencedUntil.After(r.until) {
		r.until = j.fencedUntil
	}
	c.expiries.push(r.until, r)
	c.unacked[r.id] = r
	for _, entry := range r.work.askers {
		if c.links[entry] {
			c.emit(Send{To: entry, Report: r.known()})
		}
	}
}

func without(records []*record, r *record) []*record {
	return slices.DeleteFunc(records, func(other *record) bool { return other == r })
}
