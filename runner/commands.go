package runner

import (
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// Command is something that the adapter has to do for the core.
type Command interface{ command() }

// Run sends a task to the minion. It's answered by exactly one of
// MinionAnswered, MinionFailed and MinionUnreached.
type Run struct{ Start task.Start }

// Stop ends the call to the minion that a Run command began.
type Stop struct {
	Task    task.ID
	Attempt task.Attempt
}

// Accept tells an entry that an attempt runs or waits for a slot.
type Accept struct {
	To      task.Process
	Task    task.ID
	Attempt task.Attempt
}

// Refuse tells an entry that an attempt has not run and never will.
type Refuse struct {
	To     task.Process
	Report task.Report
}

// Send carries a final report to an entry.
type Send struct {
	To     task.Process
	Report task.Report
}

// Tell sends the load to an entry at once.
type Tell struct{ To task.Process }

// Announce sends the load to the entries without a link, too.
type Announce struct{}

// AnswerSettle ends a settle call with one report for each attempt, in order.
type AnswerSettle struct {
	Ticket  Ticket
	Reports []task.Report
}

// AnswerFence ends a fence call with a report on each started task of the job,
// by index.
type AnswerFence struct {
	Ticket  Ticket
	Reports []task.Report
}

// AnswerDrain ends a drain call.
type AnswerDrain struct {
	Ticket Ticket
	Load   dispatcher.Load
}

// Reject ends a call that can't be answered; it is evidence of nothing.
type Reject struct {
	Ticket Ticket
	Err    error
}

func (Run) command()          {}
func (Stop) command()         {}
func (Accept) command()       {}
func (Refuse) command()       {}
func (Send) command()         {}
func (Tell) command()         {}
func (Announce) command()     {}
func (AnswerSettle) command() {}
func (AnswerFence) command()  {}
func (AnswerDrain) command()  {}
func (Reject) command()       {}
