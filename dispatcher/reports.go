package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

// pollPause is how often an agent is asked about tasks that it runs and whose
// results can't come over the link that started them.
const pollPause = 250 * time.Millisecond

// lookup returns the open attempt that a report speaks of, or nil.
func (c *Core) lookup(agent task.Process, id task.ID, attempt task.Attempt) (*unit, *send) {
	j := c.jobs[id.Job]
	if j == nil || id.Index < 0 || id.Index >= len(j.units) {
		return nil, nil
	}
	u := &j.units[id.Index]
	return u, u.find(agent, attempt)
}

func (c *Core) accepted(e Accepted) {
	_, s := c.lookup(e.Agent, e.Task, e.Attempt)
	if s == nil || s.accepted {
		return
	}
	s.accepted = true
	c.chooser.RecordAccepted(e.Agent)
}

// refused takes in the proof that an attempt never ran.
func (c *Core) refused(agent task.Process, r task.Report) {
	u, s := c.lookup(agent, r.Task, r.Attempt)
	if s == nil {
		c.counters.Strays++
		return
	}
	c.counters.Refusals++
	c.unstarted(u, s, r.Refusal)
}

func (c *Core) unstarted(u *unit, s *send, why task.Refusal) {
	c.closeSend(u, s, balancer.Outcome{Accepted: s.accepted, Refused: true, Failed: why == task.Unreachable})
	j := u.job
	switch {
	case why == task.Malformed:
		c.giveUp(u, "an agent can't read the task; it may be of another version")
		return
	case why == task.StaleOwner && j.claimed():
		c.ownershipLost(j)
		return
	case why == task.Doubled:
		// The agent started the task under an attempt that isn't known here.
		u.uncertain = true
		c.giveUp(u, "an agent had started the task before")
		return
	case len(u.sends) > 0:
		return
	}
	c.enqueue(u)
	c.queueJob(j)
}

// ended takes in a final report that came over a link.
func (c *Core) ended(agent task.Process, r task.Report) {
	u, s := c.lookup(agent, r.Task, r.Attempt)
	if s == nil {
		c.counters.Strays++
		c.dismiss(agent, r)
		return
	}
	c.report(u, s, r)
}

// dismiss acknowledges a report that nobody waits for here, so that the agent
// doesn't keep it.
func (c *Core) dismiss(agent task.Process, r task.Report) {
	pr, j := c.peers[agent], c.jobs[r.Task.Job]
	if pr == nil || j != nil && j.phase != phaseDone {
		return
	}
	c.emit(Acknowledge{Agent: pr.Peer, Sent: Sent{Task: r.Task, Attempt: r.Attempt}})
}

// report takes in an agent's word on an open attempt.
func (c *Core) report(u *unit, s *send, r task.Report) {
	switch r.State {
	case task.Finished, task.Broken, task.Forgotten:
		c.received(u, s)
	}
	switch r.State {
	case task.Unstarted:
		c.counters.Refusals++
		c.unstarted(u, s, r.Refusal)
	case task.Running:
		u.ran = true
		s.unsure = true
		s.accepted = true
		c.pollLater(s.agent)
	case task.Finished:
		c.answered(u, s, r.Response)
	case task.Broken:
		u.ran = true
		c.failed(u, s, balancer.Outcome{Accepted: s.accepted, Failed: true, Mean: c.meanOf(u)}, r.Reason)
	case task.Forgotten:
		u.uncertain = true
		c.failed(u, s, balancer.Outcome{Accepted: s.accepted}, "the agent no longer has the result")
	}
}

// answered takes in a whole response of a minion.
func (c *Core) answered(u *unit, s *send, response task.Response) {
	u.ran = true
	j := u.job
	bad := response.Status >= http.StatusInternalServerError
	elapsed := c.now.Sub(s.at)
	outcome := balancer.Outcome{
		Accepted: s.accepted, Answered: true, Failed: bad,
		Elapsed: elapsed, Mean: c.meanOf(u),
	}
	if bad && (j.submission.Plan.Route.Idempotent || !j.single()) {
		c.failed(u, s, outcome, "a minion answered with status "+http.StatusText(response.Status))
		return
	}
	if len(u.sends) > 1 {
		c.budget(j).judge(s.hedged)
	}
	if !bad {
		c.times(j.submission.Plan.Route.Name).observe(elapsed)
		c.earn(j)
	}
	c.closeSend(u, s, outcome)
	c.done(u, response)
}

// done stores a response and ends the job when it was the last.
func (c *Core) done(u *unit, response task.Response) {
	j := u.job
	c.counters.Answered++
	c.unwait(u)
	for len(u.sends) > 0 {
		c.counters.Unused++
		c.cancel(u, u.sends[0])
	}
	u.done = true
	u.response = response
	j.left--
	j.bytes += sizeOf(Answer{Responses: []task.Response{response}})
	if c.options.AnswerBytes > 0 && j.bytes > c.options.AnswerBytes {
		c.finish(j, refuse(task.Failed, http.StatusBadGateway,
			"the answer is larger than this entry allows", "send smaller jobs, or ask the operator to raise answer-bytes", time.Time{}))
		return
	}
	if j.left == 0 && j.phase == phaseRunning {
		c.complete(j)
	}
}

func (c *Core) complete(j *job) {
	answer := Answer{Outcome: task.Complete, Status: http.StatusOK}
	answer.Responses = make([]task.Response, len(j.units))
	for i := range j.units {
		answer.Responses[i] = j.units[i].response
	}
	c.finish(j, answer)
}

// failed ends an attempt without a usable response. Idempotent tasks are sent
// again within the retry budget; any other failure ends the job.
func (c *Core) failed(u *unit, s *send, o balancer.Outcome, reason string) {
	c.closeSend(u, s, o)
	u.tried = append(u.tried, s.agent)
	if len(u.sends) > 0 {
		return
	}
	if u.job.submission.Plan.Route.Idempotent && c.mayRetry(u) {
		u.retries++
		c.enqueue(u)
		c.queueJob(u.job)
		return
	}
	c.giveUp(u, reason)
}

// giveUp ends the job of a unit that can't succeed any more.
func (c *Core) giveUp(u *unit, reason string) {
	outcome := task.Failed
	remedy := "look at the minion's logs for the cause"
	if u.uncertain || u.job.verdict() == task.MayHaveRun && !u.ran {
		outcome = task.MayHaveRun
		remedy = "look at the target for its effects before sending it again"
	}
	c.finish(u.job, refuse(outcome, http.StatusBadGateway, reason, remedy, time.Time{}))
}

// received acknowledges a final report. That of a claimed task waits for the
// end of the job, since another entry may still take the job over.
func (c *Core) received(u *unit, s *send) {
	if u.job.claimed() {
		u.ended = s
		return
	}
	c.acknowledge(u, s)
}

// acknowledgeAll acknowledges the reports of a claimed job that has ended.
func (c *Core) acknowledgeAll(j *job) {
	for i := range j.units {
		if u := &j.units[i]; u.ended != nil {
			c.acknowledge(u, u.ended)
		}
	}
}

func (c *Core) acknowledge(u *unit, s *send) {
	if pr := c.peers[s.agent]; pr != nil {
		c.emit(Acknowledge{Agent: pr.Peer, Sent: sentOf(u, s)})
	}
}

// linkLost asks the agent about every attempt whose frames may be lost.
func (c *Core) linkLost(agent task.Process) {
	pr := c.peers[agent]
	if pr == nil || len(pr.open) == 0 {
		return
	}
	for s := range pr.open {
		s.unsure = true
	}
	c.settle(pr)
	for _, sent := range pr.unsure() {
		u, s := c.lookup(agent, sent.Task, sent.Attempt)
		c.startElsewhere(u, s)
	}
}

// startElsewhere starts an idempotent task once more when its agent is out of
// reach, since a dead agent can't be asked before the deadline.
func (c *Core) startElsewhere(u *unit, s *send) {
	j := u.job
	if j.phase != phaseRunning || !j.submission.Plan.Route.Idempotent || u.waiting || len(u.sends) > 1 {
		return
	}
	u.tried = append(u.tried, s.agent)
	if !c.mayRetry(u) {
		return
	}
	u.retries++
	c.enqueue(u)
	c.queueJob(j)
}

// settle asks about the unsure attempts of an agent. Others must not be asked
// about: a question that overtakes its start withdraws it.
func (c *Core) settle(pr *peer) {
	ask := Settle{Agent: pr.Peer, Tasks: pr.unsure()}
	if len(ask.Tasks) > 0 {
		c.emit(ask)
	}
}

func (c *Core) settled(e Settled) {
	for _, r := range e.Reports {
		u, s := c.lookup(e.Agent, r.Task, r.Attempt)
		if s == nil {
			c.counters.Strays++
			continue
		}
		c.report(u, s, r)
	}
}

// settleFailed gives up on attempts that nobody can speak for.
func (c *Core) settleFailed(e SettleFailed) {
	for _, t := range e.Tasks {
		u, s := c.lookup(e.Agent, t.Task, t.Attempt)
		if s == nil {
			continue
		}
		u.uncertain = true
		c.failed(u, s, balancer.Outcome{Accepted: s.accepted, Failed: true, Mean: c.meanOf(u)},
			"the agent that had the task was lost")
	}
	if e.Gone {
		c.forget(e.Agent)
	}
}

// pollLater plans one question about the open attempts of an agent.
func (c *Core) pollLater(agent task.Process) {
	pr := c.peers[agent]
	if pr == nil || pr.polling {
		return
	}
	pr.polling = true
	c.wake(timer{at: c.now.Add(pollPause), kind: timerPoll, agent: agent})
}

func (c *Core) poll(agent task.Process) {
	pr := c.peers[agent]
	if pr == nil {
		return
	}
	pr.polling = false
	c.settle(pr)
}
