package dispatcher_test

import (
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// TestEditOfARouteKeepsEarlierCallers makes a route with keys idempotent no
// more. A job that failed before the edit must not hide the claimed one that
// came after it.
func TestEditOfARouteKeepsEarlierCallers(t *testing.T) {
	is := is.New(t)
	e := newEntry("one")
	e.announce("a", 4)
	sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, true)}))
	replies := only[dispatcher.Reply](e.step(dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cut",
	}}))
	is.Equal(replies[0].Answer.Outcome, task.Failed)

	// The edit comes here.
	claims := only[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)}))
	is.Equal(len(claims), 1)
	sends = only[dispatcher.Send](e.step(dispatcher.ClaimWon{Claim: claims[0].Claim}))
	is.Equal(len(sends), 1)
	again := e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)})
	is.Equal(len(again), 0) // It joins the claimed job.
	is.Equal(len(only[dispatcher.Reply](e.step(finished(sends[0])))), 2)
}
