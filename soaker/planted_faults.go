package soaker

import (
	"time"

	"agatevalve/common/work"
)

// Plant selects a deliberate violation, which tests that the checks detect it.
type Plant string

// The violations that can be planted, one for each guarantee.
const (
	// DoubledStarts reports a second concurrent run for each start.
	DoubledStarts Plant = "doubled-starts"
	// StrayStarts reports starts of a job that no caller submitted.
	StrayStarts Plant = "stray-starts"
	// LostEnds hides completed tasks, so that their job succeeds without them.
	LostEnds Plant = "lost-ends"
	// RefusedStarts reports starts of jobs that were refused.
	RefusedStarts Plant = "refused-starts"
	// DrainedStarts reports starts at minions after their drain deadline.
	DrainedStarts Plant = "drained-starts"
	// FullMinions reports starts that exceed the capacity of their minion.
	FullMinions Plant = "full-minions"
	// WrongLabels reports starts at minions without the label of the job.
	WrongLabels Plant = "wrong-labels"
	// MissingRoutes publishes configurations without their probe route.
	MissingRoutes Plant = "missing-routes"
	// CutAnswers resets the connections of callers without marking a fault.
	CutAnswers Plant = "cut-answers"
	// DeadMinions crashes all minions for the rest of the soak test.
	DeadMinions Plant = "dead-minions"
)

// runStarted reports a start to the checker, changed by the planted violation. It
// is called with the checker's lock held.
func (h *harness) runStarted(minion string, run work.Run, at time.Time) {
	c := h.checker
	job := c.jobs[run.Job]
	if job == nil {
		c.runStarted(minion, run, at)
		return
	}
	switch h.options.Plant {
	case LostEnds:
		job.hideCompletions = true
	case RefusedStarts:
		job.finished, job.allNotRun = true, true
	case DrainedStarts:
		c.drainDeadlines[minion] = at.Add(-time.Second)
	case FullMinions:
		job.truths[run.Index].Room.CPU *= 100
	case WrongLabels:
		job.Label = "nowhere"
	}
	c.runStarted(minion, run, at)
	switch h.options.Plant {
	case DoubledStarts:
		run.Number++
		c.runStarted(minion, run, at)
	case StrayStarts:
		c.runStarted(minion, work.Run{Task: work.Task{Job: "ffffffffffffffff"}, Number: 1}, at)
	}
}

// runPlantedFault causes the planted violations that don't concern starts or
// configurations.
func (h *harness) runPlantedFault() {
	switch h.options.Plant {
	case CutAnswers:
		for h.ctx.Err() == nil {
			time.Sleep(2 * connectionLossGrace)
			for _, e := range h.entries {
				e.proxy.reset()
			}
		}
	case DeadMinions:
		for _, a := range h.agents {
			a.mu.Lock()
			a.downUntil = time.Now().Add(time.Hour)
			a.minion.Crash()
			a.mu.Unlock()
		}
	}
}
