package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// fillFirstAgent fills the first agent with tasks of this entry, and reports
// that others are queued there.
func (b *testbed) fillFirstAgent() {
	b.step(b.submission("full", 10))
	load := work.Load{Running: work.Room{CPU: 10_000, Memory: 1000}, Queued: work.Room{CPU: 2000}, QueuedWork: 2 * time.Second}
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, OrdersTaken: 10})
}

// Guards against ignoring the priority of routes.
func TestLowerPriorityValueGoesFirst(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.fillFirstAgent()
	for i, priority := range []int{2, 0, 1} {
		submission := b.submission(fmt.Sprint("priority-", priority), 1)
		submission.Job.Priority = priority
		submission.Job.Hint -= time.Duration(20*i) * time.Millisecond
		is.Equal(len(commandsOf[scheduler.Place](b.step(submission))), 0)
	}
	var order []string
	out := b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &work.Load{}, OrdersTaken: 10})
	for _, p := range commandsOf[scheduler.Place](out) {
		order = append(order, p.Order.Run.Job)
		is.Equal("priority-"+fmt.Sprint(p.Order.Priority), p.Order.Run.Job)
	}
	is.Equal(order, []string{"priority-0", "priority-1", "priority-2"})
}

// Guards against starting jobs that a long backlog makes late, and giving them
// up later.
func TestJobThatTheBacklogMakesLateIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second) // All agents have connected by now.
	b.fillFirstAgent()
	refused := commandsOf[scheduler.Answer](nil)
	accepted := 0
	for i := range 60 {
		answers := commandsOf[scheduler.Answer](b.step(b.submission(fmt.Sprint("job-", i), 4)))
		refused = append(refused, answers...)
		accepted += 1 - len(answers)
	}
	// Each job adds about 80 ms to the backlog: four tasks of 200 ms on ten cores.
	// Its objective is 380 ms away and it runs for 200 ms, so it may wait for 180
	// ms. Therefore about two of the 60 jobs are admitted.
	is.True(accepted >= 2)
	is.True(accepted <= 12)
	is.Equal(refused[0].Outcome, work.NotRun)
	is.True(refused[0].RetryAfter >= time.Second)
	urgent := b.submission("urgent", 1)
	urgent.Job.Priority = -1
	is.Equal(len(commandsOf[scheduler.Answer](b.step(urgent))), 0) // No waiting task goes before it.
}

// A job that its own work alone makes late is still run.
func TestNoJobIsRefusedWithoutABacklog(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	submission := b.submission("late-by-itself", 6)
	submission.Job.Stretch, submission.Job.Allowance = 0.5, 0
	out := b.step(submission)
	is.Equal(len(commandsOf[scheduler.Answer](out)), 0)
	is.Equal(len(commandsOf[scheduler.Place](out)), 6)
}

// Guards against entries that fill the queue of a full minion again and again,
// by which 7 of 10 runs were refused.
func TestFullMinionIsSentNoMoreThanItsQueueHolds(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	load := work.Load{Running: work.Room{CPU: 10_000, Memory: 1000}}
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load})
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.submission("a", 5)))), 1) // No more until the load includes the first.
	load.Queued = work.Room{CPU: 1000}
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, OrdersTaken: 1})
	load.Queued = work.Room{CPU: 2000}
	is.Equal(len(commandsOf[scheduler.Place](b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, OrdersTaken: 2}))), 0)
}

// Guards against holding jobs that wait behind a backlog until their deadline,
// only to refuse them then.
func TestLateJobBehindUrgentWorkIsAnsweredBeforeItsDeadline(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.fillFirstAgent()
	late := b.submission("late", 1)
	is.Equal(len(commandsOf[scheduler.Answer](b.step(late))), 0)
	var answers []scheduler.Answer
	for i := range 120 { // Urgent jobs keep arriving.
		submission := b.submission(fmt.Sprint("urgent-", i), 4)
		submission.Job.Priority = -1
		answers = append(answers, commandsOf[scheduler.Answer](b.step(submission))...)
		answers = append(answers, commandsOf[scheduler.Answer](b.advance(9*time.Millisecond))...)
		for _, a := range answers {
			if a.Job == "late" {
				is.Equal(a.Outcome, work.NotRun)
				is.True(a.RetryAfter >= time.Second)
				// Early enough for another entry to do its 200 ms within 1.5 s.
				is.True(a.Age < 1300*time.Millisecond)
				return
			}
		}
	}
	t.Fatal("the late job was not answered")
}
