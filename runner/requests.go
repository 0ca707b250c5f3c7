package runner

import (
	"slices"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// settle answers a settle call with one report per attempt.
func (c *Core) settle(e SettleRequested) {
	reports := make([]task.Report, len(e.Attempts))
	for i, s := range e.Attempts {
		reports[i] = c.settleOne(s)
	}
	c.emit(AnswerSettle{Ticket: e.Ticket, Reports: reports})
}

// settleOne returns the report of one attempt. An attempt that hasn't started
// is refused from then on, so that the report stays true.
func (c *Core) settleOne(sent dispatcher.AttemptRef) task.Report {
	r := c.find(sent.Task)
	switch {
	case r != nil && r.attempt == sent.Attempt && r.phase != queued:
		return r.startedReport()
	case r != nil && r.attempt == sent.Attempt:
		c.refuseAccepted(r, task.Withdrawn)
		return r.unstartedReport(task.Withdrawn)
	case c.mayBeForgotten(sent.Deadline):
		return forgottenReport(sent.Task, sent.Attempt)
	}
	c.refusals.add(c.now, attemptID{sent.Task, sent.Attempt}, sent.Deadline)
	if r != nil {
		return unstartedReport(sent.Task, sent.Attempt, task.Doubled)
	}
	return unstartedReport(sent.Task, sent.Attempt, task.Withdrawn)
}

// fence answers a fence call: it refuses all starts below the generation, and
// reports the tasks that have started.
func (c *Core) fence(e FenceRequested) {
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
	c.refuseFenced(j)
	c.emit(AnswerFence{Ticket: e.Ticket, Reports: startedReports(j)})
}

// raiseFence adds a fence to the job, or raises the one that it has. It returns
// false when no more fences can be remembered.
func (c *Core) raiseFence(f dispatcher.Fence) bool {
	j := c.jobs[f.Job]
	if j == nil || j.minGeneration == 0 {
		if c.fences >= c.options.Remember {
			return false
		}
		j = c.ensureJob(f.Job)
		c.fences++
		j.fenceExpires = f.Deadline.Add(ClockAllowance)
		c.fenceExpiries.push(j.fenceExpires, f.Job)
	}
	j.minGeneration = max(j.minGeneration, f.Generation)
	if expires := f.Deadline.Add(ClockAllowance); expires.After(j.fenceExpires) {
		j.fenceExpires = expires
	}
	for _, r := range j.tasks {
		if j.fenceExpires.After(r.expires) {
			r.expires = j.fenceExpires
		}
	}
	return true
}

// refuseFenced refuses the queued tasks of a job that are below its fence.
func (c *Core) refuseFenced(j *job) {
	for _, r := range slices.Clone(j.tasks) {
		if r.phase == queued && r.work.start.Generation < j.minGeneration {
			c.refuseAccepted(r, task.StaleOwner)
		}
	}
}

// startedReports returns the reports of the running and ended tasks of a job.
func startedReports(j *job) []task.Report {
	var reports []task.Report
	for _, r := range j.tasks {
		if r.phase != queued {
			reports = append(reports, r.startedReport())
		}
	}
	return reports
}

// cancel refuses a queued attempt and stops a running one. The cancellation of
// an unknown attempt is remembered for CancelWindow, in case it overtook the
// start.
func (c *Core) cancel(e Cancelled) {
	r := c.find(e.Task)
	if r == nil || r.attempt != e.Attempt {
		c.refusals.tryAdd(attemptID{e.Task, e.Attempt}, c.now.Add(CancelWindow))
		return
	}
	switch r.phase {
	case queued:
		c.refuseAccepted(r, task.Withdrawn)
	case running:
		c.stop(r, reasonCancelled)
	case ended:
	}
}

// acknowledge releases a result, or marks that of a claimed task as evictable.
func (c *Core) acknowledge(e Acknowledged) {
	r := c.find(e.Task)
	if r == nil || r.phase != ended || r.attempt != e.Attempt || r.work == nil {
		return
	}
	if r.work.start.Generation == 0 {
		c.releaseWork(r)
		return
	}
	if r.work.acknowledged == nil {
		r.work.acknowledged = c.acknowledged.PushBack(r)
	}
}
