package dispatcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

func TestRunsOfOneIdempotentKeyNeverShareATaskID(t *testing.T) {
	is := is.New(t)
	var ids []task.JobID
	e := newEntry("one")
	e.announce("a", 2)
	for range 2 {
		s := e.submission("k", 1, true)
		sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: s}))
		is.Equal(len(sends), 1)
		ids = append(ids, sends[0].Start.Task.Job)
		broken := dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
			Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cut",
		}}
		is.Equal(len(only[dispatcher.Reply](e.step(broken))), 1)
	}
	is.True(ids[0] != ids[1]) // an agent would give one the other's answer
}

func TestKeyedJobWithoutClaimIsNeverCalledNotRun(t *testing.T) {
	is, e := begin(t, "one")
	e.step(dispatcher.Submitted{Submission: e.submission("k", 1, true)})
	e.now = e.now.Add(10 * time.Second)
	replies := only[dispatcher.Reply](e.step(dispatcher.Tick{}))
	is.Equal(replies[0].Answer.Outcome, task.MayHaveRun) // it may have run at another entry
}

func TestSettleNamesOnlyAttemptsWhoseLinkBroke(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 4)
	old := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))[0]
	e.step(dispatcher.LinkLost{Agent: old.Agent.Process})
	running := task.Report{Task: old.Start.Task, Attempt: old.Start.Attempt, State: task.Running}
	e.step(dispatcher.Settled{Agent: old.Agent.Process, Reports: []task.Report{running}})
	fresh := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	is.Equal(len(fresh), 1)
	e.now = e.now.Add(300 * time.Millisecond)
	settles := only[dispatcher.Settle](e.step(dispatcher.Tick{}))
	is.Equal(len(settles), 1)
	is.Equal(len(settles[0].Attempts), 1) // a question that overtakes a start withdraws it
	is.Equal(settles[0].Attempts[0].Task, old.Start.Task)
}

func TestWorkThatTheStoreHeldBackKeepsNoNewWorkOut(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 1)
	var claims []dispatcher.WriteClaim
	for _, key := range []task.Key{"k", "l", "m", "n", "o", "p", "q"} {
		claims = append(claims, only[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission(key, 1, false)}))...)
	}
	e.now = e.now.Add(time.Second)
	for _, c := range claims {
		e.step(dispatcher.ClaimWon(c))
	}
	refusals := func() int {
		return len(only[dispatcher.Reply](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)})))
	}
	e.now = e.now.Add(1900 * time.Millisecond)
	is.Equal(refusals(), 0)
	e.now = e.now.Add(200 * time.Millisecond)
	is.Equal(refusals(), 1) // twice the time that the store held the claims has passed
}
