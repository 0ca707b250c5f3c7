package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

// pollInterval is the interval at which an agent is asked for the state of
// tasks that it runs and whose results can't arrive over the link on which they
// were started.
const pollInterval = 250 * time.Millisecond

// lookup returns the task and open attempt that a report is about, or nil for
// each that isn't found.
func (c *Core) lookup(agent task.Process, id task.ID, number task.Attempt) (*jobTask, *attempt) {
	j := c.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil, nil
	}
	jt := &j.tasks[id.Index]
	return jt, jt.findAttempt(agent, number)
}

// handleAccepted records that an agent confirmed an attempt.
func (c *Core) handleAccepted(e Accepted) {
	_, a := c.lookup(e.Agent, e.Task, e.Attempt)
	if a == nil || a.accepted {
		return
	}
	a.accepted = true
	c.chooser.RecordAccepted(e.Agent)
}

// handleRefused handles an agent's proof that an attempt never ran.
func (c *Core) handleRefused(agent task.Process, r task.Report) {
	jt, a := c.lookup(agent, r.Task, r.Attempt)
	if a == nil {
		c.counters.Strays++
		return
	}
	c.counters.Refusals++
	c.attemptNotRun(jt, a, r.Refusal)
}

// attemptNotRun closes an attempt that never ran. Depending on the refusal, it
// enqueues the task again or ends the job.
func (c *Core) attemptNotRun(jt *jobTask, a *attempt, refusal task.Refusal) {
	c.closeAttempt(jt, a, balancer.Outcome{Accepted: a.accepted, Refused: true, Failed: refusal == task.Unreachable})
	j := jt.job
	switch {
	case refusal == task.Malformed:
		c.failJob(jt, "an agent can't read the task; it may be of another version")
		return
	case refusal == task.StaleOwner && j.claimed():
		c.recheckOwner(j)
		return
	case refusal == task.Doubled:
		// The agent started the task under an attempt that this entry doesn't
		// know.
		jt.mayHaveRun = true
		c.failJob(jt, "an agent had started the task before")
		return
	case len(jt.openAttempts) > 0:
		return
	}
	c.enqueue(jt)
	c.enqueueJob(j)
}

// handleEnded handles a final report that arrived over a link.
func (c *Core) handleEnded(agent task.Process, r task.Report) {
	jt, a := c.lookup(agent, r.Task, r.Attempt)
	if a == nil {
		c.counters.Strays++
		c.acknowledgeStray(agent, r)
		return
	}
	c.applyReport(jt, a, r)
}

// acknowledgeStray acknowledges a report that no job here waits for, so that
// the agent doesn't keep it.
func (c *Core) acknowledgeStray(agent task.Process, r task.Report) {
	pr, j := c.peers[agent], c.jobs[r.Task.Job]
	if pr == nil || j != nil && j.phase != phaseDone {
		return
	}
	c.emit(Acknowledge{Agent: pr.Peer, Ref: AttemptRef{Task: r.Task, Attempt: r.Attempt}})
}

// applyReport updates a task with an agent's report on its open attempt.
func (c *Core) applyReport(jt *jobTask, a *attempt, r task.Report) {
	switch r.State {
	case task.Finished, task.Broken, task.Forgotten:
		c.acknowledgeOrDefer(jt, a)
	}
	switch r.State {
	case task.Unstarted:
		c.counters.Refusals++
		c.attemptNotRun(jt, a, r.Refusal)
	case task.Running:
		jt.ran = true
		a.needsSettling = true
		a.accepted = true
		c.schedulePoll(a.agent)
	case task.Finished:
		c.handleResponse(jt, a, r.Response)
	case task.Broken:
		jt.ran = true
		c.attemptFailed(jt, a, balancer.Outcome{Accepted: a.accepted, Failed: true, Mean: c.meanServiceTime(jt)}, r.Reason)
	case task.Forgotten:
		jt.mayHaveRun = true
		c.attemptFailed(jt, a, balancer.Outcome{Accepted: a.accepted}, "the agent no longer has the result")
	}
}

// handleResponse handles a complete response of a minion. A server error (5xx)
// counts as a failed attempt, except for a single task that isn't idempotent:
// its response is passed on.
func (c *Core) handleResponse(jt *jobTask, a *attempt, response task.Response) {
	jt.ran = true
	j := jt.job
	serverError := response.Status >= http.StatusInternalServerError
	elapsed := c.now.Sub(a.sentAt)
	outcome := balancer.Outcome{
		Accepted: a.accepted, Answered: true, Failed: serverError,
		Elapsed: elapsed, Mean: c.meanServiceTime(jt),
	}
	if serverError && (j.submission.Plan.Route.Idempotent || !j.singleTask()) {
		c.attemptFailed(jt, a, outcome, "a minion answered with status "+http.StatusText(response.Status))
		return
	}
	if len(jt.openAttempts) > 1 {
		c.budget(j).recordHedge(a.hedge)
	}
	if !serverError {
		c.serviceTimesOf(j.submission.Plan.Route.Name).observe(elapsed)
		c.replenish(j)
	}
	c.closeAttempt(jt, a, outcome)
	c.completeTask(jt, response)
}

// completeTask stores a task's response, cancels its other attempts, and
// completes the job if it was the last task. The job fails if its responses
// exceed Options.AnswerBytes.
func (c *Core) completeTask(jt *jobTask, response task.Response) {
	j := jt.job
	c.counters.Answered++
	c.dequeue(jt)
	for len(jt.openAttempts) > 0 {
		c.counters.Unused++
		c.cancelAttempt(jt, jt.openAttempts[0])
	}
	jt.done = true
	jt.response = response
	j.remaining--
	j.responseBytes += answerSize(Answer{Responses: []task.Response{response}})
	if c.options.AnswerBytes > 0 && j.responseBytes > c.options.AnswerBytes {
		c.finish(j, errorAnswer(task.Failed, http.StatusBadGateway,
			"the answer is larger than this entry allows", "send smaller jobs, or ask the operator to raise answer-bytes", time.Time{}))
		return
	}
	if j.remaining == 0 && j.phase == phaseRunning {
		c.completeJob(j)
	}
}

// completeJob finishes a job that has all responses.
func (c *Core) completeJob(j *job) {
	answer := Answer{Outcome: task.Complete, Status: http.StatusOK}
	answer.Responses = make([]task.Response, len(j.tasks))
	for i := range j.tasks {
		answer.Responses[i] = j.tasks[i].response
	}
	c.finish(j, answer)
}

// attemptFailed closes an attempt without a usable response. An idempotent task
// is sent again within the retry budget; otherwise the job fails.
func (c *Core) attemptFailed(jt *jobTask, a *attempt, o balancer.Outcome, reason string) {
	c.closeAttempt(jt, a, o)
	jt.triedAgents = append(jt.triedAgents, a.agent)
	if len(jt.openAttempts) > 0 {
		return
	}
	if jt.job.submission.Plan.Route.Idempotent && c.takeRetry(jt) {
		jt.retries++
		c.enqueue(jt)
		c.enqueueJob(jt.job)
		return
	}
	c.failJob(jt, reason)
}

// failJob ends the job of a task that can't succeed any more.
func (c *Core) failJob(jt *jobTask, reason string) {
	outcome := task.Failed
	remedy := "look at the minion's logs for the cause"
	if jt.mayHaveRun || jt.job.knownOutcome() == task.MayHaveRun && !jt.ran {
		outcome = task.MayHaveRun
		remedy = "look at the target for its effects before sending it again"
	}
	c.finish(jt.job, errorAnswer(outcome, http.StatusBadGateway, reason, remedy, time.Time{}))
}

// acknowledgeOrDefer acknowledges a final report. That of a claimed task is
// acknowledged only when the job ends, since another entry may still take the
// job over and need it.
func (c *Core) acknowledgeOrDefer(jt *jobTask, a *attempt) {
	if jt.job.claimed() {
		jt.finalAttempt = a
		return
	}
	c.acknowledge(jt, a)
}

// acknowledgeAll acknowledges the final reports of a claimed job that has
// ended.
func (c *Core) acknowledgeAll(j *job) {
	for i := range j.tasks {
		if jt := &j.tasks[i]; jt.finalAttempt != nil {
			c.acknowledge(jt, jt.finalAttempt)
		}
	}
}

// acknowledge acknowledges the report of one attempt.
func (c *Core) acknowledge(jt *jobTask, a *attempt) {
	if pr := c.peers[a.agent]; pr != nil {
		c.emit(Acknowledge{Agent: pr.Peer, Ref: attemptRef(jt, a)})
	}
}

// handleLinkLost settles the open attempts of an agent whose link broke, since
// their frames may be lost, and retries idempotent ones elsewhere.
func (c *Core) handleLinkLost(agent task.Process) {
	pr := c.peers[agent]
	if pr == nil || len(pr.openAttempts) == 0 {
		return
	}
	for a := range pr.openAttempts {
		a.needsSettling = true
	}
	c.settleAttempts(pr)
	for _, ref := range pr.attemptsToSettle() {
		jt, a := c.lookup(agent, ref.Task, ref.Attempt)
		c.retryElsewhere(jt, a)
	}
}

// retryElsewhere sends an idempotent task to another agent while its own can't
// be reached, since a dead agent can't be settled before the deadline.
func (c *Core) retryElsewhere(jt *jobTask, a *attempt) {
	j := jt.job
	if j.phase != phaseRunning || !j.submission.Plan.Route.Idempotent || jt.waiting || len(jt.openAttempts) > 1 {
		return
	}
	jt.triedAgents = append(jt.triedAgents, a.agent)
	if !c.takeRetry(jt) {
		return
	}
	jt.retries++
	c.enqueue(jt)
	c.enqueueJob(j)
}

// settleAttempts asks an agent for the state of the attempts that need
// settling. It must not ask about others: the agent never starts an attempt
// whose Settle arrives before its start.
func (c *Core) settleAttempts(pr *peer) {
	command := Settle{Agent: pr.Peer, Attempts: pr.attemptsToSettle()}
	if len(command.Attempts) > 0 {
		c.emit(command)
	}
}

// handleSettled applies the reports of settled attempts.
func (c *Core) handleSettled(e Settled) {
	for _, r := range e.Reports {
		jt, a := c.lookup(e.Agent, r.Task, r.Attempt)
		if a == nil {
			c.counters.Strays++
			continue
		}
		c.applyReport(jt, a, r)
	}
}

// handleSettleFailed fails the attempts whose state can't be found out; they
// may have run.
func (c *Core) handleSettleFailed(e SettleFailed) {
	for _, ref := range e.Attempts {
		jt, a := c.lookup(e.Agent, ref.Task, ref.Attempt)
		if a == nil {
			continue
		}
		jt.mayHaveRun = true
		c.attemptFailed(jt, a, balancer.Outcome{Accepted: a.accepted, Failed: true, Mean: c.meanServiceTime(jt)},
			"the agent that had the task was lost")
	}
	if e.Gone {
		c.removeMember(e.Agent)
	}
}

// schedulePoll schedules one poll of an agent's open attempts.
func (c *Core) schedulePoll(agent task.Process) {
	pr := c.peers[agent]
	if pr == nil || pr.pollScheduled {
		return
	}
	pr.pollScheduled = true
	c.schedule(timer{at: c.now.Add(pollInterval), kind: timerPoll, agent: agent})
}

// poll asks an agent again for the state of its open attempts.
func (c *Core) poll(agent task.Process) {
	pr := c.peers[agent]
	if pr == nil {
		return
	}
	pr.pollScheduled = false
	c.settleAttempts(pr)
}
