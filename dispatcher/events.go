// Package dispatcher is the deciding core of an entry: a state machine that
// takes events and the time, and returns commands. It performs no input or
// output, reads no clock, and is not safe for concurrent use.
package dispatcher

import (
	"net/netip"
	"time"

	"agatevalve/common/task"
	"agatevalve/router"
)

// Ticket names one waiting caller; the adapter makes it unique per process.
type Ticket uint64

// Event is something that happened outside the core.
type Event interface{ event() }

// Submission is a request or job as a caller sent it.
type Submission struct {
	// Ticket receives exactly one Reply command.
	Ticket Ticket
	// Job derives from Team and Key, or is random without a key. The adapter
	// draws it, so that the core needs no random numbers for it.
	Job  task.JobID
	Team task.Team
	// Key is empty for submissions that may be repeated freely.
	Key task.Key
	// Digest covers method, path and body of the whole submission.
	Digest task.Digest
	// Deadline is absolute; the reply is sent before it.
	Deadline time.Time
	Plan     router.Plan
	// Tasks holds at least one request; a job's answer keeps their order.
	Tasks []task.Request
}

// Submitted is a new submission.
type Submitted struct{ Submission Submission }

// Withdrawn means that a caller stopped waiting.
type Withdrawn struct{ Ticket Ticket }

// Asked is another entry's wait for the answer of a job held here.
type Asked struct {
	// Ticket receives exactly one Reply command.
	Ticket   Ticket
	Team     task.Team
	Job      task.JobID
	Digest   task.Digest
	Deadline time.Time
}

// Claim is the stored row of a keyed job.
type Claim struct {
	Job    task.JobID
	Team   task.Team
	Digest task.Digest
	// Owner is the only process that starts the job's tasks.
	Owner task.Process
	// OwnerAddress is where other entries ask for the answer.
	OwnerAddress netip.AddrPort
	// Generation grows with each owner.
	Generation task.Generation
	// Token is unique to one write, so that its writer recognises it after a lost reply.
	Token uint64
	// Deadline bounds every start under the claim.
	Deadline time.Time
	// Agents are the only ones that may receive the job's tasks.
	Agents []Peer
}

// Peer is the address of one run of an agent.
type Peer struct {
	Process task.Process
	Address netip.AddrPort
}

// ClaimWon means that this entry owns the job under the claim.
type ClaimWon struct{ Claim Claim }

// ClaimHeld means that another claim stands.
type ClaimHeld struct{ Claim Claim }

// ClaimFailed means that the claim isn't held by this entry and never will be.
// The adapter reports it only once the fate of the write is known or the
// deadline has passed.
type ClaimFailed struct {
	Job task.JobID
	// Reason is a sentence for the caller.
	Reason string
}

// OwnerAnswered is the reply of a job's owner.
type OwnerAnswered struct {
	Job task.JobID
	// Known is false when the owner is alive and does not hold the job.
	Known  bool
	Answer Answer
}

// OwnerLost means that the owner couldn't be reached or has gone.
type OwnerLost struct{ Job task.JobID }

// Fenced is an agent's promise to refuse starts below a generation.
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

// Announcement is an agent's word on itself.
type Announcement struct {
	Peer   Peer
	Zone   string
	Worker string
	Rack   string
	Pools  []string
	Load   Load
	// Expires is when the agent is forgotten unless it announces again.
	Expires time.Time
}

// Load is the state of an agent.
type Load struct {
	Slots    int
	Running  int
	Queued   int
	Leaving  bool
	Revision uint64
}

// Announced means that an agent reported itself.
type Announced struct{ Announcement Announcement }

// LoadSeen carries the load that rode on an agent's frame.
type LoadSeen struct {
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

// Ended carries a final report: State is Finished, Broken or Forgotten.
type Ended struct {
	Agent  task.Process
	Report task.Report
}

// LinkLost means that the link to an agent broke or fell silent. Frames sent
// over it may still arrive.
type LinkLost struct{ Agent task.Process }

// Settled is the answer to a Settle command.
type Settled struct {
	Agent   task.Process
	Reports []task.Report
}

// SettleFailed means that the agent couldn't be asked, or that a process of
// another incarnation answered.
type SettleFailed struct {
	Agent task.Process
	// Gone is true when the incarnation is known to have ended.
	Gone  bool
	Tasks []Sent
}

// Sent names an attempt that was sent.
type Sent struct {
	Task     task.ID
	Attempt  task.Attempt
	Deadline time.Time
}

// Tick means that time has passed.
type Tick struct{}

// Drained asks the core to refuse new submissions and finish the rest.
type Drained struct{}

func (Submitted) event()     {}
func (Withdrawn) event()     {}
func (Asked) event()         {}
func (ClaimWon) event()      {}
func (ClaimHeld) event()     {}
func (ClaimFailed) event()   {}
func (OwnerAnswered) event() {}
func (OwnerLost) event()     {}
func (Fenced) event()        {}
func (FenceFailed) event()   {}
func (Announced) event()     {}
func (LoadSeen) event()      {}
func (Accepted) event()      {}
func (Refused) event()       {}
func (Ended) event()         {}
func (LinkLost) event()      {}
func (Settled) event()       {}
func (SettleFailed) event()  {}
func (Tick) event()          {}
func (Drained) event()       {}
