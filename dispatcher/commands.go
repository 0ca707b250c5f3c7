package dispatcher

import (
	"time"

	"agatevalve/common/task"
)

// Command is something that the adapter has to do for the core.
type Command interface{ command() }

// Answer is the end of a submission.
type Answer struct {
	Outcome task.Outcome
	// Responses has one entry per task, in order, when Outcome is Complete.
	Responses []task.Response
	// Reason and Remedy are sentences for the caller, unless Complete.
	Reason string
	Remedy string
	// Status is the HTTP status of a refusal or failure.
	Status int
	// RetryAt is when a new try may succeed; zero when that isn't known.
	RetryAt time.Time
}

// Reply ends the wait of one ticket.
type Reply struct {
	Ticket Ticket
	// Known is false in reply to Asked when the job isn't held here.
	Known  bool
	Answer Answer
}

// WriteClaim asks for insert-if-absent of a claim. It's answered by ClaimWon,
// ClaimHeld or ClaimFailed.
type WriteClaim struct{ Claim Claim }

// TakeClaim asks to replace Old, only if it still stands, by Claim, which has a
// higher generation. It's answered like WriteClaim.
type TakeClaim struct {
	Old   Claim
	Claim Claim
}

// AskOwner asks the owner of a claim for the answer of its job. It's answered
// by OwnerAnswered or OwnerLost.
type AskOwner struct {
	Claim    Claim
	Deadline time.Time
}

// Fence asks one agent to refuse all starts of a job below Generation, and to
// remember the job's started tasks until Deadline. It's answered by Fenced or
// FenceFailed.
type Fence struct {
	Agent      Peer
	Job        task.JobID
	Generation task.Generation
	Deadline   time.Time
}

// Send sends a start to an agent.
type Send struct {
	Agent Peer
	Start task.Start
}

// Cancel tells an agent to stop an attempt that nobody waits for.
type Cancel struct {
	Agent Peer
	Sent  Sent
}

// Acknowledge tells an agent that a result has arrived: that of a claimed task
// once the job's callers have their answer, all others at once.
type Acknowledge struct {
	Agent Peer
	Sent  Sent
}

// Settle asks an agent, over a new connection, about attempts whose link broke.
// It's answered by Settled or SettleFailed.
type Settle struct {
	Agent Peer
	Tasks []Sent
}

func (Reply) command()       {}
func (WriteClaim) command()  {}
func (TakeClaim) command()   {}
func (AskOwner) command()    {}
func (Fence) command()       {}
func (Send) command()        {}
func (Cancel) command()      {}
func (Acknowledge) command() {}
func (Settle) command()      {}
