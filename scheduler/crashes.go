package scheduler

import (
	"time"

	"agatevalve/attributor"
	"agatevalve/common/work"
)

// probationSlack is added to the probation of a suspect, which begins when its
// minion starts it.
const probationSlack = 10 * time.Millisecond

// reasonCrashes is the reason for giving up jobs that crash minions.
const reasonCrashes = "a task of it crashed the minions that started it; don't send it again as it is"

// recordCrashes records crashes that an agent reports, and gives up jobs with a
// task that crashes minions.
func (c *Core) recordCrashes(now time.Time, a *agent, crashes []work.Crash) {
	for _, crash := range crashes {
		verdicts, isNew := c.attributor.Record(now, crash)
		if !isNew {
			continue
		}
		c.emit(CrashRecorded{Agent: a.id, Crash: crash})
		for _, v := range verdicts {
			c.emit(TaskCondemned{Verdict: v})
			if j := c.jobs[v.Task.Job]; j != nil {
				c.finish(now, j, work.Exhausted, reasonCrashes)
			}
		}
	}
}

// answerCondemned answers a submission of a job with a task that is known to
// crash minions, and reports whether it is one.
func (c *Core) answerCondemned(now time.Time, ev Submitted) bool {
	if _, condemned := c.attributor.Verdict(ev.Job.ID); !condemned {
		return false
	}
	c.emit(Answer{
		Tickets: []uint64{ev.Ticket}, Job: ev.Job.ID, Outcome: work.Exhausted, Reason: reasonCrashes, Tasks: ev.Job.Count, Age: now.Sub(ev.Job.Arrived),
	})
	return true
}

// endProbation ends the probation of a run that has ended.
func (c *Core) endProbation(a *agent, t *task) {
	if t.order.Probation > 0 {
		a.probationUntil, t.job.probationUntil = time.Time{}, time.Time{}
	}
}

// CrashRecorded is a crash of a minion that was reported for the first time.
type CrashRecorded struct {
	Agent AgentID
	Crash work.Crash
}

// TaskCondemned is the verdict on a task that crashes minions. Its job is given
// up, here and wherever it is submitted again.
type TaskCondemned struct{ Verdict attributor.Verdict }

func (CrashRecorded) command() {}
func (TaskCondemned) command() {}
