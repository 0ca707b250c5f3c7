package runner

import (
	"slices"
	"time"

	"agatevalve/common/task"
)

// handleStart accepts or refuses a start. A duplicate of an accepted start is
// answered from its record.
func (c *Core) handleStart(e StartReceived) {
	if r := c.find(e.Start.Task); r != nil {
		c.handleDuplicate(e, r)
		return
	}
	if c.mayBeForgotten(e.Start.Deadline) {
		c.emit(SendReport{To: e.From, Report: forgottenReport(e.Start.Task, e.Start.Attempt)})
		return
	}
	c.evictAcknowledged()
	if refusal := c.refusalOf(e.Start); refusal != 0 {
		c.refuse(e, refusal)
		return
	}
	r := &record{
		id:      e.Start.Task,
		attempt: e.Start.Attempt,
		phase:   queued,
		work:    &work{start: e.Start, recipients: []task.Process{e.From}},
	}
	c.add(r)
	c.queue = append(c.queue, r)
	c.emit(Accept{To: e.From, Task: e.Start.Task, Attempt: e.Start.Attempt})
}

// mayBeForgotten reports whether a task with this deadline may have started and
// been forgotten since. In that case a first start is indistinguishable from a
// delayed duplicate, and nothing proves that the task has not run.
func (c *Core) mayBeForgotten(deadline time.Time) bool {
	return !deadline.Add(ClockAllowance).After(c.latest)
}

// handleDuplicate answers another start of an accepted task with the state of
// the first, without running it again.
func (c *Core) handleDuplicate(e StartReceived, r *record) {
	if e.Start.Attempt != r.attempt {
		c.refuse(e, task.Doubled)
	} else {
		c.emit(Accept{To: e.From, Task: r.id, Attempt: r.attempt})
	}
	if r.work != nil && e.Start.Attempt == r.attempt {
		r.work.addRecipient(e.From)
	}
	if r.phase == ended {
		c.emit(SendReport{To: e.From, Report: r.startedReport()})
	}
}

// refuse refuses a start and remembers its attempt as refused.
func (c *Core) refuse(e StartReceived, refusal task.Refusal) {
	s := e.Start
	c.refusals.add(c.now, attemptID{s.Task, s.Attempt}, s.Deadline)
	c.emit(Refuse{To: e.From, Report: unstartedReport(s.Task, s.Attempt, refusal)})
}

// refuseUnreadable refuses an attempt whose start could not be decoded, unless
// that attempt was accepted before.
func (c *Core) refuseUnreadable(e StartUnreadable) {
	if r := c.find(e.Task); r != nil && r.attempt == e.Attempt {
		return
	}
	c.refusals.add(c.now, attemptID{e.Task, e.Attempt}, c.now.Add(CancelWindow))
	c.emit(Refuse{To: e.From, Report: unstartedReport(e.Task, e.Attempt, task.Malformed)})
}

// refusalOf returns the reason why a start must be refused, or 0 when it can be
// accepted.
func (c *Core) refusalOf(s task.Start) task.Refusal {
	switch {
	case c.refusals.has(attemptID{s.Task, s.Attempt}):
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

// isStale reports whether the start is below the fence of its job.
func (c *Core) isStale(s task.Start) bool {
	j := c.jobs[s.Task.Job]
	return j != nil && s.Generation < j.minGeneration
}

// isFull reports whether there may be no room to remember the start or the
// largest response to it.
func (c *Core) isFull(s task.Start) bool {
	return c.tasks >= c.options.Remember || !c.fitsAnotherResult() ||
		!s.Deadline.After(c.refusals.watermark)
}

// fitsAnotherResult reports whether the largest responses to all accepted tasks
// and to one more would fit into ResultBytes.
func (c *Core) fitsAnotherResult() bool {
	unfinished := len(c.running) + len(c.queue) + 1
	return c.resultBytes+unfinished*c.options.ResponseBytes <= c.options.ResultBytes
}

// startQueued starts queued tasks while there are free slots.
func (c *Core) startQueued() {
	for len(c.queue) > 0 && len(c.running) < c.options.Slots {
		r := c.queue[0]
		c.queue = slices.Delete(c.queue, 0, 1)
		r.phase = running
		c.running = append(c.running, r)
		c.emit(Run{Start: r.work.start})
	}
}

// stopExpired stops the minion calls of running tasks whose deadline has
// passed.
func (c *Core) stopExpired() {
	for _, r := range c.running {
		if !c.now.Before(r.work.start.Deadline) {
			c.stop(r, reasonDeadline)
		}
	}
}

// refuseExpired refuses the queued tasks whose deadline has passed.
func (c *Core) refuseExpired() {
	for _, r := range slices.Clone(c.queue) {
		if !c.now.Before(r.work.start.Deadline) {
			c.refuseAccepted(r, task.Late)
		}
	}
}

// stop issues one Stop command for a running task. The slot is free only when
// the minion call has ended.
func (c *Core) stop(r *record, reason string) {
	if r.work.stopReason != "" {
		return
	}
	r.work.stopReason = reason
	c.emit(Stop{Task: r.id, Attempt: r.attempt})
}

// refuseAccepted refuses an accepted task that the minion did not receive, and
// removes its record.
func (c *Core) refuseAccepted(r *record, refusal task.Refusal) {
	c.queue = without(c.queue, r)
	c.running = without(c.running, r)
	c.remove(r)
	c.refusals.add(c.now, attemptID{r.id, r.attempt}, r.work.start.Deadline)
	for _, entry := range r.work.recipients {
		c.emit(Refuse{To: entry, Report: r.unstartedReport(refusal)})
	}
}

// minionAnswered ends a task with the minion's response, or as Broken when the
// response is too large to keep.
func (c *Core) minionAnswered(e MinionAnswered) {
	r := c.runningRecord(e.Task, e.Attempt)
	if r == nil {
		return
	}
	size := sizeOf(e.Response)
	if size > c.options.ResponseBytes {
		c.end(r, task.Broken, reasonTooLarge)
		return
	}
	r.work.size = size
	r.work.response = e.Response
	c.resultBytes += size
	c.end(r, task.Finished, "")
}

// minionFailed ends a task as Broken. The reason of an earlier Stop command
// takes precedence over that of the failed call.
func (c *Core) minionFailed(e MinionFailed) {
	r := c.runningRecord(e.Task, e.Attempt)
	if r == nil {
		return
	}
	reason := e.Reason
	if r.work.stopReason != "" {
		reason = r.work.stopReason
	}
	c.end(r, task.Broken, reason)
}

// minionUnreached refuses a task of which nothing reached the minion.
func (c *Core) minionUnreached(e MinionUnreached) {
	r := c.runningRecord(e.Task, e.Attempt)
	switch {
	case r == nil:
	case r.work.stopReason == reasonCancelled:
		c.refuseAccepted(r, task.Withdrawn)
	case !c.now.Before(r.work.start.Deadline):
		c.refuseAccepted(r, task.Late)
	default:
		c.refuseAccepted(r, task.Unreachable)
	}
}

// runningRecord returns the record of a running attempt, or nil.
func (c *Core) runningRecord(id task.ID, attempt task.Attempt) *record {
	r := c.find(id)
	if r == nil || r.phase != running || r.attempt != attempt {
		return nil
	}
	return r
}

// end frees the slot, retains the report, and sends it to the connected
// recipients. Others get it when they connect.
func (c *Core) end(r *record, state task.State, reason string) {
	c.running = without(c.running, r)
	r.phase = ended
	r.state = state
	r.reason = reason
	r.work.start.Request = task.Request{}
	r.expires = r.work.start.Deadline.Add(ClockAllowance)
	if j := c.jobs[r.id.Job]; j.fenceExpires.After(r.expires) {
		r.expires = j.fenceExpires
	}
	c.taskExpiries.push(r.expires, r)
	c.retained[r.id] = r
	for _, entry := range r.work.recipients {
		if c.links[entry] {
			c.emit(SendReport{To: entry, Report: r.startedReport()})
		}
	}
}

func without(records []*record, r *record) []*record {
	return slices.DeleteFunc(records, func(other *record) bool { return other == r })
}
