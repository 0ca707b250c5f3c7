package dispatcher

import (
	"time"

	"agatevalve/common/task"
)

const (
	// maxRetries caps the starts of an idempotent task after failures.
	maxRetries = 2
	// retryShare is how many retries each good answer earns.
	retryShare = 0.1
	// retryReserve is the budget at start and its cap.
	retryReserve = 10.0
	// hedgeShare is how many hedges each good answer earns when a wasted
	// message weighs nothing.
	hedgeShare = 0.018
	// wonGain is the weight of one hedge's end in the share of those that won,
	// and firstWon that share at the start.
	wonGain  = 1.0 / 16
	firstWon = 0.5
	// worthWon times that share, at most 1, is the part of the budget earned,
	// and leastWorth the part that looks for a change.
	worthWon   = 3.0
	leastWorth = 0.05
	// hedgeReserve caps the hedges that can be saved up when a wasted message
	// weighs nothing.
	hedgeReserve = 5.0
	// hedgeFactor times the high quantile of the service time makes a start slow.
	hedgeFactor = 1.5
	// fullWeight is the waste weight at which no hedge is sent.
	fullWeight = 100
)

// budget holds the retries and hedges that answers have earned for one pool.
type budget struct {
	retries float64
	hedges  float64
	// won is the moving share of hedges that answered first.
	won float64
}

// judge takes in whether the hedge or the first start answered first. Hedges
// that never win, since the tasks are long by nature, earn hardly any more.
func (b *budget) judge(hedgeWon bool) {
	if hedgeWon {
		b.won += (1 - b.won) * wonGain
		return
	}
	b.won -= b.won * wonGain
}

func (c *Core) budget(j *job) *budget {
	name := j.submission.Plan.Pool.Name
	b := c.budgets[name]
	if b == nil {
		b = &budget{retries: retryReserve, won: firstWon}
		c.budgets[name] = b
	}
	return b
}

// earn adds to the budgets for a good answer.
func (c *Core) earn(j *job) {
	b := c.budget(j)
	weight := j.submission.Plan.Route.WasteWeight
	b.retries = min(b.retries+retryShare, retryReserve)
	worth := max(min(b.won*worthWon, 1), leastWorth)
	speed := float64(fullWeight-weight) / fullWeight
	b.hedges = min(b.hedges+hedgeShare*worth*speed, hedgeReserve*speed)
}

// mayRetry takes a retry from the budget.
func (c *Core) mayRetry(u *unit) bool {
	b := c.budget(u.job)
	if u.retries >= maxRetries || b.retries < 1 || !c.anotherMinion(u) {
		return false
	}
	b.retries--
	return true
}

// anotherMinion reports whether a minion is left that hasn't had the task.
func (c *Core) anotherMinion(u *unit) bool {
	for _, m := range c.chooser.Pool(u.job.submission.Plan.Pool.Name) {
		if u.allows(m.ID) {
			return true
		}
	}
	return false
}

// planHedge sets the time at which a start of an idempotent task counts as slow.
func (c *Core) planHedge(u *unit, s *send) {
	route := u.job.submission.Plan.Route
	times := c.times(route.Name)
	if s.hedged || !route.Idempotent || route.WasteWeight >= fullWeight || !times.learned() {
		return
	}
	slow := time.Duration(float64(times.high) * hedgeFactor)
	c.wake(timer{at: c.now.Add(slow), kind: timerHedge, unit: u, attempt: s.attempt})
}

// hedge sends a second start beside a slow one, if the budget and an idle
// minion allow it and no task waits for that minion.
func (c *Core) hedge(t timer) {
	u := t.unit
	j := u.job
	if u.done || j.phase != phaseRunning || len(u.sends) != 1 || u.sends[0].attempt != t.attempt {
		return
	}
	p := c.poolOf(j)
	b := c.budget(j)
	if p.waiting > 0 || b.hedges < 1 || c.doomed(j) {
		return
	}
	slow := u.sends[0].agent
	work := c.workOf(j)
	allow := func(id task.Process) bool { return id != slow && u.allows(id) }
	id, ok := c.chooser.Choose(c.now, p.name, j.submission.Plan.Pool.SlotsPerMinion, work, allow)
	if !ok {
		return
	}
	b.hedges--
	c.counters.Hedges++
	c.sendTo(u, id, true)
}
