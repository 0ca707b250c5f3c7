// Package dispatcher decides what an entry does: it admits, queues and sends
// tasks, retries and hedges them, claims keyed jobs, and takes over the jobs of
// lost owners. It is a state machine that takes events and the time and returns
// commands. It performs no input or output, reads no clock, and is not safe for
// concurrent use.
package dispatcher

import (
	"net/netip"
	"time"

	"agatevalve/common/task"
	"agatevalve/router"
)

// Ticket identifies one waiting caller; the adapter makes it unique within the
// process.
type Ticket uint64

// Event is an input of the core.
type Event interface{ event() }

// Submission is a request or job as a caller sent it.
type Submission struct {
	// Ticket receives exactly one Reply command.
	Ticket Ticket
	// Job is derived from Team and Key, or random without a key. The adapter
	// sets it, so that the core needs no random numbers for it.
	Job  task.JobID
	Team task.Team
	// Key is the caller's idempotency key, or empty.
	Key task.Key
	// Digest covers method, path and body of the whole submission.
	Digest task.Digest
	// Deadline is absolute; the reply is sent before it.
	Deadline time.Time
	Plan     router.Plan
	// Tasks holds at least one request; the responses of the answer have the
	// same order.
	Tasks []task.Request
}

// Submitted is a new submission.
type Submitted struct{ Submission Submission }

// WaitCancelled means that a caller no longer waits for its answer.
type WaitCancelled struct{ Ticket Ticket }

// AnswerRequested is the request of another entry for the answer to a job, sent
// to the owner of the job's claim.
type AnswerRequested struct {
	// Ticket receives exactly one Reply command.
	Ticket   Ticket
	Team     task.Team
	Job      task.JobID
	Digest   task.Digest
	Deadline time.Time
}

// Claim is the stored record of which entry owns a keyed job.
type Claim struct {
	Job    task.JobID
	Team   task.Team
	Digest task.Digest
	// Owner is the only process that may start the job's tasks.
	Owner task.Process
	// OwnerAddress is where other entries fetch the answer.
	OwnerAddress netip.AddrPort
	// Generation increases with each new claim of the job.
	Generation task.Generation
	// Token is unique to one write, so that the writer recognises its claim
	// after the reply to the write was lost.
	Token uint64
	// Deadline is the latest deadline of any start under the claim.
	Deadline time.Time
	// Agents are the only agents that may receive the job's tasks.
	Agents []Peer
}

// Peer is the identity and address of one run of an agent.
type Peer struct {
	Process task.Process
	Address netip.AddrPort
}

// ClaimWon means that the claim is stored and this entry owns the job.
type ClaimWon struct{ Claim Claim }

// ClaimHeld means that another claim of the job is stored.
type ClaimHeld struct{ Claim Claim }

// ClaimFailed means that the claim is not stored and never will be. The adapter
// reports it only once the result of the write is known or the deadline has
// passed.
type ClaimFailed struct {
	Job task.JobID
	// Reason is a sentence for the caller.
	Reason string
}

// OwnerAnswered is the reply of a job's owner to AskOwner.
type OwnerAnswered struct {
	Job task.JobID
	// Known is false if the owner is alive and doesn't hold the job.
	Known  bool
	Answer Answer
}

// OwnerLost means that the owner couldn't be reached or has ended.
type OwnerLost struct{ Job task.JobID }

// Fenced means that an agent refuses the starts of a job below the generation
// of the Fence command. Reports are the job's tasks that it has started.
type Fenced struct {
	Job     task.JobID
	Agent   task.Process
	Reports []task.Report
}

// FenceFailed means that an agent couldn't be fenced.
type FenceFailed struct {
	Job   task.JobID
	Agent task.Process
}

// Announcement is what an agent publishes about itself.
type Announcement struct {
	Peer   Peer
	Zone   string
	Worker string
	Rack   string
	Pools  []string
	Load   Load
	// Expires is the time at which the agent's membership ends unless it is
	// renewed.
	Expires time.Time
}

// Load is the number of an agent's slots and tasks, and its state.
type Load struct {
	Slots   int
	Running int
	Queued  int
	Leaving bool
	// Revision is the revision of the configuration that the agent has in force.
	Revision uint64
}

// Announced means that an agent published an announcement.
type Announced struct{ Announcement Announcement }

// LoadReported carries the load that an agent attached to a frame.
type LoadReported struct {
	Agent task.Process
	Load  Load
}

// Accepted means that an agent has started or queued the attempt.
type Accepted struct {
	Agent   task.Process
	Task    task.ID
	Attempt task.Attempt
}

// Refused means that an agent has not run the attempt and never will.
type Refused struct {
	Agent  task.Process
	Report task.Report
}

// Ended carries a final report: its State is Finished, Broken or Forgotten.
type Ended struct {
	Agent  task.Process
	Report task.Report
}

// LinkLost means that the link to an agent broke or timed out. Frames sent over
// it may still arrive.
type LinkLost struct{ Agent task.Process }

// Settled is the reply to a Settle command.
type Settled struct {
	Agent   task.Process
	Reports []task.Report
}

// SettleFailed means that the agent couldn't be reached, or that another
// incarnation of it replied.
type SettleFailed struct {
	Agent task.Process
	// Gone is true if the incarnation is known to have ended.
	Gone     bool
	Attempts []AttemptRef
}

// AttemptRef identifies an attempt that was sent.
type AttemptRef struct {
	Task    task.ID
	Attempt task.Attempt
	// Deadline is the deadline of the start; zero in the acknowledgement of a
	// report that no job waits for.
	Deadline time.Time
}

// Tick advances the time without another event.
type Tick struct{}

// DrainRequested makes the core refuse new submissions and finish those that it
// has.
type DrainRequested struct{}

func (Submitted) event()       {}
func (WaitCancelled) event()   {}
func (AnswerRequested) event() {}
func (ClaimWon) event()        {}
func (ClaimHeld) event()       {}
func (ClaimFailed) event()     {}
func (OwnerAnswered) event()   {}
func (OwnerLost) event()       {}
func (Fenced) event()          {}
func (FenceFailed) event()     {}
func (Announced) event()       {}
func (LoadReported) event()    {}
func (Accepted) event()        {}
func (Refused) event()         {}
func (Ended) event()           {}
func (LinkLost) event()        {}
func (Settled) event()         {}
func (SettleFailed) event()    {}
func (Tick) event()            {}
func (DrainRequested) event()  {}
