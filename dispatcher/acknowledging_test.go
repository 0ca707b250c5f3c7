package dispatcher_test

import (
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// TestClaimedResultsAreAcknowledgedWhenTheJobEnds checks that agents keep the
// results of a claimed job until it ends, so that a takeover can collect them.
func TestClaimedResultsAreAcknowledgedWhenTheJobEnds(t *testing.T) {
	is := is.New(t)
	e := newTestEntry("one")
	e.announce("a", 4)
	claims := commandsOf[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 2, false)}))
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.ClaimWon{Claim: claims[0].Claim}))
	is.Equal(len(commandsOf[dispatcher.Acknowledge](e.step(finishedEvent(sends[0])))), 0)
	is.Equal(len(commandsOf[dispatcher.Acknowledge](e.step(finishedEvent(sends[1])))), 2)
}

// TestStrayReportsAreAcknowledged checks that an entry acknowledges reports
// that no job waits for. Otherwise agents would keep them, which would delay
// their planned stop.
func TestStrayReportsAreAcknowledged(t *testing.T) {
	is := is.New(t)
	e := newTestEntry("one")
	e.announce("a", 4)
	s := e.submission("", 1, false)
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: s}))
	is.Equal(len(commandsOf[dispatcher.Cancel](e.step(dispatcher.WaitCancelled{Ticket: s.Ticket}))), 1)
	stopped := dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cancelled",
	}}
	is.Equal(len(commandsOf[dispatcher.Acknowledge](e.step(stopped))), 1)
}

// TestBrokenReportIsAcknowledged checks that a failure that ends a keyless job
// is acknowledged.
func TestBrokenReportIsAcknowledged(t *testing.T) {
	is := is.New(t)
	e := newTestEntry("one")
	e.announce("a", 4)
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	broken := dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cut",
	}}
	is.Equal(len(commandsOf[dispatcher.Acknowledge](e.step(broken))), 1)
}
