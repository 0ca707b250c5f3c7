package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// placedJobs returns the jobs of the orders in their order.
func placedJobs(commands []scheduler.Command) []string {
	var jobs []string
	for _, p := range commandsOf[scheduler.Place](commands) {
		jobs = append(jobs, p.Order.Run.Job)
	}
	return jobs
}

// freeRoom reports a load that leaves room for a number of tasks at the first
// agent.
func (b *testbed) freeRoom(tasks int64, ordersTaken uint64) []scheduler.Command {
	load := work.Load{Running: work.Room{CPU: 10_000 - 1000*tasks, Memory: 1}}
	return b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, OrdersTaken: ordersTaken})
}

// Guards against jobs of which some tasks run while others wait behind new jobs
// until they are too late, by which the work done for the former is lost.
func TestTasksOfStartedJobsGoFirst(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.freeRoom(1, 0)
	wide := b.submission("wide", 3)
	wide.Job.Priority = 2
	placed := len(commandsOf[scheduler.Place](b.step(wide)))
	is.True(placed > 0 && placed < 3) // The rest waits.
	urgent := b.submission("urgent", 3)
	is.Equal(len(placedJobs(b.step(urgent))), 0)
	order := placedJobs(b.freeRoom(10, uint64(placed)))
	is.Equal(len(order), 6-placed)
	is.Equal(order[0], "wide")
	is.Equal(order[len(order)-1], "urgent")
}

// Guards against late work that fills minions in an overload, so that all that
// arrives finds them full and is late too.
func TestLateWorkLeavesRoomForWorkThatCanBeOnTime(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.fillFirstAgent()
	for i := range 6 {
		is.Equal(len(commandsOf[scheduler.Answer](b.step(b.submission(fmt.Sprint("late-", i), 1)))), 0)
	}
	b.advance(300 * time.Millisecond)               // Its objective is 380 ms after its arrival, its tasks take 200 ms.
	is.Equal(len(placedJobs(b.freeRoom(6, 10))), 5) // The last core is kept free.
	is.Equal(placedJobs(b.step(b.submission("new", 1))), []string{"new"})
}

// Guards against late tasks that are larger than the room that late work may fill,
// and would never run.
func TestLateTaskThatTakesAWholeMinionRunsOnAnIdleOne(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.fillFirstAgent()
	large := b.submission("large", 1)
	large.Job.Room.CPU = 9_500
	b.step(large)
	b.advance(300 * time.Millisecond)
	is.Equal(len(placedJobs(b.freeRoom(9, 10))), 0)
	is.Equal(placedJobs(b.freeRoom(10, 10)), []string{"large"})
}

// Late work is done wherever nothing else needs the room.
func TestLateWorkOfAStartedJobTakesAllRoom(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.freeRoom(1, 0)
	placed := len(commandsOf[scheduler.Place](b.step(b.submission("started", 8))))
	b.advance(300 * time.Millisecond)
	is.Equal(len(placedJobs(b.freeRoom(int64(8-placed), uint64(placed)))), 8-placed)
}

// Guards against admitting work of low priority because little waits before it
// now, while urgent jobs that keep arriving will take all room.
func TestArrivingUrgentWorkCountsInTheAdmission(t *testing.T) {
	for _, busy := range []bool{false, true} {
		t.Run(fmt.Sprint(busy), func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(1)
			if busy { // Urgent work for some 90% of the ten cores for two seconds.
				for i := range 45 {
					urgent := b.submission(fmt.Sprint("urgent-", i), 9)
					urgent.Job.Priority = -1
					for n, p := range commandsOf[scheduler.Place](b.step(urgent)) {
						b.report(p, work.Report{State: work.Done, Took: 200 * time.Millisecond, Number: uint64(100*i + n + 1)})
					}
					b.freeRoom(10, uint64(9*(i+1)))
					b.advance(30 * time.Millisecond)
				}
			}
			b.fillFirstAgent()
			b.step(b.submission("before", 2))
			later := b.submission("later", 2)
			later.Job.Hint += 100 * time.Millisecond
			refused := len(commandsOf[scheduler.Answer](b.step(later))) > 0
			is.Equal(refused, busy)
		})
	}
}

// Guards against urgent tasks that wait at their entry while the queues of all
// agents are full of less urgent ones.
func TestUrgentTaskIsSentWhereLessUrgentOnesAreQueued(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	load := work.Load{Running: work.Room{CPU: 10_000}, Queued: work.Room{CPU: 3000}, QueuedWork: time.Second, LeastUrgent: 2}
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load})
	same := b.submission("same", 1)
	same.Job.Priority = 2
	is.Equal(len(placedJobs(b.step(same))), 0)
	is.Equal(placedJobs(b.step(b.submission("urgent", 3))), []string{"urgent", "urgent"}) // No more until the agent reports.
}

// Guards against refusals by an entry that has just started and knows the first
// of its agents only. After a loss of power it refused a fifth of the callers of
// the next two seconds.
func TestStartingEntryRefusesNothingForABacklog(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	placed := 0
	for i := range 40 {
		out := b.step(b.submission(fmt.Sprint("job-", i), 2))
		is.Equal(len(commandsOf[scheduler.Answer](out)), 0)
		placed += len(commandsOf[scheduler.Place](out))
	}
	for i := range 9 {
		out := b.step(scheduler.LinkOpened{Agent: agent(i + 1), Link: uint64(i + 2), Minion: minion(i + 1), Usable: true})
		placed += len(commandsOf[scheduler.Place](out))
	}
	is.Equal(placed, 80)
}

func TestNextStepIsByTheNextDeadline(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	_, due := b.core.NextStep(b.now)
	is.True(!due) // Nothing is unanswered.
	b.step(b.submission("a", 1))
	next, due := b.core.NextStep(b.now)
	is.True(due)
	is.Equal(next.Sub(b.now), 50*time.Millisecond)
	b.advance(1480 * time.Millisecond)
	next, _ = b.core.NextStep(b.now)
	is.True(next.Sub(b.now) < 20*time.Millisecond) // Its deadline.
	b = newTestbed(1)
	b.fillFirstAgent()
	b.step(b.submission("waits", 1))
	next, _ = b.core.NextStep(b.now)
	is.Equal(next.Sub(b.now), 10*time.Millisecond) // A backoff may end.
}
