package runner

import (
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// Ticket identifies a call that waits for its answer. The adapter makes it
// unique within the process.
type Ticket uint64

// Event is an input of the core: a message, a result of the minion, or the
// passing of time.
type Event interface{ event() }

// StartReceived carries a start that was received over an entry's link.
type StartReceived struct {
	From  task.Process
	Start task.Start
}

// StartUnreadable identifies the attempt of a received start whose other fields
// could not be decoded.
type StartUnreadable struct {
	From    task.Process
	Task    task.ID
	Attempt task.Attempt
}

// Cancelled means that no caller waits for the attempt any more.
type Cancelled struct {
	Task    task.ID
	Attempt task.Attempt
}

// Acknowledged means that the entry has received the result of an attempt. The
// result of a claimed task is kept until it expires or its space is needed; any
// other is released at once.
type Acknowledged struct {
	Task    task.ID
	Attempt task.Attempt
}

// SettleRequested requests reports on attempts. Those that have not started
// never will.
type SettleRequested struct {
	// Ticket is answered by exactly one AnswerSettle command.
	Ticket   Ticket
	Attempts []dispatcher.AttemptRef
}

// FenceRequested requests that all starts of a job below a generation be
// refused from now on.
type FenceRequested struct {
	// Ticket is answered by exactly one AnswerFence or Reject command.
	Ticket Ticket
	Fence  dispatcher.Fence
}

// DrainRequested requests that the agent start or stop draining.
type DrainRequested struct {
	// Ticket is answered by exactly one AnswerDrain command.
	Ticket Ticket
	// Leave is true to drain, and false to accept starts again.
	Leave bool
}

// LinkOpened means that an entry has connected.
type LinkOpened struct{ Entry task.Process }

// LinkClosed means that an entry is no longer connected.
type LinkClosed struct{ Entry task.Process }

// RevisionReported carries the configuration revision that is in force at an entry.
type RevisionReported struct{ Revision uint64 }

// MinionAnswered completes a Run command with a complete response.
type MinionAnswered struct {
	Task     task.ID
	Attempt  task.Attempt
	Response task.Response
}

// MinionFailed completes a Run command without a complete response. The minion
// may have run the task.
type MinionFailed struct {
	Task    task.ID
	Attempt task.Attempt
	// Reason is a sentence that operators and callers read.
	Reason string
}

// MinionUnreached completes a Run command of which nothing reached the minion:
// there was no connection to write to, or the call was stopped or its deadline
// passed before there was one.
type MinionUnreached struct {
	Task    task.ID
	Attempt task.Attempt
}

// Tick lets the core apply the deadlines and expiries that have passed.
type Tick struct{}

func (StartReceived) event()    {}
func (StartUnreadable) event()  {}
func (Cancelled) event()        {}
func (Acknowledged) event()     {}
func (SettleRequested) event()  {}
func (FenceRequested) event()   {}
func (DrainRequested) event()   {}
func (LinkOpened) event()       {}
func (LinkClosed) event()       {}
func (RevisionReported) event() {}
func (MinionAnswered) event()   {}
func (MinionFailed) event()     {}
func (MinionUnreached) event()  {}
func (Tick) event()             {}
