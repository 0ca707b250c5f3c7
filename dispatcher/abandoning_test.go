package dispatcher_test

import (
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// TestJobWithoutWaitersIsNotTakenOver checks that an entry gives up a job that
// another entry owns if its caller cancels while the claim is being written.
// The owner may since have answered its own caller that nothing ran.
func TestJobWithoutWaitersIsNotTakenOver(t *testing.T) {
	held := dispatcher.Claim{Owner: task.Process{Name: "two", Incarnation: 1}, Generation: 2, Token: 7}
	notRun := dispatcher.Answer{Outcome: task.NotRun, Status: 504}
	tests := map[string]func(id task.JobID) dispatcher.Event{
		"proved not to have run": func(id task.JobID) dispatcher.Event {
			return dispatcher.OwnerAnswered{Job: id, Known: true, Answer: notRun}
		},
		"unknown to its owner": func(id task.JobID) dispatcher.Event { return dispatcher.OwnerAnswered{Job: id} },
		"owner lost":           func(id task.JobID) dispatcher.Event { return dispatcher.OwnerLost{Job: id} },
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newTestEntry("one")
			e.announce("a", 1)
			s := e.submission("k", 1, false)
			e.step(dispatcher.Submitted{Submission: s})
			e.step(dispatcher.WaitCancelled{Ticket: s.Ticket})
			held := held
			held.Job, held.Team, held.Digest, held.Deadline = s.Job, s.Team, s.Digest, s.Deadline
			e.step(dispatcher.ClaimHeld{Claim: held})
			is.Equal(len(commandsOf[dispatcher.ReplaceClaim](e.step(event(s.Job)))), 0)
			is.True(e.core.Idle())
		})
	}
}
