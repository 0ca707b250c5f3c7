package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"agatevalve/common/work"
)

// job is a submission that is not answered yet.
type job struct {
	work.Job

	// tickets are the callers that wait; never empty.
	tickets []uint64
	tasks   []*task
	// left counts the tasks that are not done.
	left int
	// begun is true once an agent was sent a task and has not proved that it
	// did not start.
	begun bool
	// doubts counts the runs that may have started.
	doubts int
	// expected is the work of one task at a minion of mean speed.
	expected time.Duration
	// longest is the largest work that a task has shown; 0 before any has.
	longest time.Duration
	// objective is when the answer stops being on time, as far as the work is known.
	objective time.Time
	// stuck is the plan in which a task of the job found no place.
	stuck time.Time
}

// ending is the deadline of a job.
type ending struct {
	at  time.Time
	job *job
}

// aim sets the latency objective by the work of the longest task.
func (j *job) aim(longest time.Duration) { j.objective = j.aimOf(longest) }

// aimOf returns the objective for a longest task, at most the deadline.
func (j *job) aimOf(longest time.Duration) time.Time {
	aim := j.Arrived.Add(time.Duration(j.Stretch*float64(longest)) + j.Allowance)
	if aim.After(j.Deadline) {
		return j.Deadline
	}
	return aim
}

// shown takes the work that a task has shown. Tasks of one job are alike, so it
// tells of the others too; but it is only as sure as the minion's slowness.
func (j *job) shown(sound time.Duration) {
	j.expected = time.Duration(math.Sqrt(float64(sound) * float64(j.expected)))
	if sound > j.longest {
		j.longest = sound
		j.aim(sound)
	}
}

// task is one task of a job.
type task struct {
	job   *job
	index int
	// number is that of the latest run; 0 before the first.
	number int
	// at is the agent that has the latest run; nil while the task waits.
	at *agent
	// heard is true once the agent's load includes the latest run.
	heard bool
	// done is true once a run ended so.
	done bool
	// failures counts the runs that ended Failed.
	failures int
	// failedAt are the minions where runs failed.
	failedAt []string
	// movedFrom are the minions that the task was taken from.
	movedFrom []string
	// placedAt is when the latest run was sent.
	placedAt time.Time
	// order is what the agent was sent, and takes the time that its run was
	// then expected to take there.
	order work.Order
	takes time.Duration
}

// Event is something that happened to an entry.
type Event interface{ apply(c *Core, now time.Time) }

// Submitted brings a job and the ticket of its caller.
type Submitted struct {
	Job    work.Job
	Ticket uint64
}

// Withdrawn tells that a caller has left.
type Withdrawn struct {
	Job    string
	Ticket uint64
}

// Cancelled tells that a job is to be stopped, whoever waits.
type Cancelled struct{ Job string }

func (ev Submitted) apply(c *Core, now time.Time) {
	if j := c.jobs[ev.Job.ID]; j != nil {
		j.tickets = append(j.tickets, ev.Ticket) // The same job again: one run, both are answered.
		return
	}
	j := &job{Job: ev.Job, tickets: []uint64{ev.Ticket}, left: ev.Job.Count}
	j.expected = c.works.expect(ev.Job.Route, ev.Job.Hint)
	j.aim(j.expected)
	if reason, retry := c.refusal(now, j); reason != "" {
		c.emit(Answer{
			Tickets: j.tickets, Job: j.ID, Outcome: work.NotRun, Reason: reason, RetryAfter: retry,
			Tasks: j.Count, Expected: j.expected, Age: now.Sub(j.Arrived),
		})
		return
	}
	c.jobs[j.ID] = j
	c.ends.Push(ending{at: j.Deadline, job: j})
	j.tasks = make([]*task, j.Count)
	for i := range j.tasks {
		j.tasks[i] = &task{job: j, index: i}
		c.wait(j.tasks[i])
	}
}

func (ev Withdrawn) apply(c *Core, now time.Time) {
	j := c.jobs[ev.Job]
	if j == nil {
		return
	}
	j.tickets = slices.DeleteFunc(j.tickets, func(t uint64) bool { return t == ev.Ticket })
	if len(j.tickets) == 0 {
		c.finish(now, j, work.Unfinished, "the caller has left")
	}
}

func (ev Cancelled) apply(c *Core, now time.Time) {
	if j := c.jobs[ev.Job]; j != nil {
		c.finish(now, j, work.Cancelled, "its caller cancelled it")
	}
}

// wait puts a task among those that need a place.
func (c *Core) wait(t *task) {
	t.at, t.heard = nil, false
	c.waiting = append(c.waiting, t)
	c.changed = true
}

// finish answers a job and stops what is left of it.
func (c *Core) finish(now time.Time, j *job, outcome work.Outcome, reason string) {
	delete(c.jobs, j.ID)
	retry := time.Duration(0)
	if outcome == work.NotRun {
		retry = leastRetry
	}
	c.emit(Answer{
		Tickets: j.tickets, Job: j.ID, Outcome: outcome, Reason: reason, RetryAfter: retry,
		Tasks: j.Count, Expected: j.expected, Age: now.Sub(j.Arrived),
	})
	for _, t := range j.tasks {
		if t.at != nil && !t.done {
			c.stopRun(t)
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(t *task) bool { return t.job == j })
}

// giveUp ends a job that can't succeed any more, with a refusal where nothing
// of it has started.
func (c *Core) giveUp(now time.Time, j *job, reason string) {
	if !j.begun {
		c.finish(now, j, work.NotRun, reason)
		return
	}
	c.finish(now, j, work.Unfinished, reason)
}

// stopRun asks the agent to end the task's latest run.
func (c *Core) stopRun(t *task) {
	a := t.at
	run := t.run()
	a.remove(t)
	a.stopping[run] = t.order.Room
	if a.link != 0 {
		c.emit(Stop{Agent: a.key, Link: a.link, Run: run})
	}
	t.at = nil
}

// returned reports whether a run of the task has failed or was moved, so that
// some agents suit it less than its siblings.
func (t *task) returned() bool { return len(t.failedAt) > 0 || len(t.movedFrom) > 0 }

func (t *task) run() work.Run {
	return work.Run{Task: work.Task{Job: t.job.ID, Index: t.index}, Number: t.number}
}

// expireJobs gives up the jobs whose time is over, or can't suffice.
func (c *Core) expireJobs(now time.Time) {
	var over []*job
	for c.ends.Len() > 0 && !now.Before(c.ends.Top().at) {
		if j := c.ends.Pop().job; c.jobs[j.ID] == j {
			over = append(over, j)
		}
	}
	slices.SortFunc(over, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range over {
		c.giveUp(now, j, "the deadline has passed")
	}
}
