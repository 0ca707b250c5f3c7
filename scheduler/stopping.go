package scheduler

import (
	"time"

	"agatevalve/common/work"
)

// reasonStopping is the reason of answers to jobs that a stopping entry can't run.
const reasonStopping = "this entry is stopping"

// EntryStopping means that this entry stops at a time. Until then it answers all
// jobs, since their callers may wait longer: what can't end by then is given up,
// so that they can submit it at another entry.
type EntryStopping struct{ At time.Time }

func (ev EntryStopping) apply(c *Core, _ time.Time) {
	c.stopsAt = ev.At
	for _, j := range c.jobs {
		if !j.Deadline.After(ev.At) {
			continue
		}
		c.boundByStop(&j.Job)
		j.setObjective(max(j.longestWork, j.expectedWork))
		c.deadlines.Push(jobDeadline{deadline: j.Deadline, job: j})
	}
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
