package dispatcher_test

import (
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// TestClaimedResultsAreAcknowledgedWhenTheJobEnds lets a takeover gather them
// until then.
func TestClaimedResultsAreAcknowledgedWhenTheJobEnds(t *testing.T) {
	is := is.New(t)
	e := newEntry("one")
	e.announce("a", 4)
	claims := only[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 2, false)}))
	sends := only[dispatcher.Send](e.step(dispatcher.ClaimWon{Claim: claims[0].Claim}))
	is.Equal(len(only[dispatcher.Acknowledge](e.step(finished(sends[0])))), 0)
	is.Equal(len(only[dispatcher.Acknowledge](e.step(finished(sends[1])))), 2)
}

// TestReportsThatNobodyWaitsForAreAcknowledged keeps agents from holding them,
// which would delay their planned stop.
func TestReportsThatNobodyWaitsForAreAcknowledged(t *testing.T) {
	is := is.New(t)
	e := newEntry("one")
	e.announce("a", 4)
	s := e.submission("", 1, false)
	sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: s}))
	is.Equal(len(only[dispatcher.Cancel](e.step(dispatcher.WaitCancelled{Ticket: s.Ticket}))), 1)
	stopped := dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cancelled",
	}}
	is.Equal(len(only[dispatcher.Acknowledge](e.step(stopped))), 1)
}

// TestBrokenReportIsAcknowledged sends a failure that ends a keyless job.
func TestBrokenReportIsAcknowledged(t *testing.T) {
	is := is.New(t)
	e := newEntry("one")
	e.announce("a", 4)
	sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	broken := dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cut",
	}}
	is.Equal(len(only[dispatcher.Acknowledge](e.step(broken))), 1)
}
