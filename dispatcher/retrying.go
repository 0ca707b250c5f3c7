package dispatcher

import (
	"time"

	"agatevalve/common/task"
)

const (
	// maxRetries limits the retries of an idempotent task.
	maxRetries = 2
	// retriesPerAnswer is the retry budget that each successful response earns.
	retriesPerAnswer = 0.1
	// maxRetryBudget is the initial retry budget and its upper limit.
	maxRetryBudget = 10.0
	// hedgesPerAnswer is the largest hedge budget that a successful response
	// earns when Route.WasteWeight is 0 (extra load is free). Higher weights
	// reduce it in proportion, to 0 at maxWasteWeight.
	hedgesPerAnswer = 0.018
	// winRateGain is the weight of a new hedge in the moving hedge win rate, and
	// initialWinRate is the rate at the start.
	winRateGain    = 1.0 / 16
	initialWinRate = 0.5
	// earningsPerWinRate times the win rate, at most 1, is the fraction of
	// hedgesPerAnswer that is earned. minEarnings is its lower limit: a few
	// hedges go on, to detect when they pay off again.
	earningsPerWinRate = 3.0
	minEarnings        = 0.05
	// maxHedgeBudget is the upper limit of the hedge budget when
	// Route.WasteWeight is 0. Higher weights reduce it in the same way.
	maxHedgeBudget = 5.0
	// hedgeDelayFactor times the high quantile of the service time is the time
	// after which an attempt is hedged.
	hedgeDelayFactor = 1.5
	// maxWasteWeight is the waste weight at which no hedge is sent.
	maxWasteWeight = 100
)

// retryBudget is the number of retries and hedges that may be sent in one pool.
type retryBudget struct {
	retries float64
	hedges  float64
	// hedgeWinRate is the moving share of hedges that answered before the first
	// attempt.
	hedgeWinRate float64
}

// recordHedge updates the win rate with a hedge that ended. Hedges that never
// win, because the tasks themselves are long, earn hardly any budget.
func (b *retryBudget) recordHedge(hedgeWon bool) {
	if hedgeWon {
		b.hedgeWinRate += (1 - b.hedgeWinRate) * winRateGain
		return
	}
	b.hedgeWinRate -= b.hedgeWinRate * winRateGain
}

// budget returns the budget of a job's pool, and creates it if it doesn't
// exist.
func (c *Core) budget(j *job) *retryBudget {
	name := j.submission.Plan.Pool.Name
	b := c.budgets[name]
	if b == nil {
		b = &retryBudget{retries: maxRetryBudget, hedgeWinRate: initialWinRate}
		c.budgets[name] = b
	}
	return b
}

// replenish adds what a successful response earns to the budgets.
func (c *Core) replenish(j *job) {
	b := c.budget(j)
	weight := j.submission.Plan.Route.WasteWeight
	b.retries = min(b.retries+retriesPerAnswer, maxRetryBudget)
	earnings := max(min(b.hedgeWinRate*earningsPerWinRate, 1), minEarnings)
	wasteFactor := float64(maxWasteWeight-weight) / maxWasteWeight
	b.hedges = min(b.hedges+hedgesPerAnswer*earnings*wasteFactor, maxHedgeBudget*wasteFactor)
}

// takeRetry takes a retry from the budget and reports whether the task may be
// retried.
func (c *Core) takeRetry(jt *jobTask) bool {
	b := c.budget(jt.job)
	if jt.retries >= maxRetries || b.retries < 1 || !c.hasUntriedMinion(jt) {
		return false
	}
	b.retries--
	return true
}

// hasUntriedMinion reports whether a minion of the pool remains that has not
// had the task.
func (c *Core) hasUntriedMinion(jt *jobTask) bool {
	for _, m := range c.chooser.Pool(jt.job.submission.Plan.Pool.Name) {
		if jt.mayRunAt(m.ID) {
			return true
		}
	}
	return false
}

// scheduleHedge sets the timer after which an attempt of an idempotent task
// counts as slow and is hedged.
func (c *Core) scheduleHedge(jt *jobTask, a *attempt) {
	route := jt.job.submission.Plan.Route
	times := c.serviceTimesOf(route.Name)
	if a.hedge || !route.Idempotent || route.WasteWeight >= maxWasteWeight || !times.reliable() {
		return
	}
	hedgeDelay := time.Duration(float64(times.high) * hedgeDelayFactor)
	c.schedule(timer{at: c.now.Add(hedgeDelay), kind: timerHedge, task: jt, attempt: a.number})
}

// hedge sends a second attempt in parallel with a slow one, if the budget
// allows it, a minion is free, and no other task waits for that minion.
func (c *Core) hedge(t timer) {
	jt := t.task
	j := jt.job
	if jt.done || j.phase != phaseRunning || len(jt.openAttempts) != 1 || jt.openAttempts[0].number != t.attempt {
		return
	}
	p := c.poolOf(j)
	b := c.budget(j)
	if p.waiting > 0 || b.hedges < 1 || c.tooLate(j) {
		return
	}
	slowAgent := jt.openAttempts[0].agent
	work := c.workOf(j)
	allow := func(id task.Process) bool { return id != slowAgent && jt.mayRunAt(id) }
	id, ok := c.chooser.Choose(c.now, p.name, j.submission.Plan.Pool.SlotsPerMinion, work, allow)
	if !ok {
		return
	}
	b.hedges--
	c.counters.Hedges++
	c.sendAttempt(jt, id, true)
}
