package scheduler

import "time"

// defaultCanaryProbation is the probation of canaries on a confined route whose
// deadly age is not known.
const defaultCanaryProbation = 50 * time.Millisecond

// probationOf returns the time after its start in which the next task of a job
// may crash its minion; 0 if nothing is suspected. Of a job on a confined route
// one task, the canary, is tried before the others, since tasks of one job are
// alike.
func (c *Core) probationOf(j *job) time.Duration {
	if probation := c.attributor.Probation(j.ID); probation > 0 {
		return probation
	}
	if !c.bulkheads.wantsCanary(j) {
		return 0
	}
	if age := c.attributor.DeadlyAge(j.Route); age > 0 {
		return age
	}
	return defaultCanaryProbation
}

// awaitsProbation reports whether a task has to wait until another one of its job
// has survived its probation. The canary is the first task, also after a refusal.
func (c *Core) awaitsProbation(t *task) bool {
	j := t.job
	if j.onProbation != nil {
		return true
	}
	return t.index > 0 && j.tasks[0].agent == nil && !j.tasks[0].done && c.bulkheads.wantsCanary(j)
}

// beginProbation records that a suspect or a canary was sent to an agent. Until
// its probation ends, no other one is sent there, and no other task of its job is
// started.
func (c *Core) beginProbation(a *agent, t *task) { a.onProbation, t.job.onProbation = t, t }

// endProbation records that a run has ended, or has survived its probation.
func (c *Core) endProbation(a *agent, t *task) {
	if a.onProbation == t {
		a.onProbation = nil
	}
	if t.job.onProbation == t {
		t.job.onProbation = nil
	}
	c.placementDue = true
}

// survive records that a run has survived its probation, so that its job is taken
// for sound.
func (c *Core) survive(a *agent, t *task) {
	c.endProbation(a, t)
	c.attributor.Clear(t.run().Task)
	t.job.cleared = true
}

// canaryWait returns the expected time until a job of a confined route has
// survived its probation, given the canaries that wait before it. Without
// minions it returns the time for one minion.
func (c *Core) canaryWait(j *job) time.Duration {
	if !c.bulkheads.wantsCanary(j) {
		return 0
	}
	minions, canaries := 0, 1
	for _, a := range c.sortedAgents {
		if a.minion.Service != j.Service || !a.acceptsWork() || !c.opensTo(a, j) {
			continue
		}
		minions++
		if a.onProbation != nil {
			canaries++
		}
	}
	seen := make(map[*job]bool)
	for _, t := range c.waiting {
		if !seen[t.job] && t.job.onProbation == nil && t.job.Service == j.Service && c.bulkheads.wantsCanary(t.job) {
			seen[t.job] = true
			canaries++
		}
	}
	return time.Duration(canaries) * c.probationOf(j) / time.Duration(max(minions, 1))
}
