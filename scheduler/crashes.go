package scheduler

import (
	"slices"
	"time"

	"agatevalve/attributor"
	"agatevalve/common/work"
)

// reasonCrashes is the reason for giving up jobs that crash minions.
const reasonCrashes = "a task of it crashed the minions that started it; don't send it again as it is"

// reasonMayCrash is the reason for not trying jobs that may have crashed a minion.
const reasonMayCrash = "a minion crashed that ran a task of it, as others did under work of the same route"

// recordCrashes records crashes that an agent reports, and gives up jobs with a
// task that crashes minions. The agent's minion is down if its latest incarnation
// has crashed. A job whose task may still be running is given up once that run has
// ended, since the agent may withdraw the crash.
func (c *Core) recordCrashes(now time.Time, a *agent, incarnation uint64, crashes []work.Crash) {
	for _, crash := range crashes {
		if crash.Withdrawn {
			c.withdrawCrash(a, crash)
			continue
		}
		if crash.At.After(now) {
			crash.At = now // Of a malformed message.
		}
		verdicts, isNew := c.attributor.Record(now, crash)
		if !isNew {
			continue
		}
		c.emit(CrashRecorded{Agent: a.id, Crash: crash})
		if crash.At.After(a.crashedAt) {
			a.crashedAt, a.down, c.bulkheads.partitionedAt = crash.At, crash.Incarnation == incarnation, time.Time{}
		}
		for _, v := range verdicts {
			c.emit(TaskCondemned{Verdict: v})
			if v.Kind != attributor.Recurring {
				c.observeVerdict(now, crash.At, v)
			}
			if j := c.jobs[v.Task.Job]; j != nil && !j.mayGoOn(a, v.Task, crash) {
				c.condemn(now, j, v)
			}
		}
	}
}

// withdrawCrash forgets a crash that did not happen.
func (c *Core) withdrawCrash(a *agent, crash work.Crash) {
	if !c.attributor.Withdraw(crash.Minion, crash.Incarnation) {
		return
	}
	if crash.Minion == a.minion.Name && crash.Incarnation == a.minion.Incarnation {
		a.crashedAt, a.down, c.bulkheads.partitionedAt = time.Time{}, false, time.Time{}
	}
	c.emit(LogMessage{Text: "A crash was withdrawn", Agent: a.id, Attributes: []any{"minion", crash.Minion, "incarnation", crash.Incarnation}})
}

// mayGoOn reports whether the run of a task that was at an agent's minion in a crash is
// not known to have ended.
func (j *job) mayGoOn(a *agent, t work.Task, crash work.Crash) bool {
	if t.Index < 0 || t.Index >= len(j.tasks) || j.tasks[t.Index].agent != a {
		return false
	}
	run := j.tasks[t.Index].run()
	return slices.ContainsFunc(crash.Runs, func(r work.CrashedRun) bool { return r.Run == run })
}

// condemnLost gives up the job of a task whose run was lost if there is a verdict on the
// task, and reports whether there is one.
func (c *Core) condemnLost(now time.Time, t *task, report work.Report) bool {
	v, condemned := c.attributor.Verdict(t.job.ID)
	if report.State != work.Lost || !condemned || v.Task.Index != t.index {
		return false
	}
	c.condemn(now, t.job, v)
	return true
}

// condemn gives up a job because of a verdict. If its guilt is only presumed, its
// caller may send it again.
func (c *Core) condemn(now time.Time, j *job, v attributor.Verdict) {
	if v.Kind.Final() {
		c.finish(now, j, work.Exhausted, reasonCrashes)
		return
	}
	c.finish(now, j, work.Unfinished, reasonMayCrash)
}

// answerCondemned answers a submission of a job that was given up because of
// crashes, and reports whether it is one. A job that is only presumed to crash
// minions is tried again once its route is free.
func (c *Core) answerCondemned(now time.Time, ev Submitted) bool {
	v, condemned := c.attributor.Verdict(ev.Job.ID)
	answer := Answer{
		Tickets: []uint64{ev.Ticket}, Job: ev.Job.ID, Tasks: ev.Job.Count, Age: now.Sub(ev.Job.Arrived), UntilDeadline: ev.Job.Deadline.Sub(now),
	}
	switch {
	case condemned && v.Kind.Final():
		answer.Outcome, answer.Reason = work.Exhausted, reasonCrashes
	case condemned && c.bulkheads.confines(ev.Job.Route):
		answer.Outcome, answer.Reason, answer.RetryAfter = work.NotRun, reasonMayCrash, maxRetryAfter
	default:
		return false
	}
	c.emit(answer)
	return true
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
