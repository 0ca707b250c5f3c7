package runner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

var (
	firstEntry  = task.Process{Name: "entry-1", Incarnation: 1}
	secondEntry = task.Process{Name: "entry-2", Incarnation: 2}
)

func newCore() *runner.Core {
	return runner.New(runner.Options{
		Slots: 1, QueueLength: 1, Remember: 4, ResponseBytes: 1000, ResultBytes: 3000,
	})
}

// startOf returns the first attempt of the task with the given index.
func startOf(index int) task.Start {
	return task.Start{Task: task.ID{Index: index}, Attempt: 1, Generation: 1, Deadline: epoch.Add(10 * time.Second)}
}

func startReceived(index int) runner.StartReceived {
	return runner.StartReceived{From: firstEntry, Start: startOf(index)}
}

// minionAnswered returns the event for a response with a body of the given
// size.
func minionAnswered(index, bytes int) runner.MinionAnswered {
	return runner.MinionAnswered{
		Task: task.ID{Index: index}, Attempt: 1, Response: task.Response{Status: 200, Body: make([]byte, bytes)},
	}
}

// refusals returns the reasons of the Refuse commands.
func refusals(commands []runner.Command) []task.Refusal {
	var out []task.Refusal
	for _, c := range commands {
		if r, ok := c.(runner.Refuse); ok {
			out = append(out, r.Report.Refusal)
		}
	}
	return out
}

// commandsOf returns the commands of one type.
func commandsOf[T runner.Command](commands []runner.Command) []T {
	var out []T
	for _, c := range commands {
		if t, ok := c.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func TestQueueIsBoundedAndStartsItsFirstTask(t *testing.T) {
	is := is.New(t)
	c := newCore()
	is.Equal(len(commandsOf[runner.Run](c.Step(epoch, startReceived(0)))), 1)
	is.Equal(len(commandsOf[runner.Run](c.Step(epoch, startReceived(1)))), 0)
	is.Equal(refusals(c.Step(epoch, startReceived(2))), []task.Refusal{task.Busy})
	runs := commandsOf[runner.Run](c.Step(epoch, minionAnswered(0, 1)))
	is.Equal(runs[0].Start.Task.Index, 1)
	is.Equal(refusals(c.Step(epoch, startReceived(2))), []task.Refusal{task.Withdrawn})
}

func TestRefusals(t *testing.T) {
	late := epoch.Add(10 * time.Second)
	job := task.JobID{}
	for name, c := range map[string]struct {
		earlier runner.Event
		at      time.Time
		want    task.Refusal
	}{
		"late":      {runner.Tick{}, late, task.Late},
		"leaving":   {runner.DrainRequested{Leave: true}, epoch, task.Leaving},
		"cancelled": {runner.Cancelled{Attempt: 1}, epoch, task.Withdrawn},
		"settled":   {runner.SettleRequested{Attempts: []dispatcher.AttemptRef{{Attempt: 1, Deadline: late}}}, epoch, task.Withdrawn},
		"unreadable": {
			runner.StartUnreadable{From: firstEntry, Attempt: 1}, epoch, task.Withdrawn,
		},
		"stale owner": {
			runner.FenceRequested{Fence: dispatcher.Fence{Job: job, Generation: 2, Deadline: late}}, epoch, task.StaleOwner,
		},
		"doubled": {
			runner.StartReceived{From: firstEntry, Start: task.Start{Attempt: 2, Deadline: late}}, epoch, task.Doubled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newCore()
			core.Step(epoch, c.earlier)
			is.Equal(refusals(core.Step(c.at, startReceived(0))), []task.Refusal{c.want})
		})
	}
}

// TestPausedAgentStartsNothingAfterTheDeadline guards against a queued task
// that starts late. While the agent's process is paused, the minion's answer to
// the running task and another start arrive, and they are handled after the
// deadline.
func TestPausedAgentStartsNothingAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, startReceived(0))
	c.Step(epoch, startReceived(1))
	is.Equal(c.NextWake(), epoch.Add(10*time.Second))
	resumed := epoch.Add(12 * time.Second)
	commands := c.Step(resumed, minionAnswered(0, 1))
	is.Equal(len(commandsOf[runner.Run](commands)), 0)
	is.Equal(refusals(commands), []task.Refusal{task.Late})
	is.Equal(len(commandsOf[runner.Run](c.Step(resumed, startReceived(2)))), 0)
}

func TestRunningTaskIsStoppedAtItsDeadline(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, runner.LinkOpened{Entry: firstEntry})
	c.Step(epoch, startReceived(0))
	is.Equal(len(commandsOf[runner.Stop](c.Step(c.NextWake(), runner.Tick{}))), 1)
	is.Equal(c.Load().Running, 1) // The slot is free only when the call has ended.
	sent := commandsOf[runner.SendReport](c.Step(c.NextWake(), runner.MinionFailed{Attempt: 1, Reason: "context canceled"}))
	is.Equal(sent[0].Report.State, task.Broken)
	is.Equal(sent[0].Report.Reason, "stopped at its deadline")
}

func TestFullResultsRefuseStartsUntilOneIsAcknowledged(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for i := range 3 {
		c.Step(epoch, startReceived(i))
		c.Step(epoch, minionAnswered(i, 900))
	}
	is.Equal(refusals(c.Step(epoch, startReceived(3))), []task.Refusal{task.Full})
	c.Step(epoch, runner.Acknowledged{Task: task.ID{Index: 1}, Attempt: 1})
	retry := startReceived(3)
	retry.Start.Attempt = 2
	is.Equal(len(commandsOf[runner.Run](c.Step(epoch, retry))), 1)
	is.Equal(c.Idle(), false)
}

func TestTooLargeResponseEndsAsBroken(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, runner.LinkOpened{Entry: firstEntry})
	c.Step(epoch, startReceived(0))
	is.Equal(commandsOf[runner.SendReport](c.Step(epoch, minionAnswered(0, 1000)))[0].Report.State, task.Broken)
}

func TestFencesAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for i := range 5 {
		fence := dispatcher.Fence{Job: task.JobID{byte(i)}, Generation: 1, Deadline: epoch.Add(time.Second)}
		rejected := commandsOf[runner.Reject](c.Step(epoch, runner.FenceRequested{Fence: fence}))
		is.Equal(len(rejected) == 1, i == 4)
		if len(rejected) == 1 {
			is.Equal(fault.KindOf(rejected[0].Err), fault.Unavailable)
		}
	}
	fence := dispatcher.Fence{Job: task.JobID{9}, Generation: 1, Deadline: epoch.Add(time.Minute)}
	is.Equal(len(commandsOf[runner.AnswerFence](c.Step(c.NextWake(), runner.FenceRequested{Fence: fence}))), 1)
}

func TestFenceReportsAllStartedTasks(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, startReceived(0))
	c.Step(epoch, minionAnswered(0, 5))
	c.Step(epoch, startReceived(2))
	c.Step(epoch, startReceived(1))
	fence := dispatcher.Fence{Generation: 2, Deadline: epoch.Add(20 * time.Second)}
	commands := c.Step(epoch, runner.FenceRequested{Fence: fence})
	is.Equal(refusals(commands), []task.Refusal{task.StaleOwner})
	reports := commandsOf[runner.AnswerFence](commands)[0].Reports
	is.Equal(len(reports), 2)
	is.Equal(reports[0].State, task.Finished)
	is.Equal(reports[1].State, task.Running)
	// The fence's later deadline extends the time for which the job's tasks are remembered.
	c.Step(epoch.Add(18*time.Second), runner.Tick{})
	again := commandsOf[runner.AnswerFence](c.Step(epoch.Add(18*time.Second), runner.FenceRequested{Fence: fence}))
	is.Equal(len(again[0].Reports), 2)
}

func TestResultIsKeptUntilItsEntryConnects(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, startReceived(0))
	is.Equal(len(commandsOf[runner.SendReport](c.Step(epoch, minionAnswered(0, 5)))), 0)
	is.Equal(len(commandsOf[runner.SendReport](c.Step(epoch, runner.LinkOpened{Entry: secondEntry}))), 0)
	is.Equal(len(commandsOf[runner.SendReport](c.Step(epoch, runner.LinkOpened{Entry: firstEntry}))), 1)
	// A duplicate start is answered with the result, and is not run.
	commands := c.Step(epoch, runner.StartReceived{From: secondEntry, Start: startOf(0)})
	is.Equal(commandsOf[runner.SendReport](commands)[0].Report.State, task.Finished)
	is.Equal(len(commandsOf[runner.Run](commands)), 0)
	c.Step(epoch, runner.Acknowledged{Attempt: 1})
	is.True(c.Idle())
}

func TestCancelStopsOnce(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, startReceived(0))
	c.Step(epoch, startReceived(1))
	is.Equal(len(commandsOf[runner.Stop](c.Step(epoch, runner.Cancelled{Attempt: 1}))), 1)
	is.Equal(len(commandsOf[runner.Stop](c.Step(epoch, runner.Cancelled{Attempt: 1}))), 0)
	cancelQueued := runner.Cancelled{Task: task.ID{Index: 1}, Attempt: 1}
	is.Equal(refusals(c.Step(epoch, cancelQueued)), []task.Refusal{task.Withdrawn})
}

func TestLoadChangesAreSentToAllEntries(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, runner.LinkOpened{Entry: firstEntry})
	c.Step(epoch, runner.LinkOpened{Entry: secondEntry})
	is.Equal(len(commandsOf[runner.SendLoad](c.Step(epoch, runner.RevisionReported{Revision: 5}))), 2)
	is.Equal(len(commandsOf[runner.SendLoad](c.Step(epoch, runner.RevisionReported{Revision: 4}))), 0)
	is.Equal(c.Load().Revision, uint64(5))
	commands := c.Step(epoch, runner.DrainRequested{Leave: true})
	is.Equal(len(commandsOf[runner.SendLoad](commands)), 2)
	is.Equal(len(commandsOf[runner.Announce](commands)), 1)
	is.True(commandsOf[runner.AnswerDrain](commands)[0].Load.Leaving)
	c.Step(epoch, runner.DrainRequested{Leave: false})
	is.Equal(len(commandsOf[runner.Run](c.Step(epoch, startReceived(0)))), 1)
}

func TestUnreachedTaskIsRefusedWithItsCause(t *testing.T) {
	unreached := runner.MinionUnreached{Attempt: 1}
	for want, before := range map[task.Refusal]runner.Event{
		task.Unreachable: runner.Tick{},
		task.Withdrawn:   runner.Cancelled{Attempt: 1},
	} {
		c := newCore()
		c.Step(epoch, startReceived(0))
		c.Step(epoch, before)
		is.New(t).Equal(refusals(c.Step(epoch, unreached)), []task.Refusal{want})
	}
	c := newCore()
	c.Step(epoch, startReceived(0))
	is.New(t).Equal(refusals(c.Step(c.NextWake(), unreached)), []task.Refusal{task.Late})
}

// TestAcknowledgedClaimedResultIsKeptWithoutDelayingShutdown checks that the
// acknowledged result of a claimed task is still reported to an entry that
// takes the job over, but is not sent again and does not keep the agent from
// stopping.
func TestAcknowledgedClaimedResultIsKeptWithoutDelayingShutdown(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, runner.LinkOpened{Entry: firstEntry})
	start := startOf(0)
	start.Generation = 1
	c.Step(epoch, runner.StartReceived{From: firstEntry, Start: start})
	c.Step(epoch, minionAnswered(0, 5))
	is.True(!c.Idle()) // The owner may not have received it.
	c.Step(epoch, runner.LinkClosed{Entry: firstEntry})
	is.Equal(len(commandsOf[runner.SendReport](c.Step(epoch, runner.LinkOpened{Entry: firstEntry}))), 1)
	c.Step(epoch, runner.Acknowledged{Attempt: 1})
	is.True(c.Idle())
	c.Step(epoch, runner.LinkClosed{Entry: firstEntry})
	is.Equal(len(commandsOf[runner.SendReport](c.Step(epoch, runner.LinkOpened{Entry: firstEntry}))), 0)
	fence := dispatcher.Fence{Generation: 2, Deadline: start.Deadline}
	reports := commandsOf[runner.AnswerFence](c.Step(epoch, runner.FenceRequested{Fence: fence}))[0].Reports
	is.Equal(reports[0].State, task.Finished)
}
