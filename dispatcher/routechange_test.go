package dispatcher_test

import (
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// TestResubmissionJoinsClaimedJobAfterRouteChange makes the route of a key
// non-idempotent. A job that failed before the change must not hide the claimed
// job that was submitted after it.
func TestResubmissionJoinsClaimedJobAfterRouteChange(t *testing.T) {
	is := is.New(t)
	e := newTestEntry("one")
	e.announce("a", 4)
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, true)}))
	replies := commandsOf[dispatcher.Reply](e.step(dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cut",
	}}))
	is.Equal(replies[0].Answer.Outcome, task.Failed)

	// From here on the route is not idempotent.
	claims := commandsOf[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)}))
	is.Equal(len(claims), 1)
	sends = commandsOf[dispatcher.SendStart](e.step(dispatcher.ClaimWon{Claim: claims[0].Claim}))
	is.Equal(len(sends), 1)
	resubmitted := e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)})
	is.Equal(len(resubmitted), 0) // It joins the claimed job.
	is.Equal(len(commandsOf[dispatcher.Reply](e.step(finishedEvent(sends[0])))), 2)
}
