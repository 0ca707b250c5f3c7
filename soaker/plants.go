package soaker

import (
	"time"

	"agatevalve/common/work"
)

// Plant names a fault of the stand-ins that breaks a promise on purpose.
type Plant string

// The faults that can be planted, one for each promise.
const (
	// DoubledStarts runs each order twice at a time.
	DoubledStarts Plant = "doubled-starts"
	// StrayStarts starts what no caller sent.
	StrayStarts Plant = "stray-starts"
	// LostEnds forgets the ends of tasks that are then said to be done.
	LostEnds Plant = "lost-ends"
	// RefusedStarts starts jobs whose callers were refused.
	RefusedStarts Plant = "refused-starts"
	// DrainedStarts starts work at minions that have long been leaving.
	DrainedStarts Plant = "drained-starts"
	// FullMinions starts work beyond the room of minions.
	FullMinions Plant = "full-minions"
	// WrongLabels starts work that asked for other minions.
	WrongLabels Plant = "wrong-labels"
	// MissingRoutes writes configurations that lack their newest route.
	MissingRoutes Plant = "missing-routes"
	// CutAnswers resets the connections of callers.
	CutAnswers Plant = "cut-answers"
	// DeadMinions lets no minion come back.
	DeadMinions Plant = "dead-minions"
)

// startedAt gives a start to the judge, with what is planted; the lock is held.
func (w *world) startedAt(minion string, run work.Run, at time.Time) {
	j := w.judge
	job := j.jobs[run.Job]
	if job == nil {
		j.started(minion, run, at)
		return
	}
	switch w.o.Plant {
	case LostEnds:
		job.forgetful = true
	case RefusedStarts:
		job.over, job.refused = true, true
	case DrainedStarts:
		j.drains[minion] = at.Add(-time.Second)
	case FullMinions:
		job.truths[run.Index].Room.CPU *= 100
	case WrongLabels:
		job.Label = "nowhere"
	}
	j.started(minion, run, at)
	switch w.o.Plant {
	case DoubledStarts:
		run.Number++
		j.started(minion, run, at)
	case StrayStarts:
		j.started(minion, work.Run{Task: work.Task{Job: "ffffffffffffffff"}, Number: 1}, at)
	}
}

// plant brings about the faults that are no starts.
func (w *world) plant() {
	switch w.o.Plant {
	case CutAnswers:
		for w.ctx.Err() == nil {
			time.Sleep(2 * lostSlack)
			for _, f := range w.entries {
				f.proxy.reset()
			}
		}
	case DeadMinions:
		for _, s := range w.agents {
			s.mu.Lock()
			s.down = time.Now().Add(time.Hour)
			s.minion.Crash()
			s.mu.Unlock()
		}
	}
}
