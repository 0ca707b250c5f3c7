package runner

import (
	"slices"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

func (c *Core) settle(e Settled) {
	reports := make([]task.Report, len(e.Tasks))
	for i, s := range e.Tasks {
		reports[i] = c.settleOne(s)
	}
	c.emit(AnswerSettle{Ticket: e.Ticket, Reports: reports})
}

func (c *Core) settleOne(s dispatcher.AttemptRef) task.Report {
	r := c.find(s.Task)
	switch {
	case r != nil && r.attempt == s.Attempt && r.phase != queued:
		return r.known()
	case r != nil && r.attempt == s.Attempt:
		c.drop(r, task.Withdrawn)
		return r.unstarted(task.Withdrawn)
	case c.mayBeForgotten(s.Deadline):
		return forgotten(s.Task, s.Attempt)
	}
	c.refusals.add(c.now, attempt{s.Task, s.Attempt}, s.Deadline)
	if r != nil {
		return unstarted(s.Task, s.Attempt, task.Doubled)
	}
	return unstarted(s.Task, s.Attempt, task.Withdrawn)
}

func (c *Core) fence(e Fenced) {
	f := e.Fence
	if c.mayBeForgotten(f.Deadline) {
		c.emit(Reject{Ticket: e.Ticket, Err: fault.New(fault.Expired, "treat the job as one that may have run",
			"the deadline of job %s has passed, and its tasks may be forgotten", f.Job)})
		return
	}
	if !c.raiseFence(f) {
		c.emit(Reject{Ticket: e.Ticket, Err: fault.New(fault.Unavailable, "ask again later, or raise the setting remember",
			"the agent can't remember more than %d fences", c.options.Remember)})
		return
	}
	j := c.jobs[f.Job]
	c.dropBelow(j)
	c.emit(AnswerFence{Ticket: e.Ticket, Reports: startedOf(j)})
}

// raiseFence reports false when the fence can't be remembered.
func (c *Core) raiseFence(f dispatcher.Fence) bool {
	j := c.jobs[f.Job]
	if j == nil || j.generation == 0 {
		if c.fences >= c.options.Remember {
			return false
		}
		j = c.jobOf(f.Job)
		c.fences++
		j.fencedUntil = f.Deadline.Add(ClockAllowance)
		c.fenceExpiries.push(j.fencedUntil, f.Job)
	}
	j.generation = max(j.generation, f.Generation)
	if until := f.Deadline.Add(ClockAllowance); until.After(j.fencedUntil) {
		j.fencedUntil = until
	}
	for _, r := range j.tasks {
		if j.fencedUntil.After(r.until) {
			r.until = j.fencedUntil
		}
	}
	return true
}

// dropBelow refuses the queued tasks of a job that are below its fence.
func (c *Core) dropBelow(j *job) {
	for _, r := range slices.Clone(j.tasks) {
		if r.phase == queued && r.work.start.Generation < j.generation {
			c.drop(r, task.StaleOwner)
		}
	}
}

func startedOf(j *job) []task.Report {
	var reports []task.Report
	for _, r := range j.tasks {
		if r.phase != queued {
			reports = append(reports, r.known())
		}
	}
	return reports
}

func (c *Core) cancel(e Cancelled) {
	r := c.find(e.Task)
	if r == nil || r.attempt != e.Attempt {
		c.refusals.tryAdd(attempt{e.Task, e.Attempt}, c.now.Add(CancelWindow))
		return
	}
	switch r.phase {
	case queued:
		c.drop(r, task.Withdrawn)
	case running:
		c.stop(r, reasonCancelled)
	case ended:
	}
}

func (c *Core) acknowledge(e Acknowledged) {
	r := c.find(e.Task)
	if r == nil || r.phase != ended || r.attempt != e.Attempt || r.work == nil {
		return
	}
	if r.work.start.Generation == 0 {
		c.release(r)
		return
	}
	if r.work.delivered == nil {
		r.work.delivered = c.delivered.PushBack(r)
	}
}
