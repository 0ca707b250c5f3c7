package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// fill takes all room of the first agent by tasks of this entry, with a queue.
func (b *bench) fill() {
	b.step(b.job("full", 10))
	load := work.Load{Running: work.Room{CPU: 10_000, Memory: 1000}, Queued: work.Room{CPU: 2000}, QueuedWork: 2 * time.Second}
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, Taken: 10})
}

// The priority of routes was read and not used.
func TestLowerPriorityValueGoesFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.fill()
	for i, priority := range []int{2, 0, 1} {
		job := b.job(fmt.Sprint("priority-", priority), 1)
		job.Job.Priority = priority
		job.Job.Hint -= time.Duration(20*i) * time.Millisecond
		is.Equal(len(find[scheduler.Place](b.step(job))), 0)
	}
	var order []string
	out := b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &work.Load{}, Taken: 10})
	for _, p := range find[scheduler.Place](out) {
		order = append(order, p.Order.Run.Job)
		is.Equal("priority-"+fmt.Sprint(p.Order.Priority), p.Order.Run.Job)
	}
	is.Equal(order, []string{"priority-0", "priority-1", "priority-2"})
}

// Jobs that could no more be on time for a long queue were begun and given up.
func TestJobBehindTooMuchWorkIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.fill()
	refused := find[scheduler.Answer](nil)
	accepted := 0
	for i := range 60 {
		answers := find[scheduler.Answer](b.step(b.job(fmt.Sprint("job-", i), 4)))
		refused = append(refused, answers...)
		accepted += 1 - len(answers)
	}
	// 10 cores have done four tasks of 200 ms in 80 ms, and 180 ms may pass.
	is.True(accepted >= 2)
	is.True(accepted <= 12)
	is.Equal(refused[0].Outcome, work.NotRun)
	is.True(refused[0].RetryAfter >= time.Second)
	urgent := b.job("urgent", 1)
	urgent.Job.Priority = -1
	is.Equal(len(find[scheduler.Answer](b.step(urgent))), 0) // Nothing waits before it.
}

// A job that will be late for its own work alone is served late.
func TestNothingIsRefusedForAQueueWhileNothingWaits(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	job := b.job("late-by-itself", 6)
	job.Job.Stretch, job.Job.Allowance = 0.5, 0
	out := b.step(job)
	is.Equal(len(find[scheduler.Answer](out)), 0)
	is.Equal(len(find[scheduler.Place](out)), 6)
}

// Entries filled a full minion's queue again and again, and 7 of 10 runs came back.
func TestFullMinionIsSentNoMoreThanItsQueueTakes(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	load := work.Load{Running: work.Room{CPU: 10_000, Memory: 1000}}
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load})
	is.Equal(len(find[scheduler.Place](b.step(b.job("a", 5)))), 1) // Until it is heard of.
	load.Queued = work.Room{CPU: 1000}
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, Taken: 1})
	load.Queued = work.Room{CPU: 2000}
	is.Equal(len(find[scheduler.Place](b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, Taken: 2}))), 0)
}

// Jobs that waited behind a queue were held to their deadline, and then refused.
func TestLateJobIsToldWhenTooMuchGoesBeforeIt(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.fill()
	late := b.job("late", 1)
	is.Equal(len(find[scheduler.Answer](b.step(late))), 0)
	var answers []scheduler.Answer
	for i := range 120 { // Urgent work comes all the time.
		job := b.job(fmt.Sprint("urgent-", i), 4)
		job.Job.Priority = -1
		answers = append(answers, find[scheduler.Answer](b.step(job))...)
		answers = append(answers, find[scheduler.Answer](b.pass(9*time.Millisecond))...)
		for _, a := range answers {
			if a.Job == "late" {
				is.Equal(a.Outcome, work.NotRun)
				is.True(a.RetryAfter >= time.Second)
				is.True(a.Age < 1300*time.Millisecond) // Another could still do its 200 ms before 1.5 s.
				return
			}
		}
	}
	t.Fatal("the late job was not told")
}
