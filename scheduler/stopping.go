package scheduler

import (
	"maps"
	"slices"
	"time"

	"agatevalve/common/work"
)

// reasonStopping is the reason of answers to jobs that a stopping entry can't run.
const reasonStopping = "this entry is stopping"

// EntryStopping means that this entry stops at a time. Until then it answers all
// jobs, since their callers may wait longer: what can't end by then is given up,
// so that they can submit it at another entry.
type EntryStopping struct{ At time.Time }

func (ev EntryStopping) apply(c *Core, now time.Time) {
	c.stopsAt = ev.At
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if !j.Deadline.After(ev.At) {
			continue
		}
		c.moveDeadline(j, ev.At)
		if slices.ContainsFunc(j.tasks, func(t *task) bool { return t.outlasts(ev.At) }) {
			c.giveUp(now, j, reasonStopping)
		}
	}
}

// outlasts reports whether a run under way can't end by a time, even if its work
// is as short as can be.
func (t *task) outlasts(at time.Time) bool {
	return t.agent != nil && t.placedAt.Add(time.Duration(minWorkFactor*float64(t.expectedRuntime))).After(at)
}

// moveDeadline changes the deadline of a job, and with it the objective.
func (c *Core) moveDeadline(j *job, deadline time.Time) {
	j.Deadline = deadline
	j.setObjective(max(j.longestWork, j.expectedWork))
	c.deadlines.Push(jobDeadline{deadline: deadline, id: j.ID})
}

// boundByStop moves the deadline of a job to the time at which this entry stops,
// if that comes first.
func (c *Core) boundByStop(j *work.Job) {
	if !c.stopsAt.IsZero() && j.Deadline.After(c.stopsAt) {
		j.Deadline = c.stopsAt
	}
}

// endsWithStop reports whether the job has to end because this entry stops, and
// could run for longer at another one.
func (c *Core) endsWithStop(j *job) bool { return !c.stopsAt.IsZero() && j.Deadline.Equal(c.stopsAt) }

// lateReason returns why a job that can't end before its deadline is given up:
// the given reason, or that this entry stops.
func (c *Core) lateReason(j *job, reason string) string {
	if c.endsWithStop(j) {
		return reasonStopping
	}
	return reason
}
