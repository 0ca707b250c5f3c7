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
	e := newTestEntry("one")
	e.announce("a", 2)
	for range 2 {
		s := e.submission("k", 1, true)
		sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: s}))
		is.Equal(len(sends), 1)
		ids = append(ids, sends[0].Start.Task.Job)
		broken := dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
			Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cut",
		}}
		is.Equal(len(commandsOf[dispatcher.Reply](e.step(broken))), 1)
	}
	is.True(ids[0] != ids[1]) // otherwise an agent would answer one run with the result of the other
}

func TestUnsentKeyedJobWithoutClaimMayHaveRun(t *testing.T) {
	is, e := setUp(t, "one")
	e.step(dispatcher.Submitted{Submission: e.submission("k", 1, true)})
	e.now = e.now.Add(10 * time.Second)
	replies := commandsOf[dispatcher.Reply](e.step(dispatcher.Tick{}))
	is.Equal(replies[0].Answer.Outcome, task.MayHaveRun) // it may have run at another entry
}

func TestSettleNamesOnlyAttemptsWhoseLinkBroke(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 4)
	old := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))[0]
	e.step(dispatcher.LinkLost{Agent: old.Agent.Process})
	running := task.Report{Task: old.Start.Task, Attempt: old.Start.Attempt, State: task.Running}
	e.step(dispatcher.Settled{Agent: old.Agent.Process, Reports: []task.Report{running}})
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	is.Equal(len(sends), 1)
	e.now = e.now.Add(300 * time.Millisecond)
	settles := commandsOf[dispatcher.Settle](e.step(dispatcher.Tick{}))
	is.Equal(len(settles), 1)
	is.Equal(len(settles[0].Attempts), 1) // an agent never starts an attempt whose Settle overtakes its start
	is.Equal(settles[0].Attempts[0].Task, old.Start.Task)
}

// TestStoreOutageDoesNotCauseRefusals checks that jobs which wait long because
// the store held back their claims don't make the entry refuse new work.
func TestStoreOutageDoesNotCauseRefusals(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 1)
	var claims []dispatcher.WriteClaim
	for _, key := range []task.Key{"k", "l", "m", "n", "o", "p", "q"} {
		claims = append(claims, commandsOf[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission(key, 1, false)}))...)
	}
	e.now = e.now.Add(time.Second)
	for _, c := range claims {
		e.step(dispatcher.ClaimWon(c))
	}
	refusals := func() int {
		return len(commandsOf[dispatcher.Reply](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)})))
	}
	e.now = e.now.Add(1900 * time.Millisecond)
	is.Equal(refusals(), 0)
	e.now = e.now.Add(200 * time.Millisecond)
	is.Equal(refusals(), 1) // the catch-up time, twice the delay of the claims, has passed
}
