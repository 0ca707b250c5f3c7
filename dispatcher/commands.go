package dispatcher

import (
	"time"

	"agatevalve/common/task"
)

// Command is an action that the adapter carries out for the core.
type Command interface{ command() }

// Answer is the final result of a submission.
type Answer struct {
	Outcome task.Outcome
	// Responses holds one response per task, in the order of the submission, if
	// Outcome is Complete.
	Responses []task.Response
	// Reason and Remedy are sentences for the caller; empty if Outcome is
	// Complete.
	Reason string
	Remedy string
	// Status is the HTTP status of a refusal or failure.
	Status int
	// RetryAt is the time at which a retry may succeed; zero if unknown.
	RetryAt time.Time
}

// Reply answers the waiting caller of a ticket.
type Reply struct {
	Ticket Ticket
	// Known is false in reply to AnswerRequested if this entry doesn't hold the
	// job.
	Known  bool
	Answer Answer
}

// WriteClaim inserts a claim unless the job has one. It is answered by
// ClaimWon, ClaimHeld or ClaimFailed.
type WriteClaim struct{ Claim Claim }

// ReplaceClaim replaces Old by Claim, which has a higher generation, if Old is
// still stored (compare-and-swap). It is answered like WriteClaim.
type ReplaceClaim struct {
	Old   Claim
	Claim Claim
}

// AskOwner fetches the answer of a job from the owner of its claim. It is
// answered by OwnerAnswered or OwnerLost.
type AskOwner struct {
	Claim    Claim
	Deadline time.Time
}

// Fence makes an agent refuse all starts of a job below Generation, and
// remember the job's started tasks until Deadline. It is answered by Fenced or
// FenceFailed.
type Fence struct {
	Agent      Peer
	Job        task.JobID
	Generation task.Generation
	Deadline   time.Time
}

// SendStart sends the start of an attempt to an agent.
type SendStart struct {
	Agent Peer
	Start task.Start
}

// Cancel tells an agent to stop an attempt whose response is no longer needed.
type Cancel struct {
	Agent Peer
	Ref   AttemptRef
}

// Acknowledge tells an agent that it may drop a result. The result of a claimed
// task is acknowledged once the job's callers have their answer, any other on
// arrival.
type Acknowledge struct {
	Agent Peer
	Ref   AttemptRef
}

// Settle asks an agent, over a new connection, for the state of attempts whose
// link broke. The agent never starts those among them that it has not started
// yet. It is answered by Settled or SettleFailed.
type Settle struct {
	Agent    Peer
	Attempts []AttemptRef
}

func (Reply) command()        {}
func (WriteClaim) command()   {}
func (ReplaceClaim) command() {}
func (AskOwner) command()     {}
func (Fence) command()        {}
func (SendStart) command()    {}
func (Cancel) command()       {}
func (Acknowledge) command()  {}
func (Settle) command()       {}
