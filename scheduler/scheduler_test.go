package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// testbed steps a core through simulated time.
type testbed struct {
	core *scheduler.Core
	now  time.Time
	// incarnation counts the minions that were started anew.
	incarnation int
}

// newTestbed returns a core with connected agents, whose minions have ten cores
// each.
func newTestbed(agents int) *testbed {
	b := &testbed{core: scheduler.New(scheduler.Options{Random: rand.New(rand.NewPCG(1, 1))}), now: time.Unix(1_800_000_000, 0)}
	b.connect(0, agents)
	return b
}

// connect connects the agents from one index to below another.
func (b *testbed) connect(from, to int) {
	for i := from; i < to; i++ {
		b.step(scheduler.LinkOpened{Agent: agent(i), Link: uint64(i + 1), Minion: minion(i), Usable: true})
	}
}

func agent(i int) scheduler.AgentID {
	return scheduler.AgentID{Name: fmt.Sprintf("agent-%d", i), Incarnation: 1}
}

func minion(i int) work.Minion {
	return work.Minion{Name: fmt.Sprintf("m-%d", i), Incarnation: 1, Service: "desk", Room: work.Room{CPU: 10_000, Memory: 1000}}
}

func (b *testbed) step(events ...scheduler.Event) []scheduler.Command {
	b.now = b.now.Add(time.Millisecond)
	return b.core.Step(b.now, events)
}

func (b *testbed) advance(elapsed time.Duration) []scheduler.Command {
	b.now = b.now.Add(elapsed)
	return b.step()
}

// submission returns the submission of a job of count tasks, each with one core
// and a hint of 200 ms, that has to be answered within 1.5 s.
func (b *testbed) submission(id string, count int) scheduler.Submitted {
	return scheduler.Submitted{Ticket: 7, Job: work.Job{
		ID: id, Route: "r", Service: "desk", Count: count, Room: work.Room{CPU: 1000}, Hint: 200 * time.Millisecond, Attempts: 3,
		Stretch: 1.6, Allowance: 60 * time.Millisecond, Arrived: b.now, Deadline: b.now.Add(1500 * time.Millisecond),
	}}
}

func (b *testbed) report(p scheduler.Place, report work.Report) []scheduler.Command {
	report.Run = p.Order.Run
	return b.step(scheduler.Reported{Agent: p.Agent, Link: p.Link, Reports: []work.Report{report}})
}

// commandsOf returns the commands of one type.
func commandsOf[T scheduler.Command](commands []scheduler.Command) []T {
	var found []T
	for _, c := range commands {
		if match, ok := c.(T); ok {
			found = append(found, match)
		}
	}
	return found
}

func TestJobIsAnsweredWhenAllTasksAreDone(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 2)))
	is.Equal(len(placed), 2)
	is.Equal(len(commandsOf[scheduler.Answer](b.report(placed[0], work.Report{State: work.Done, Number: 1}))), 0)
	answers := commandsOf[scheduler.Answer](b.report(placed[1], work.Report{State: work.Done, Number: 2}))
	is.Equal(answers[0].Outcome, work.Succeeded)
	is.Equal(answers[0].Tickets, []uint64{7})
}

func TestSubmissionThatNoMinionCanHoldIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	b.advance(time.Second)
	submission := b.submission("a", 2)
	submission.Job.Room.CPU = 20_000
	answers := commandsOf[scheduler.Answer](b.step(submission))
	is.Equal(answers[0].Outcome, work.NotRun)
	is.True(answers[0].RetryAfter > 0)
}

func TestJobWaitsForAgentsAfterTheEntryStarts(t *testing.T) {
	is := is.New(t)
	b := newTestbed(0)
	is.Equal(len(commandsOf[scheduler.Answer](b.step(b.submission("a", 1)))), 0)
	out := b.step(scheduler.LinkOpened{Agent: agent(0), Link: 1, Minion: minion(0), Usable: true})
	is.Equal(len(commandsOf[scheduler.Place](out)), 1)
	b = newTestbed(0)
	b.step(b.submission("a", 1))
	answers := commandsOf[scheduler.Answer](b.advance(time.Second))
	is.Equal(answers[0].Outcome, work.NotRun) // No agent has connected.
}

func TestStartedJobIsAnsweredAsUnfinished(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	b.report(placed[0], work.Report{State: work.Started})
	answers := commandsOf[scheduler.Answer](b.advance(2 * time.Second))
	is.Equal(answers[0].Outcome, work.Unfinished)
}

func TestJobWhoseRunsWereAllRefusedIsNotRun(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	b.report(placed[0], work.Report{State: work.Refused, Reason: work.ReasonLeaving, Number: 1})
	b.step(scheduler.LinkClosed{Agent: agent(0), Link: 1})
	answers := commandsOf[scheduler.Answer](b.advance(time.Second))
	is.Equal(answers[0].Outcome, work.NotRun)
}

func TestTaskThatUsesUpItsAttemptsEndsItsJob(t *testing.T) {
	is := is.New(t)
	b := newTestbed(3)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	agents := map[string]bool{}
	for range 2 {
		agents[placed[0].Agent.Name] = true
		placed = commandsOf[scheduler.Place](b.report(placed[0], work.Report{State: work.Failed, Number: 1}))
		is.Equal(len(placed), 1)
	}
	agents[placed[0].Agent.Name] = true
	is.Equal(len(agents), 3) // Each attempt goes to another minion.
	answers := commandsOf[scheduler.Answer](b.report(placed[0], work.Report{State: work.Failed, Number: 2}))
	is.Equal(answers[0].Outcome, work.Exhausted)
}

func TestRunNumberSkipsThoseSeenByTheMinion(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	placed = commandsOf[scheduler.Place](b.report(placed[0], work.Report{State: work.Refused, Reason: work.ReasonOld, Number: 1}))
	is.True(placed[0].Order.Run.Number > 10) // Above the numbers that an earlier submission may have used.
}

func TestTasksAreStoppedWhenTheirCallerLeaves(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.step(b.submission("a", 2))
	is.Equal(len(commandsOf[scheduler.Stop](b.step(scheduler.Withdrawn{Job: "a", Ticket: 7}))), 2)
}

// Guards against answering a cancelled job as unfinished, after which callers
// submit it again.
func TestCancelledJobIsAnsweredAsCancelled(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.step(b.submission("a", 2))
	out := b.step(scheduler.Cancelled{Job: "a"})
	is.Equal(len(commandsOf[scheduler.Stop](out)), 2)
	is.Equal(commandsOf[scheduler.Answer](out)[0].Outcome, work.Cancelled)
}

func TestLostOrderIsPlacedAgainAfterReconnect(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	// The run may still be running.
	is.Equal(len(commandsOf[scheduler.Place](b.step(scheduler.LinkClosed{Agent: agent(0), Link: 1}))), 0)
	out := b.step(scheduler.LinkOpened{Agent: agent(0), Link: 2, Minion: minion(0), Usable: true})
	retries := commandsOf[scheduler.Place](out)
	is.Equal(len(retries), 1)
	is.True(retries[0].Order.Run.Number > placed[0].Order.Run.Number)
}

func TestTaskOfADisconnectedAgentWaitsForLeaseExpiry(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	submission := b.submission("a", 1)
	submission.Job.Deadline = b.now.Add(10 * time.Second)
	placed := commandsOf[scheduler.Place](b.step(submission))
	b.step(scheduler.LinkClosed{Agent: placed[0].Agent, Link: placed[0].Link})
	is.Equal(len(commandsOf[scheduler.Place](b.advance(1400*time.Millisecond))), 0)
	again := commandsOf[scheduler.Place](b.advance(300 * time.Millisecond))
	is.Equal(len(again), 1)
	is.True(again[0].Agent != placed[0].Agent)
}

func TestSlowRunMovesToAMinionThatEndsItInTime(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	slow := work.Load{Running: work.Room{CPU: 1000}, Slowness: 1.6}
	b.step(scheduler.Reported{Agent: placed[0].Agent, Link: placed[0].Link, Load: &slow})
	out := b.report(placed[0], work.Report{State: work.Started, Took: time.Second, Remaining: 900 * time.Millisecond})
	is.Equal(len(commandsOf[scheduler.Stop](out)), 1)
	again := commandsOf[scheduler.Place](b.report(placed[0], work.Report{State: work.Stopped, Number: 1}))
	is.True(again[0].Agent != placed[0].Agent)
}

// Guards against giving up jobs by projections from five percent of progress,
// which ended four jobs that would have been in time.
func TestUncertainProjectionDoesNotEndTheJob(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	projection := work.Report{State: work.Started, Took: 2 * time.Second, Remaining: 1800 * time.Millisecond}
	is.Equal(len(commandsOf[scheduler.Answer](b.report(placed[0], projection))), 0)
	projection.Reliable = true
	answers := commandsOf[scheduler.Answer](b.report(placed[0], projection))
	is.Equal(answers[0].Outcome, work.Unfinished)
}

// Guards against an objective past the deadline, which jobs with much work had.
// Runs that were going to miss their deadline were then not detected.
func TestObjectiveIsAtMostTheDeadline(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	submission := b.submission("a", 1)
	submission.Job.Hint = 1200 * time.Millisecond
	placed := commandsOf[scheduler.Place](b.step(submission))
	projection := work.Report{State: work.Started, Took: 2000 * time.Millisecond, Remaining: 1620 * time.Millisecond, Reliable: true}
	is.Equal(len(commandsOf[scheduler.Answer](b.report(placed[0], projection))), 1)
}

// Guards against an objective before the arrival, which jobs of a route with a large
// stretch had since the product overflowed. Their runs counted as late at once.
func TestObjectiveWithALargeStretchIsTheDeadline(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	submission := b.submission("a", 1)
	submission.Job.Stretch = 1e12
	submission.Job.Allowance = 365 * 24 * time.Hour
	placed := commandsOf[scheduler.Place](b.step(submission))
	is.Equal(len(placed), 1)
	is.True(placed[0].Order.StartBefore.After(b.now))
}

// A failing minion is avoided while another has room, long before it is
// ejected, so its ejection shows only where all others are full.
func TestFailingMinionIsAvoidedWhileAnotherHasRoom(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	failed := 0
	for i := range 40 {
		for _, p := range commandsOf[scheduler.Place](b.step(b.submission(fmt.Sprint("job-", i), 1))) {
			if p.Agent != agent(0) {
				b.report(p, work.Report{State: work.Done})
				continue
			}
			failed++
			again := commandsOf[scheduler.Place](b.report(p, work.Report{State: work.Failed}))
			is.Equal(again[0].Agent, agent(1)) // The retry goes to the other minion.
			b.report(again[0], work.Report{State: work.Done})
		}
	}
	is.True(failed >= 1)
	is.True(failed <= 2)
}

func TestEjectedMinionGetsSingleTrialsWithBackoff(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	full := work.Load{Running: work.Room{CPU: 10_000, Memory: 1000}, QueuedWork: 2 * time.Second}
	b.step(scheduler.Reported{Agent: agent(1), Link: 2, Load: &full})
	submitted := 0
	// submitAndReport submits a few jobs, ends each run that is placed at the
	// minion with room in the given state, and returns the number of these runs.
	submitAndReport := func(state work.State) int {
		placed := 0
		for range 5 {
			submitted++
			id := fmt.Sprint("job-", submitted)
			for _, p := range commandsOf[scheduler.Place](b.step(b.submission(id, 1))) {
				is.Equal(p.Agent, agent(0))
				placed++
				b.report(p, work.Report{State: state})
			}
			b.step(scheduler.Cancelled{Job: id})
		}
		return placed
	}
	is.Equal(submitAndReport(work.Failed), 3) // Ejected by three consecutive failures.
	backoff := 500 * time.Millisecond
	for range 5 {
		b.advance(backoff - 200*time.Millisecond)
		is.Equal(submitAndReport(work.Done), 0)
		b.advance(200 * time.Millisecond)
		is.Equal(submitAndReport(work.Failed), 1) // A single trial, then a backoff twice as long.
		backoff = min(2*backoff, 4*time.Second)
	}
	b.advance(backoff)
	is.Equal(submitAndReport(work.Done), 5) // Its first success ends the ejection.
}

// Guards against further runs at an ejected minion before its trial has ended.
func TestEjectedMinionRunsOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	for i := range 3 {
		id := fmt.Sprint("job-", i)
		placed := commandsOf[scheduler.Place](b.step(b.submission(id, 1)))
		b.report(placed[0], work.Report{State: work.Failed})
		b.step(scheduler.Cancelled{Job: id})
	}
	b.advance(time.Second)
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.submission("a", 4)))), 1)
	is.Equal(len(commandsOf[scheduler.Place](b.advance(100*time.Millisecond))), 0)
}

// Guards against sending a task to a minion again at once after it was refused
// as crowded, which happened six times in a row.
func TestMinionThatRefusesAsCrowdedIsBackedOff(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	crowded := work.Report{State: work.Refused, Reason: work.ReasonCrowded, Number: 1}
	is.Equal(len(commandsOf[scheduler.Place](b.report(placed[0], crowded))), 0)
	is.Equal(len(commandsOf[scheduler.Place](b.advance(5*time.Millisecond))), 0)
	// The backoff ends without an event of the agent.
	is.Equal(len(commandsOf[scheduler.Place](b.advance(20*time.Millisecond))), 1)
}

// The room of an order is added to the agent's load only until the load includes it.
func TestLoadCountsEachOrderOnce(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	for i := range 10 {
		is.Equal(len(commandsOf[scheduler.Place](b.step(b.submission(fmt.Sprint("job-", i), 1)))), 1)
	}
	load := work.Load{Running: work.Room{CPU: 9000}, QueuedWork: time.Second}
	// The load includes the first nine orders, and the tenth fills the minion.
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, OrdersTaken: 9})
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.submission("full", 1)))), 0)
	// The load includes all ten orders, one run has ended: there is room for one.
	b.step(scheduler.Cancelled{Job: "full"})
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load, OrdersTaken: 10})
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.submission("fits", 1)))), 1)
}

// An agent that was silent for less than the time after which its runs can't be
// running any more keeps them: nothing starts elsewhere, and its ends count.
func TestRunsOfAnAgentThatWasSilentForAWhileGoOn(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	submission := b.submission("a", 1)
	submission.Job.Deadline = b.now.Add(5 * time.Second)
	p := commandsOf[scheduler.Place](b.step(submission))[0]
	out := b.step(scheduler.LinkClosed{Agent: p.Agent, Link: p.Link})
	for range 15 { // 1.5 s
		out = append(out, b.advance(99*time.Millisecond)...)
	}
	held := []work.Report{{Run: p.Order.Run, State: work.Started}}
	for i := range 2 {
		if agent(i) == p.Agent {
			out = append(out, b.step(scheduler.LinkOpened{Agent: p.Agent, Link: 100, Reports: held, Minion: minion(i), Usable: true})...)
		}
	}
	out = append(out, b.advance(time.Second)...)
	is.Equal(len(commandsOf[scheduler.Place](out))+len(commandsOf[scheduler.Stop](out))+len(commandsOf[scheduler.Answer](out)), 0)
	p.Link = 100
	answers := commandsOf[scheduler.Answer](b.report(p, work.Report{State: work.Done, Number: 1}))
	is.Equal(answers[0].Outcome, work.Succeeded)
}
