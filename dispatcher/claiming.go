package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

// attemptsPerOwner is the number of attempt numbers reserved for each owner of
// a job, so that the attempts of successive owners differ.
const attemptsPerOwner = 1 << 12

const (
	// minClaimAgents and claimAgentsPerTask limit the number of agents that a
	// claim names: enough to balance the load, and few enough to store and to
	// fence.
	minClaimAgents     = 16
	claimAgentsPerTask = 2
)

// newClaim builds this entry's claim of a job. Only agents that the claim names
// may receive its tasks, so that a later owner knows which agents to fence.
func (c *Core) newClaim(j *job, generation task.Generation, deadline time.Time) Claim {
	claim := Claim{
		Job:          j.id,
		Team:         j.submission.Team,
		Digest:       j.submission.Digest,
		Owner:        c.options.Self,
		OwnerAddress: c.options.Address,
		Generation:   generation,
		Token:        c.options.Random.Uint64(),
		Deadline:     deadline,
	}
	claim.Agents = c.selectAgents(j)
	return claim
}

// selectAgents returns the agents that a claim names: consecutive ones in the
// order of the pool, from a random one on.
func (c *Core) selectAgents(j *job) []Peer {
	all := c.chooser.Pool(j.submission.Plan.Pool.Name)
	if len(all) == 0 {
		return nil
	}
	first := c.options.Random.IntN(len(all))
	limit := max(minClaimAgents, claimAgentsPerTask*len(j.tasks))
	agents := make([]Peer, 0, min(len(all), limit))
	for i := range all {
		m := all[(first+i)%len(all)]
		pr := c.peers[m.ID]
		if pr != nil && !m.Leaving && len(agents) < limit {
			agents = append(agents, pr.Peer)
		}
	}
	return agents
}

// handleClaimWon starts the job. After a takeover it fences the agents of the
// former owner's claim first.
func (c *Core) handleClaimWon(claim Claim) {
	j := c.jobs[claim.Job]
	if j != nil && j.wideningClaim != nil && j.wideningClaim.Token == claim.Token {
		c.claimWidened(j)
		return
	}
	if j == nil || !j.awaitsClaim() || j.claim.Token != claim.Token {
		return
	}
	j.claim = claim
	if j.phase == phaseConfirming {
		c.finish(j, j.answer)
		return
	}
	j.allowAgents(claim.Agents)
	for i := range j.tasks {
		j.tasks[i].lastAttempt = task.Attempt(claim.Generation-1) * attemptsPerOwner
	}
	if len(j.pendingFences) == 0 {
		c.startJob(j)
		return
	}
	c.counters.Takeovers++
	j.phase = phaseFencing
	for _, a := range claim.Agents {
		if j.pendingFences[a.Process] {
			c.emit(Fence{Agent: a, Job: j.id, Generation: claim.Generation, Deadline: claim.Deadline})
		}
	}
}

// allowAgents restricts the job's tasks to the agents of its claim.
func (j *job) allowAgents(agents []Peer) {
	j.allowedAgents = make(map[task.Process]bool, len(agents))
	for _, a := range agents {
		j.allowedAgents[a.Process] = true
	}
}

// widenClaim adds agents to the claim of a job when none of the agents in it
// accepts new work any more and the pool has others. Running tasks go on. A
// stale owner can't do this, since the store replaces only the claim that is
// stored.
func (c *Core) widenClaim(j *job) {
	if !j.claimed() || j.wideningClaim != nil || !j.startDeadline().After(c.now) {
		return
	}
	if c.hasUsableAgent(j) {
		return
	}
	claim := c.newClaim(j, j.claim.Generation+1, j.claim.Deadline)
	if len(claim.Agents) == 0 {
		return
	}
	for _, a := range j.claim.Agents {
		claim.Agents = appendUnique(claim.Agents, a)
	}
	j.wideningClaim = &claim
	c.emit(ReplaceClaim{Old: j.claim, Claim: claim})
}

// hasUsableAgent reports whether an agent in the job's claim accepts new work.
func (c *Core) hasUsableAgent(j *job) bool {
	for _, m := range c.chooser.Pool(j.submission.Plan.Pool.Name) {
		if j.allowedAgents[m.ID] && !m.Leaving {
			return true
		}
	}
	return false
}

// claimWidened puts the wider claim in force once it is stored.
func (c *Core) claimWidened(j *job) {
	j.claim = *j.wideningClaim
	j.wideningClaim = nil
	j.allowAgents(j.claim.Agents)
	c.markReady(c.poolOf(j))
}

// awaitsClaim reports whether the job waits for the result of a claim write.
func (j *job) awaitsClaim() bool { return j.phase == phaseClaiming || j.phase == phaseConfirming }

// handleClaimHeld fetches the answer from the entry that owns the job. If this
// entry has lost the job to it, the open attempts are dropped first. A
// submission whose content differs from the claim's is refused.
func (c *Core) handleClaimHeld(claim Claim) {
	j := c.jobs[claim.Job]
	if j != nil && j.phase == phaseRunning && j.wideningClaim != nil {
		c.dropAttempts(j)
		j.wideningClaim = nil
		j.phase = phaseClaiming
	}
	if j == nil || !j.awaitsClaim() {
		return
	}
	if claim.Digest != j.submission.Digest || claim.Team != j.submission.Team {
		c.finish(j, keyReusedAnswer())
		return
	}
	if j.phase == phaseConfirming {
		c.dropAttempts(j)
	}
	j.claim = claim
	j.phase = phaseAsking
	if claim.Owner == c.options.Self {
		c.handleOwnerLost(j.id)
		return
	}
	c.emit(AskOwner{Claim: claim, Deadline: j.submission.Deadline})
}

// handleClaimFailed ends a job that could not be claimed. A running job goes on
// under its present claim.
func (c *Core) handleClaimFailed(e ClaimFailed) {
	j := c.jobs[e.Job]
	if j != nil && j.phase == phaseRunning {
		j.wideningClaim = nil
		return
	}
	if j == nil || !j.awaitsClaim() {
		return
	}
	j.phase = phaseClaiming
	c.finish(j, errorAnswer(task.MayHaveRun, http.StatusServiceUnavailable,
		"this submission was not run: "+e.Reason+"; an earlier one with its key may have been",
		"send it again with the same key", time.Time{}))
}

// handleOwnerAnswered adopts the owner's answer. If the owner proves that
// nothing ran, or doesn't hold the job, the job is taken over.
func (c *Core) handleOwnerAnswered(e OwnerAnswered) {
	j := c.jobs[e.Job]
	if j == nil || j.phase != phaseAsking {
		return
	}
	switch {
	case !e.Known:
		c.takeOver(j, false)
	case e.Answer.Outcome == task.NotRun && e.Answer.Status != http.StatusUnprocessableEntity:
		c.takeOver(j, true)
	default:
		c.finish(j, e.Answer)
	}
}

// handleOwnerLost takes over a job whose owner can't be reached or has ended.
func (c *Core) handleOwnerLost(id task.JobID) {
	j := c.jobs[id]
	if j == nil || j.phase != phaseAsking {
		return
	}
	c.takeOver(j, false)
}

// takeOver claims a job under the next generation. Agents remember starts only
// until the old claim's deadline; after it a start can't be ruled out, and the
// job fails. If provedNotRun is set, the former owner has proved that nothing
// ran: then no agent has to be fenced, and the claim may have a later deadline.
func (c *Core) takeOver(j *job, provedNotRun bool) {
	old := j.claim
	if !provedNotRun && !old.Deadline.After(c.now) {
		c.finish(j, errorAnswer(task.MayHaveRun, http.StatusConflict,
			"the job with this key has ended and its answer is gone",
			"look at the target for its effects, then use a new key", time.Time{}))
		return
	}
	deadline := old.Deadline
	if provedNotRun {
		deadline = j.submission.Deadline
	}
	j.claim = c.newClaim(j, old.Generation+1, deadline)
	j.pendingFences = nil
	j.failedFences = 0
	if !provedNotRun {
		j.pendingFences = make(map[task.Process]bool)
		for _, a := range old.Agents {
			j.pendingFences[a.Process] = true
			j.claim.Agents = appendUnique(j.claim.Agents, a)
		}
	}
	j.phase = phaseClaiming
	j.claimRequestedAt = c.now
	c.emit(ReplaceClaim{Old: old, Claim: j.claim})
}

// appendUnique appends a peer unless its process is already in the list.
func appendUnique(list []Peer, p Peer) []Peer {
	for _, other := range list {
		if other.Process == p.Process {
			return list
		}
	}
	return append(list, p)
}

// handleFenced adopts the attempts that an agent started for the former owner.
func (c *Core) handleFenced(e Fenced) {
	j := c.jobs[e.Job]
	if j == nil || j.phase != phaseFencing || !j.pendingFences[e.Agent] {
		return
	}
	delete(j.pendingFences, e.Agent)
	for _, r := range e.Reports {
		c.adoptAttempt(j, e.Agent, r)
		if j.phase == phaseDone {
			return
		}
	}
	c.finishFencing(j)
}

// adoptAttempt adds an attempt of the former owner to the job and applies its
// report.
func (c *Core) adoptAttempt(j *job, agent task.Process, r task.Report) {
	if r.Task.Index < 0 || r.Task.Index >= len(j.tasks) || r.State == task.Unstarted {
		return
	}
	jt := &j.tasks[r.Task.Index]
	c.dequeue(jt)
	jt.ran = true
	for _, a := range j.claim.Agents {
		if a.Process == agent {
			c.addPeer(a)
		}
	}
	a := &attempt{agent: agent, number: r.Attempt, sentAt: c.now, accepted: true, needsSettling: true}
	c.openAttempt(jt, a)
	c.applyReport(jt, a, r)
}

// handleFenceFailed counts an agent that could not be fenced.
func (c *Core) handleFenceFailed(e FenceFailed) {
	j := c.jobs[e.Job]
	if j == nil || j.phase != phaseFencing || !j.pendingFences[e.Agent] {
		return
	}
	delete(j.pendingFences, e.Agent)
	j.failedFences++
	c.finishFencing(j)
}

// finishFencing starts or ends the job once every agent has been fenced or has
// failed to be.
func (c *Core) finishFencing(j *job) {
	if len(j.pendingFences) > 0 {
		return
	}
	j.phase = phaseRunning
	if j.remaining == 0 {
		c.completeJob(j)
		return
	}
	if j.failedFences > 0 && c.markUncertain(j) {
		c.finish(j, errorAnswer(task.MayHaveRun, http.StatusBadGateway,
			"the job's owner was lost, and an agent that may have started its tasks can't be reached",
			"look at the target for its effects, then use a new key", time.Time{}))
		return
	}
	c.startJob(j)
}

// markUncertain marks the tasks that no agent reported as tasks that may have
// run, and reports whether there are any.
func (c *Core) markUncertain(j *job) bool {
	found := false
	for i := range j.tasks {
		jt := &j.tasks[i]
		if !jt.done && !jt.ran {
			jt.mayHaveRun = true
			found = true
		}
	}
	return found
}

// recheckOwner writes the claim again when an agent refuses a start as fenced,
// to learn from the store which entry owns the job now.
func (c *Core) recheckOwner(j *job) {
	c.dropAttempts(j)
	j.wideningClaim = nil
	j.phase = phaseClaiming
	j.claim.Token = c.options.Random.Uint64()
	c.emit(WriteClaim{Claim: j.claim})
}

// dropAttempts closes the open attempts of a job without cancelling them, since
// another entry owns them now, and removes its tasks from the queue.
func (c *Core) dropAttempts(j *job) {
	for i := range j.tasks {
		jt := &j.tasks[i]
		for len(jt.openAttempts) > 0 {
			c.closeAttempt(jt, jt.openAttempts[0], balancer.Outcome{Accepted: jt.openAttempts[0].accepted})
		}
		c.dequeue(jt)
	}
}
