// Package task defines the value types that entries and agents share: the
// identities of jobs and tasks, requests, responses and outcomes.
package task

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

// Team is the name of a customer with a quota. The empty team is valid and has
// no quota.
type Team string

// Key is the caller's Idempotency-Key, unique within its team.
type Key string

// Digest is the SHA-256 sum of a submission's content.
type Digest [sha256.Size]byte

// JobID identifies a submission. Entries derive it from team and key, so that
// a resubmission through any entry has the same id. The id of a submission
// without a key is random.
type JobID [16]byte

// KeyedJobID returns the id of a submission with a key.
func KeyedJobID(team Team, key Key) JobID {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + string(key)))
	var id JobID
	copy(id[:], sum[:])
	return id
}

// RandomJobID returns the id of a submission without a key.
func RandomJobID() JobID {
	var id JobID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error.
	return id
}

// String returns the id in hexadecimal.
func (j JobID) String() string { return hex.EncodeToString(j[:]) }

// ID identifies one task of a job.
type ID struct {
	Job JobID
	// Index is the position of the task in its submission, from 0.
	Index int
}

// Attempt numbers the starts of one task that one owner sends, from 1.
type Attempt uint32

// Generation numbers the successive owners of a keyed job, from 1. It never
// decreases.
type Generation uint64

// Incarnation distinguishes the runs of a restarted process; it is never 0.
type Incarnation uint64

// Process identifies one run of an entry or agent.
type Process struct {
	// Name is set in the settings and stays the same across restarts.
	Name string
	// Incarnation differs for every start of the process.
	Incarnation Incarnation
}

// Request is the HTTP request of a task, as the minion receives it.
type Request struct {
	Method string
	// Path includes the query and starts with a slash.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is a complete HTTP response of a minion.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Start is an order to run one task, as an agent receives it.
type Start struct {
	Task       ID
	Attempt    Attempt
	Generation Generation
	Team       Team
	Pool       string
	// Deadline is absolute; an agent refuses the start once its own clock has
	// passed it.
	Deadline time.Time
	Request  Request
}

// Outcome says what is known about the effects of a task or job.
type Outcome uint8

const (
	// Complete means that every task ran and was answered.
	Complete Outcome = iota + 1
	// NotRun means that provably nothing was started.
	NotRun
	// Failed means that the task or job ran, and failed for a known reason.
	Failed
	// MayHaveRun means that it is not known whether a task was started.
	MayHaveRun
)

// String returns the name that callers see.
func (o Outcome) String() string {
	switch o {
	case Complete:
		return "complete"
	case NotRun:
		return "not-run"
	case Failed:
		return "failed"
	case MayHaveRun:
		return "may-have-run"
	}
	return "unknown"
}

// State is the state of one task, as an agent knows it.
type State uint8

const (
	// Unstarted means that the agent has not started the task. Once the agent
	// has answered this to a settle or fence call, it never starts the task
	// for that attempt or generation.
	Unstarted State = iota + 1
	// Running means that the minion has the request.
	Running
	// Finished means that the agent holds the response.
	Finished
	// Broken means that the minion failed without a complete response.
	Broken
	// Forgotten means that the agent started the task, and no longer holds the
	// result.
	Forgotten
)

// Refusal is the reason why an agent did not start an attempt.
type Refusal uint8

const (
	// Busy means that all slots and the queue were full, or that the attempt
	// waited too long in a queue.
	Busy Refusal = iota + 1
	// Leaving means that the agent is draining.
	Leaving
	// Late means that the deadline had passed by the agent's clock.
	Late
	// StaleOwner means that an owner with a higher generation has fenced the job.
	StaleOwner
	// Withdrawn means that the attempt was cancelled or settled before its start
	// arrived.
	Withdrawn
	// Full means that the agent has no memory for more starts or results.
	Full
	// Doubled means that the task had been started here under another attempt.
	Doubled
	// Unsent means that the start order never left the entry.
	Unsent
	// Unreachable means that the minion accepted no connection.
	Unreachable
	// Malformed means that the agent could not decode the start order.
	Malformed
)

// String returns the kebab-case name of the refusal.
func (r Refusal) String() string {
	names := [...]string{
		"none", "busy", "leaving", "late", "stale-owner", "withdrawn",
		"full", "doubled", "unsent", "unreachable", "malformed",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Report is what an agent reports of one task.
type Report struct {
	Task    ID
	Attempt Attempt
	State   State
	// Refusal is set when State is Unstarted and a start was refused.
	Refusal Refusal
	// Response is set when State is Finished.
	Response Response
	// Reason is a sentence for people, set when State is Broken.
	Reason string
}
