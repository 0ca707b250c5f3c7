package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"agatevalve/common/work"
)

// job is a submission that has not been answered.
type job struct {
	work.Job

	// tickets identify the callers that wait for the answer; never empty.
	tickets []uint64
	tasks   []*task
	// unfinishedTasks counts the tasks that are not done.
	unfinishedTasks int
	// mayHaveStarted is true while possibleStarts is above 0.
	mayHaveStarted bool
	// possibleStarts counts the runs that were sent to agents and are not known
	// to have never started.
	possibleStarts int
	// expectedWork is the expected runtime of one task at a minion of mean speed.
	expectedWork time.Duration
	// longestWork is the largest work observed of any task; 0 before the first
	// observation.
	longestWork time.Duration
	// remoteFactor is the factor by which tasks take longer away from their data.
	remoteFactor float64
	// objective is the latest time at which the answer counts as on time, given
	// the work known so far.
	objective time.Time
	// onProbation is the task that is on probation; nil for none. Until it has
	// survived no other task of the job is started.
	onProbation *task
	// cleared is true once a task has survived its probation, or succeeded.
	cleared bool
	// unplaceableAt is the time of the last placement pass in which a task of the
	// job found no agent.
	unplaceableAt time.Time
}

// jobDeadline is an element of the heap of deadlines. It keeps no job in memory
// that has ended.
type jobDeadline struct {
	deadline time.Time
	id       string
}

// setObjective sets the latency objective by the work of the longest task.
func (j *job) setObjective(longest time.Duration) { j.objective = j.objectiveFor(longest) }

// objectiveFor returns the latency objective if the longest task needs the
// given work; at most the deadline.
func (j *job) objectiveFor(longest time.Duration) time.Time {
	stretched := j.Stretch * float64(longest)
	if stretched >= float64(j.Deadline.Sub(j.Arrived)) { // It may be too large for a duration.
		return j.Deadline
	}
	objective := j.Arrived.Add(time.Duration(stretched) + j.Allowance)
	if objective.After(j.Deadline) {
		return j.Deadline
	}
	return objective
}

// observeWork updates the expected work and the objective by the observed work
// of one task. Tasks of one job are alike, so it applies to the others too; but
// it is only as accurate as the known slowness of the minion, so the
// expectation moves only halfway, in logarithms.
func (j *job) observeWork(observed time.Duration) {
	j.expectedWork = time.Duration(math.Sqrt(float64(observed) * float64(j.expectedWork)))
	if observed > j.longestWork {
		j.longestWork = observed
		j.setObjective(observed)
	}
}

// task is one task of a job, with the state of its latest run.
type task struct {
	job   *job
	index int
	// runNumber is the number of the latest run, or before the first one the highest
	// number that the last submission of the job used; 0 if there was none.
	runNumber int
	// agent has the latest run; nil while the task waits.
	agent *agent
	// inLoad is true once the agent's load includes the latest run.
	inLoad bool
	// done is true once a run has ended as Done.
	done bool
	// failures counts the runs that ended as Failed.
	failures int
	// failedMinions are the names of the minions where runs failed.
	failedMinions []string
	// movedFrom are the names of the minions that the task was moved away from.
	movedFrom []string
	// placedAt is the time at which the latest run was sent.
	placedAt time.Time
	// order is the latest order that was sent, and expectedRuntime the runtime
	// that was then expected at its agent.
	order           work.Order
	expectedRuntime time.Duration
	// dataWait is the wait for room near the data; zero if the task doesn't wait
	// for it.
	dataWait dataWait
}

// Event is an input of a Core.
type Event interface{ apply(c *Core, now time.Time) }

// Submitted is the arrival of a job. Ticket identifies its caller.
type Submitted struct {
	Job    work.Job
	Ticket uint64
}

// Withdrawn is the departure of a caller that waits for a job.
type Withdrawn struct {
	Job    string
	Ticket uint64
}

// Cancelled is a request to stop a job for all callers that wait for it.
type Cancelled struct{ Job string }

func (ev Submitted) apply(c *Core, now time.Time) {
	if j := c.jobs[ev.Job.ID]; j != nil {
		j.tickets = append(j.tickets, ev.Ticket) // Idempotent: it runs once, all callers are answered.
		c.boundByStop(&ev.Job)
		if ev.Job.Deadline.After(j.Deadline) {
			c.moveDeadline(j, ev.Job.Deadline)
		}
		return
	}
	if c.answerCondemned(now, ev) {
		return
	}
	ev.Job.Room, ev.Job.Hint = ev.Job.Room.Bounded(), work.BoundedDuration(ev.Job.Hint)
	c.boundByStop(&ev.Job)
	j := &job{Job: ev.Job, tickets: []uint64{ev.Ticket}, unfinishedTasks: ev.Job.Count}
	j.expectedWork = c.estimator.estimate(ev.Job.Route, ev.Job.Hint)
	j.setObjective(j.expectedWork)
	j.remoteFactor = c.locality.learner.Factor(j.Route)
	c.bulkheads.demand.add(now, j.Route, demandOf(j))
	if reason, retry := c.checkAdmission(now, j); reason != "" {
		c.emit(Answer{
			Tickets: j.tickets, Job: j.ID, Outcome: work.NotRun, Reason: reason, RetryAfter: retry,
			Tasks: j.Count, Expected: j.expectedWork, Age: now.Sub(j.Arrived), UntilDeadline: j.Deadline.Sub(now),
		})
		return
	}
	c.arrivals.add(now, j.Priority, demandOf(j))
	c.jobs[j.ID] = j
	c.deadlines.Push(jobDeadline{deadline: j.Deadline, id: j.ID})
	j.tasks = make([]*task, j.Count)
	for i := range j.tasks {
		j.tasks[i] = &task{job: j, index: i, runNumber: c.usedNumbers.highest[j.ID].number}
		c.enqueue(j.tasks[i])
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

// enqueue adds a task to those that wait for a place.
func (c *Core) enqueue(t *task) {
	t.agent, t.inLoad = nil, false
	c.waiting = append(c.waiting, t)
	c.placementDue = true
}

// finish answers a job, stops its runs and removes its waiting tasks.
func (c *Core) finish(now time.Time, j *job, outcome work.Outcome, reason string) {
	retry := time.Duration(0)
	if outcome == work.NotRun {
		retry = minRetryAfter
	}
	c.finishWithRetry(now, j, outcome, reason, retry)
}

// finishWithRetry is finish with the time after which the caller may expect free
// capacity.
func (c *Core) finishWithRetry(now time.Time, j *job, outcome work.Outcome, reason string, retry time.Duration) {
	delete(c.jobs, j.ID)
	c.usedNumbers.record(now, j)
	c.emit(Answer{
		Tickets: j.tickets, Job: j.ID, Outcome: outcome, Reason: reason, RetryAfter: retry,
		Tasks: j.Count, Expected: j.expectedWork, Age: now.Sub(j.Arrived), UntilDeadline: j.Deadline.Sub(now),
	})
	for _, t := range j.tasks {
		if t.agent != nil && !t.done {
			c.stopRun(t)
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(t *task) bool { return t.job == j })
}

// giveUp ends a job that can't succeed any more: as NotRun if none of its tasks
// can have started, and as Unfinished otherwise.
func (c *Core) giveUp(now time.Time, j *job, reason string) {
	retry := minRetryAfter
	if reason == reasonEvacuated {
		retry = maxRetryAfter
	}
	c.giveUpWithRetry(now, j, reason, retry)
}

// giveUpWithRetry is giveUp with the Retry-After of a job that is not run.
func (c *Core) giveUpWithRetry(now time.Time, j *job, reason string, retry time.Duration) {
	if !j.mayHaveStarted {
		c.finishWithRetry(now, j, work.NotRun, reason, retry)
		return
	}
	c.finish(now, j, work.Unfinished, reason)
}

// stopRun asks the agent to stop the latest run of a task.
func (c *Core) stopRun(t *task) {
	a := t.agent
	run := t.run()
	a.removeRun(t)
	c.endProbation(a, t)
	c.addStopping(a, run)
	if a.link != 0 {
		c.emit(Stop{Agent: a.id, Link: a.link, Run: run})
	}
	t.agent = nil
}

// avoidsMinions reports whether a run of the task has failed or was moved, in
// which case some agents suit it less than they suit the other tasks of its
// job.
func (t *task) avoidsMinions() bool { return len(t.failedMinions) > 0 || len(t.movedFrom) > 0 }

// id returns the name of the task.
func (t *task) id() work.Task { return work.Task{Job: t.job.ID, Index: t.index} }

// run returns the name of the latest run.
func (t *task) run() work.Run { return work.Run{Task: t.id(), Number: t.runNumber} }

// expireJobs gives up the jobs whose deadline has passed.
func (c *Core) expireJobs(now time.Time) {
	var expired []*job
	for c.deadlines.Len() > 0 && !now.Before(c.deadlines.Top().deadline) {
		if j := c.jobs[c.deadlines.Pop().id]; j != nil && !now.Before(j.Deadline) && !slices.Contains(expired, j) {
			expired = append(expired, j)
		}
	}
	slices.SortFunc(expired, func(a, b *job) int { return strings.Compare(a.ID, b.ID) })
	for _, j := range expired {
		c.giveUp(now, j, c.lateReason(j, "the deadline has passed"))
	}
}
