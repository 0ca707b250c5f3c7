package runner

import (
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// Command is an action that the adapter has to carry out for the core.
type Command interface{ command() }

// Run sends a task to the minion. The adapter replies with exactly one
// MinionAnswered, MinionFailed or MinionUnreached event.
type Run struct{ Start task.Start }

// Stop cancels the call to the minion that a Run command started.
type Stop struct {
	Task    task.ID
	Attempt task.Attempt
}

// Accept notifies an entry that an attempt is running or queued.
type Accept struct {
	To      task.Process
	Task    task.ID
	Attempt task.Attempt
}

// Refuse notifies an entry that an attempt has not run and never will.
type Refuse struct {
	To     task.Process
	Report task.Report
}

// SendReport sends the final report of a task to an entry.
type SendReport struct {
	To     task.Process
	Report task.Report
}

// SendLoad sends the current load to a connected entry at once.
type SendLoad struct{ To task.Process }

// Announce sends the current load to all entries, those without a link
// included.
type Announce struct{}

// AnswerSettle completes a settle call with one report for each attempt, in the
// order of the call.
type AnswerSettle struct {
	Ticket  Ticket
	Reports []task.Report
}

// AnswerFence completes a fence call with one report for each started task of
// the job, ordered by index.
type AnswerFence struct {
	Ticket  Ticket
	Reports []task.Report
}

// AnswerDrain completes a drain call.
type AnswerDrain struct {
	Ticket Ticket
	Load   dispatcher.Load
}

// Reject completes a call with an error. It proves nothing about whether a task
// has run.
type Reject struct {
	Ticket Ticket
	Err    error
}

func (Run) command()          {}
func (Stop) command()         {}
func (Accept) command()       {}
func (Refuse) command()       {}
func (SendReport) command()   {}
func (SendLoad) command()     {}
func (Announce) command()     {}
func (AnswerSettle) command() {}
func (AnswerFence) command()  {}
func (AnswerDrain) command()  {}
func (Reject) command()       {}
