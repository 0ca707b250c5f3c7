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
	first  = task.Process{Name: "entry-1", Incarnation: 1}
	second = task.Process{Name: "entry-2", Incarnation: 2}
)

func newCore() *runner.Core {
	return runner.New(runner.Options{
		Slots: 1, QueueLength: 1, Remember: 4, ResponseBytes: 1000, ResultBytes: 3000,
	})
}

func startOf(index int) task.Start {
	return task.Start{Task: task.ID{Index: index}, Attempt: 1, Generation: 1, Deadline: epoch.Add(10 * time.Second)}
}

func arrived(index int) runner.Arrived { return runner.Arrived{From: first, Start: startOf(index)} }

func answered(index, bytes int) runner.MinionAnswered {
	return runner.MinionAnswered{
		Task: task.ID{Index: index}, Attempt: 1, Response: task.Response{Status: 200, Body: make([]byte, bytes)},
	}
}

// refusals returns why the starts among the commands were refused.
func refusals(commands []runner.Command) []task.Refusal {
	var out []task.Refusal
	for _, c := range commands {
		if r, ok := c.(runner.Refuse); ok {
			out = append(out, r.Report.Refusal)
		}
	}
	return out
}

// pick returns the commands of one type.
func pick[T runner.Command](commands []runner.Command) []T {
	var out []T
	for _, c := range commands {
		if t, ok := c.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func TestQueueIsShortAndMovesUp(t *testing.T) {
	is := is.New(t)
	c := newCore()
	is.Equal(len(pick[runner.Run](c.Step(epoch, arrived(0)))), 1)
	is.Equal(len(pick[runner.Run](c.Step(epoch, arrived(1)))), 0)
	is.Equal(refusals(c.Step(epoch, arrived(2))), []task.Refusal{task.Busy})
	runs := pick[runner.Run](c.Step(epoch, answered(0, 1)))
	is.Equal(runs[0].Start.Task.Index, 1)
	is.Equal(refusals(c.Step(epoch, arrived(2))), []task.Refusal{task.Withdrawn})
}

func TestRefusals(t *testing.T) {
	late := epoch.Add(10 * time.Second)
	job := task.JobID{}
	for name, c := range map[string]struct {
		before runner.Event
		at     time.Time
		want   task.Refusal
	}{
		"late":      {runner.Tick{}, late, task.Late},
		"leaving":   {runner.Drained{Leave: true}, epoch, task.Leaving},
		"cancelled": {runner.Cancelled{Attempt: 1}, epoch, task.Withdrawn},
		"settled":   {runner.Settled{Tasks: []dispatcher.AttemptRef{{Attempt: 1, Deadline: late}}}, epoch, task.Withdrawn},
		"unreadable": {
			runner.Unreadable{From: first, Attempt: 1}, epoch, task.Withdrawn,
		},
		"stale owner": {
			runner.Fenced{Fence: dispatcher.Fence{Job: job, Generation: 2, Deadline: late}}, epoch, task.StaleOwner,
		},
		"doubled": {
			runner.Arrived{From: first, Start: task.Start{Attempt: 2, Deadline: late}}, epoch, task.Doubled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newCore()
			core.Step(epoch, c.before)
			is.Equal(refusals(core.Step(c.at, arrived(0))), []task.Refusal{c.want})
		})
	}
}

func TestPausedAgentStartsNothingLate(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, arrived(0))
	c.Step(epoch, arrived(1))
	is.Equal(c.NextWake(), epoch.Add(10*time.Second))
	// The process was frozen; the minion's answer and a start were waiting.
	thawed := epoch.Add(12 * time.Second)
	commands := c.Step(thawed, answered(0, 1))
	is.Equal(len(pick[runner.Run](commands)), 0)
	is.Equal(refusals(commands), []task.Refusal{task.Late})
	is.Equal(len(pick[runner.Run](c.Step(thawed, arrived(2)))), 0)
}

func TestLeaseStopsTheTask(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, runner.LinkOpened{Entry: first})
	c.Step(epoch, arrived(0))
	is.Equal(len(pick[runner.Stop](c.Step(c.NextWake(), runner.Tick{}))), 1)
	is.Equal(c.Load().Running, 1) // The slot is free only when the call has ended.
	sent := pick[runner.Send](c.Step(c.NextWake(), runner.MinionFailed{Attempt: 1, Reason: "context canceled"}))
	is.Equal(sent[0].Report.State, task.Broken)
	is.Equal(sent[0].Report.Reason, "stopped at its deadline")
}

func TestFullResultsRefuseUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for i := range 3 {
		c.Step(epoch, arrived(i))
		c.Step(epoch, answered(i, 900))
	}
	is.Equal(refusals(c.Step(epoch, arrived(3))), []task.Refusal{task.Full})
	c.Step(epoch, runner.Acknowledged{Task: task.ID{Index: 1}, Attempt: 1})
	again := arrived(3)
	again.Start.Attempt = 2
	is.Equal(len(pick[runner.Run](c.Step(epoch, again))), 1)
	is.Equal(c.Quiet(), false)
}

func TestLargeResponseIsBroken(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, runner.LinkOpened{Entry: first})
	c.Step(epoch, arrived(0))
	is.Equal(pick[runner.Send](c.Step(epoch, answered(0, 1000)))[0].Report.State, task.Broken)
}

func TestFencesAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCore()
	for i := range 5 {
		fence := dispatcher.Fence{Job: task.JobID{byte(i)}, Generation: 1, Deadline: epoch.Add(time.Second)}
		rejected := pick[runner.Reject](c.Step(epoch, runner.Fenced{Fence: fence}))
		is.Equal(len(rejected) == 1, i == 4)
		if len(rejected) == 1 {
			is.Equal(fault.KindOf(rejected[0].Err), fault.Unavailable)
		}
	}
	fence := dispatcher.Fence{Job: task.JobID{9}, Generation: 1, Deadline: epoch.Add(time.Minute)}
	is.Equal(len(pick[runner.AnswerFence](c.Step(c.NextWake(), runner.Fenced{Fence: fence}))), 1)
}

func TestFenceTellsAllThatStarted(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, arrived(0))
	c.Step(epoch, answered(0, 5))
	c.Step(epoch, arrived(2))
	c.Step(epoch, arrived(1))
	fence := dispatcher.Fence{Generation: 2, Deadline: epoch.Add(20 * time.Second)}
	commands := c.Step(epoch, runner.Fenced{Fence: fence})
	is.Equal(refusals(commands), []task.Refusal{task.StaleOwner})
	reports := pick[runner.AnswerFence](commands)[0].Reports
	is.Equal(len(reports), 2)
	is.Equal(reports[0].State, task.Finished)
	is.Equal(reports[1].State, task.Running)
	// The fence keeps the job's tasks beyond their own deadline.
	c.Step(epoch.Add(18*time.Second), runner.Tick{})
	again := pick[runner.AnswerFence](c.Step(epoch.Add(18*time.Second), runner.Fenced{Fence: fence}))
	is.Equal(len(again[0].Reports), 2)
}

func TestResultWaitsForItsEntry(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, arrived(0))
	is.Equal(len(pick[runner.Send](c.Step(epoch, answered(0, 5)))), 0)
	is.Equal(len(pick[runner.Send](c.Step(epoch, runner.LinkOpened{Entry: second}))), 0)
	is.Equal(len(pick[runner.Send](c.Step(epoch, runner.LinkOpened{Entry: first}))), 1)
	// A doubled start is answered with the result, and doesn't run.
	commands := c.Step(epoch, runner.Arrived{From: second, Start: startOf(0)})
	is.Equal(pick[runner.Send](commands)[0].Report.State, task.Finished)
	is.Equal(len(pick[runner.Run](commands)), 0)
	c.Step(epoch, runner.Acknowledged{Attempt: 1})
	is.True(c.Quiet())
}

func TestCancelStopsOnce(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, arrived(0))
	c.Step(epoch, arrived(1))
	is.Equal(len(pick[runner.Stop](c.Step(epoch, runner.Cancelled{Attempt: 1}))), 1)
	is.Equal(len(pick[runner.Stop](c.Step(epoch, runner.Cancelled{Attempt: 1}))), 0)
	queued := runner.Cancelled{Task: task.ID{Index: 1}, Attempt: 1}
	is.Equal(refusals(c.Step(epoch, queued)), []task.Refusal{task.Withdrawn})
}

func TestNewsGoesToAllEntries(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, runner.LinkOpened{Entry: first})
	c.Step(epoch, runner.LinkOpened{Entry: second})
	is.Equal(len(pick[runner.Tell](c.Step(epoch, runner.Heard{Revision: 5}))), 2)
	is.Equal(len(pick[runner.Tell](c.Step(epoch, runner.Heard{Revision: 4}))), 0)
	is.Equal(c.Load().Revision, uint64(5))
	commands := c.Step(epoch, runner.Drained{Leave: true})
	is.Equal(len(pick[runner.Tell](commands)), 2)
	is.Equal(len(pick[runner.Announce](commands)), 1)
	is.True(pick[runner.AnswerDrain](commands)[0].Load.Leaving)
	c.Step(epoch, runner.Drained{Leave: false})
	is.Equal(len(pick[runner.Run](c.Step(epoch, arrived(0)))), 1)
}

func TestUnreachedTaskIsRefusedForItsCause(t *testing.T) {
	unreached := runner.MinionUnreached{Attempt: 1}
	for want, before := range map[task.Refusal]runner.Event{
		task.Unreachable: runner.Tick{},
		task.Withdrawn:   runner.Cancelled{Attempt: 1},
	} {
		c := newCore()
		c.Step(epoch, arrived(0))
		c.Step(epoch, before)
		is.New(t).Equal(refusals(c.Step(epoch, unreached)), []task.Refusal{want})
	}
	c := newCore()
	c.Step(epoch, arrived(0))
	is.New(t).Equal(refusals(c.Step(c.NextWake(), unreached)), []task.Refusal{task.Late})
}

// TestClaimedResultStaysForATakeoverAndDelaysNoStop acknowledges the result of a
// claimed task.
func TestClaimedResultStaysForATakeoverAndDelaysNoStop(t *testing.T) {
	is := is.New(t)
	c := newCore()
	c.Step(epoch, runner.LinkOpened{Entry: first})
	start := startOf(0)
	start.Generation = 1
	c.Step(epoch, runner.Arrived{From: first, Start: start})
	c.Step(epoch, answered(0, 5))
	is.True(!c.Quiet()) // The owner may not have it.
	c.Step(epoch, runner.LinkClosed{Entry: first})
	is.Equal(len(pick[runner.Send](c.Step(epoch, runner.LinkOpened{Entry: first}))), 1)
	c.Step(epoch, runner.Acknowledged{Attempt: 1})
	is.True(c.Quiet())
	c.Step(epoch, runner.LinkClosed{Entry: first})
	is.Equal(len(pick[runner.Send](c.Step(epoch, runner.LinkOpened{Entry: first}))), 0)
	fence := dispatcher.Fence{Generation: 2, Deadline: start.Deadline}
	reports := pick[runner.AnswerFence](c.Step(epoch, runner.Fenced{Fence: fence}))[0].Reports
	is.Equal(reports[0].State, task.Finished)
}
