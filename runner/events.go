package runner

import (
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// Ticket names one waiting call; the adapter makes it unique per process.
type Ticket uint64

// Event is something that happened outside the core.
type Event interface{ event() }

// Arrived is a start that came over an entry's link.
type Arrived struct {
	From  task.Process
	Start task.Start
}

// Unreadable is a start that names its attempt and can't be read otherwise.
type Unreadable struct {
	From    task.Process
	Task    task.ID
	Attempt task.Attempt
}

// Cancelled means that nobody waits for an attempt any more.
type Cancelled struct {
	Task    task.ID
	Attempt task.Attempt
}

// Acknowledged means that the entry has the result of an attempt. A claimed
// task's is kept until it expires or its room is needed, all others are
// forgotten at once.
type Acknowledged struct {
	Task    task.ID
	Attempt task.Attempt
}

// Settled asks about attempts. Those that haven't started never will.
type Settled struct {
	// Ticket receives exactly one AnswerSettle command.
	Ticket Ticket
	Tasks  []dispatcher.AttemptRef
}

// Fenced forbids the starts of a job below a generation.
type Fenced struct {
	// Ticket receives exactly one AnswerFence or Reject command.
	Ticket Ticket
	Fence  dispatcher.Fence
}

// Drained makes the agent leave, or stay again.
type Drained struct {
	// Ticket receives exactly one AnswerDrain command.
	Ticket Ticket
	Leave  bool
}

// LinkOpened means that an entry has connected.
type LinkOpened struct{ Entry task.Process }

// LinkClosed means that an entry has no link any more.
type LinkClosed struct{ Entry task.Process }

// Heard carries the configuration revision that an entry has in force.
type Heard struct{ Revision uint64 }

// MinionAnswered is the whole response to a Run command.
type MinionAnswered struct {
	Task     task.ID
	Attempt  task.Attempt
	Response task.Response
}

// MinionFailed ends a Run command without a whole response. The minion may
// have run the task.
type MinionFailed struct {
	Task    task.ID
	Attempt task.Attempt
	// Reason is a sentence for people.
	Reason string
}

// MinionUnreached ends a Run command of which the minion got nothing: there was
// no connection to write to, or the call was stopped or late before there was.
type MinionUnreached struct {
	Task    task.ID
	Attempt task.Attempt
}

// Tick means that time has passed.
type Tick struct{}

func (Arrived) event()         {}
func (Unreadable) event()      {}
func (Cancelled) event()       {}
func (Acknowledged) event()    {}
func (Settled) event()         {}
func (Fenced) event()          {}
func (Drained) event()         {}
func (LinkOpened) event()      {}
func (LinkClosed) event()      {}
func (Heard) event()           {}
func (MinionAnswered) event()  {}
func (MinionFailed) event()    {}
func (MinionUnreached) event() {}
func (Tick) event()            {}
