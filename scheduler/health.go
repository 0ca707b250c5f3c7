package scheduler

import (
	"time"

	"agatevalve/common/work"
)

const (
	// failureWeight is the weight of a new run in the moving average of a
	// minion's failures.
	failureWeight = 0.25
	// ejectionThreshold is the failure rate above which a minion is ejected: it
	// gets single trial runs only. Three consecutive failures exceed it.
	ejectionThreshold = 0.5
	// minTrialBackoff and maxTrialBackoff bound the backoff before a trial, which
	// doubles with each trial that fails.
	minTrialBackoff = 500 * time.Millisecond
	maxTrialBackoff = 4 * time.Second
	// seenNumberStride is added to run numbers that a minion has seen before, as
	// happens after a job was submitted again.
	seenNumberStride = 16
	// These are the backoffs after an agent refused a run, by the reason of the
	// refusal.
	backoffUnhealthy   = 300 * time.Millisecond
	backoffUnreachable = 150 * time.Millisecond
	backoffBusy        = 50 * time.Millisecond
	backoffCrowded     = 15 * time.Millisecond
)

// health tracks the failures of a minion, for outlier ejection.
type health struct {
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64
	// nextTrial is the earliest time of the next trial of an ejected minion.
	nextTrial time.Time
	// trialBackoff is the backoff before that trial.
	trialBackoff time.Duration
}

// ejected reports whether the minion gets single trial runs only.
func (h *health) ejected() bool { return h.failureRate > ejectionThreshold }

func (h *health) recordSuccess() {
	h.failureRate -= failureWeight * h.failureRate
	if h.ejected() {
		h.failureRate = ejectionThreshold // A trial that succeeds ends the ejection.
	}
	h.trialBackoff = 0
}

func (h *health) recordFailure(now time.Time) {
	h.failureRate += failureWeight * (1 - h.failureRate)
	if h.ejected() {
		h.trialBackoff = min(max(2*h.trialBackoff, minTrialBackoff), maxTrialBackoff)
		h.nextTrial = now.Add(h.trialBackoff)
	}
}

// failedOnOtherMinion reports whether tasks of the job have failed at another
// minion, in which case the fault is likely the job's own.
func (j *job) failedOnOtherMinion(minion string) bool {
	for _, t := range j.tasks {
		for _, name := range t.failedMinions {
			if name != minion {
				return true
			}
		}
	}
	return false
}

func (c *Core) taskFailed(now time.Time, a *agent, t *task) {
	t.failures++
	if !t.job.failedOnOtherMinion(a.minion.Name) {
		a.recordFailure(now)
	}
	t.failedMinions = append(t.failedMinions, a.minion.Name)
	if t.failures >= t.job.Attempts {
		c.finish(now, t.job, work.Exhausted, "a task failed as often as its route allows")
		return
	}
	c.enqueue(t)
}
