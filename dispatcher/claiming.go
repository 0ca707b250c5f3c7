package dispatcher

import (
	"net/http"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

// attemptsPerOwner separates the attempt numbers of successive owners.
const attemptsPerOwner = 1 << 12

const (
	// leastAgents and agentsPerTask bound the agents that a claim names: enough
	// to choose from, and few enough to store and to fence.
	leastAgents   = 16
	agentsPerTask = 2
)

// newClaim builds the claim of this entry for a job. Only agents that it names
// may receive its tasks, so that a later owner knows whom to fence.
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
	claim.Agents = c.drawAgents(j)
	return claim
}

// drawAgents returns neighbours in the pool's order from a random one on.
func (c *Core) drawAgents(j *job) []Peer {
	all := c.chooser.Pool(j.submission.Plan.Pool.Name)
	if len(all) == 0 {
		return nil
	}
	first := c.options.Random.IntN(len(all))
	limit := max(leastAgents, agentsPerTask*len(j.units))
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

// claimWon starts the job, or fences the former owner's agents first.
func (c *Core) claimWon(claim Claim) {
	j := c.jobs[claim.Job]
	if j != nil && j.widening != nil && j.widening.Token == claim.Token {
		c.widened(j)
		return
	}
	if j == nil || !j.claiming() || j.claim.Token != claim.Token {
		return
	}
	j.claim = claim
	if j.phase == phaseClosing {
		c.finish(j, j.answer)
		return
	}
	j.allow(claim.Agents)
	for i := range j.units {
		j.units[i].attempts = task.Attempt(claim.Generation-1) * attemptsPerOwner
	}
	if len(j.fencing) == 0 {
		c.start(j)
		return
	}
	c.counters.Takeovers++
	j.phase = phaseFencing
	for _, a := range claim.Agents {
		if j.fencing[a.Process] {
			c.emit(Fence{Agent: a, Job: j.id, Generation: claim.Generation, Deadline: claim.Deadline})
		}
	}
}

// allow lets the job's tasks go to the agents of its claim, and to no others.
func (j *job) allow(agents []Peer) {
	j.allowed = make(map[task.Process]bool, len(agents))
	for _, a := range agents {
		j.allowed[a.Process] = true
	}
}

// widen claims a job again when none of the agents that its claim names is
// left and others have come, so that its tasks may go to them. Tasks that run
// go on. A stale owner can't do so: the claim must still be its own.
func (c *Core) widen(j *job) {
	if !j.claimed() || j.widening != nil || !j.startDeadline().After(c.now) {
		return
	}
	if c.agentsLeft(j) {
		return
	}
	claim := c.newClaim(j, j.claim.Generation+1, j.claim.Deadline)
	if len(claim.Agents) == 0 {
		return
	}
	for _, a := range j.claim.Agents {
		claim.Agents = mergePeer(claim.Agents, a)
	}
	j.widening = &claim
	c.emit(TakeClaim{Old: j.claim, Claim: claim})
}

// agentsLeft reports whether an agent that the job's claim names takes work.
func (c *Core) agentsLeft(j *job) bool {
	for _, m := range c.chooser.Pool(j.submission.Plan.Pool.Name) {
		if j.allowed[m.ID] && !m.Leaving {
			return true
		}
	}
	return false
}

// widened lets tasks go to the agents that the claim names now.
func (c *Core) widened(j *job) {
	j.claim = *j.widening
	j.widening = nil
	j.allow(j.claim.Agents)
	c.mark(c.poolOf(j))
}

// claiming reports whether the job waits for the fate of a claim.
func (j *job) claiming() bool { return j.phase == phaseClaiming || j.phase == phaseClosing }

// claimHeld turns to the entry that owns the job.
func (c *Core) claimHeld(claim Claim) {
	j := c.jobs[claim.Job]
	if j != nil && j.phase == phaseRunning && j.widening != nil {
		c.dropSends(j)
		j.widening = nil
		j.phase = phaseClaiming
	}
	if j == nil || !j.claiming() {
		return
	}
	if claim.Digest != j.submission.Digest || claim.Team != j.submission.Team {
		c.finish(j, keyReused())
		return
	}
	if j.phase == phaseClosing {
		c.dropSends(j)
	}
	j.claim = claim
	j.phase = phaseAsking
	if claim.Owner == c.options.Self {
		c.ownerLost(j.id)
		return
	}
	c.emit(AskOwner{Claim: claim, Deadline: j.submission.Deadline})
}

func (c *Core) claimFailed(e ClaimFailed) {
	j := c.jobs[e.Job]
	if j != nil && j.phase == phaseRunning {
		j.widening = nil
		return
	}
	if j == nil || !j.claiming() {
		return
	}
	j.phase = phaseClaiming
	c.finish(j, refuse(task.MayHaveRun, http.StatusServiceUnavailable,
		"this submission was not run: "+e.Reason+"; an earlier one with its key may have been",
		"send it again with the same key", time.Time{}))
}

// ownerAnswered passes the owner's answer on. If the owner proves that nothing
// ran, or holds nothing, the job is taken over.
func (c *Core) ownerAnswered(e OwnerAnswered) {
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

func (c *Core) ownerLost(id task.JobID) {
	j := c.jobs[id]
	if j == nil || j.phase != phaseAsking {
		return
	}
	c.takeOver(j, false)
}

// takeOver claims a job under the next generation. Agents remember starts
// until the old claim's deadline only; after it a start can't be excluded.
// Proved means that the former owner has shown that nothing ran, so that no
// agent need be asked and the deadline may be a new one.
func (c *Core) takeOver(j *job, proved bool) {
	old := j.claim
	if !proved && !old.Deadline.After(c.now) {
		c.finish(j, refuse(task.MayHaveRun, http.StatusConflict,
			"the job with this key has ended and its answer is gone",
			"look at the target for its effects, then use a new key", time.Time{}))
		return
	}
	deadline := old.Deadline
	if proved {
		deadline = j.submission.Deadline
	}
	j.claim = c.newClaim(j, old.Generation+1, deadline)
	j.fencing = nil
	j.unfenced = 0
	if !proved {
		j.fencing = make(map[task.Process]bool)
		for _, a := range old.Agents {
			j.fencing[a.Process] = true
			j.claim.Agents = mergePeer(j.claim.Agents, a)
		}
	}
	j.phase = phaseClaiming
	j.asked = c.now
	c.emit(TakeClaim{Old: old, Claim: j.claim})
}

func mergePeer(list []Peer, p Peer) []Peer {
	for _, other := range list {
		if other.Process == p.Process {
			return list
		}
	}
	return append(list, p)
}

// fenced takes in what an agent started for the former owner.
func (c *Core) fenced(e Fenced) {
	j := c.jobs[e.Job]
	if j == nil || j.phase != phaseFencing || !j.fencing[e.Agent] {
		return
	}
	delete(j.fencing, e.Agent)
	for _, r := range e.Reports {
		c.adopt(j, e.Agent, r)
		if j.phase == phaseDone {
			return
		}
	}
	c.fencedAll(j)
}

// adopt takes over one task of the former owner.
func (c *Core) adopt(j *job, agent task.Process, r task.Report) {
	if r.Task.Index < 0 || r.Task.Index >= len(j.units) || r.State == task.Unstarted {
		return
	}
	u := &j.units[r.Task.Index]
	c.unwait(u)
	u.ran = true
	for _, a := range j.claim.Agents {
		if a.Process == agent {
			c.know(a)
		}
	}
	s := &send{agent: agent, attempt: r.Attempt, at: c.now, accepted: true, unsure: true}
	c.openSend(u, s)
	c.report(u, s, r)
}

func (c *Core) fenceFailed(e FenceFailed) {
	j := c.jobs[e.Job]
	if j == nil || j.phase != phaseFencing || !j.fencing[e.Agent] {
		return
	}
	delete(j.fencing, e.Agent)
	j.unfenced++
	c.fencedAll(j)
}

// fencedAll goes on once every agent has spoken or failed to.
func (c *Core) fencedAll(j *job) {
	if len(j.fencing) > 0 {
		return
	}
	j.phase = phaseRunning
	if j.left == 0 {
		c.complete(j)
		return
	}
	if j.unfenced > 0 && c.unknown(j) {
		c.finish(j, refuse(task.MayHaveRun, http.StatusBadGateway,
			"the job's owner was lost, and an agent that may have started its tasks can't be reached",
			"look at the target for its effects, then use a new key", time.Time{}))
		return
	}
	c.start(j)
}

// unknown marks the units that no agent knows of and reports whether any is.
func (c *Core) unknown(j *job) bool {
	found := false
	for i := range j.units {
		u := &j.units[i]
		if !u.done && !u.ran {
			u.uncertain = true
			found = true
		}
	}
	return found
}

// ownershipLost asks who owns a job that an agent says is fenced.
func (c *Core) ownershipLost(j *job) {
	c.dropSends(j)
	j.widening = nil
	j.phase = phaseClaiming
	j.claim.Token = c.options.Random.Uint64()
	c.emit(WriteClaim{Claim: j.claim})
}

// dropSends forgets the open sends of a job whose agents answer to another
// owner now, and takes its units out of line.
func (c *Core) dropSends(j *job) {
	for i := range j.units {
		u := &j.units[i]
		for len(u.sends) > 0 {
			c.closeSend(u, u.sends[0], balancer.Outcome{Accepted: u.sends[0].accepted})
		}
		c.unwait(u)
	}
}
