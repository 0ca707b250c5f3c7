// Package task holds the value types that entries and agents share: the
// identities of jobs and tasks, requests, responses and outcomes.
package task

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"
)

// Team names a customer with a quota. The empty team is valid and has none.
type Team string

// Key is the caller's Idempotency-Key, unique within its team.
type Key string

// Digest is the SHA-256 sum of a submission's content.
type Digest [sha256.Size]byte

// JobID identifies a submission. Entries derive it from team and key, so that
// a resubmission through any entry has the same id; keyless ones are random.
type JobID [16]byte

// KeyedJobID derives the id of a keyed submission.
func KeyedJobID(team Team, key Key) JobID {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + string(key)))
	var id JobID
	copy(id[:], sum[:])
	return id
}

// RandomJobID returns the id of a keyless submission.
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

// Attempt numbers the sends of one task by one owner, from 1.
type Attempt uint32

// Generation numbers the owners of a keyed job, from 1. It only grows.
type Generation uint64

// Incarnation tells one run of a process from the next; it is never 0.
type Incarnation uint64

// Process names one run of an entry or agent.
type Process struct {
	// Name comes from the settings and survives restarts.
	Name string
	// Incarnation differs for every start of the process.
	Incarnation Incarnation
}

// Request is what the minion gets to see of a task.
type Request struct {
	Method string
	// Path includes the query and starts with a slash.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is a whole answer of a minion.
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
	// Deadline is absolute; an agent refuses the start once its own clock has passed it.
	Deadline time.Time
	Request  Request
}

// Outcome is what is known about the effects of a task or job.
type Outcome uint8

const (
	// Complete means that every task ran and answered.
	Complete Outcome = iota + 1
	// NotRun is proof that nothing was started.
	NotRun
	// Failed means that it ran, and that it failed for a known reason.
	Failed
	// MayHaveRun means that a start could not be excluded.
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

// State is what an agent knows about one task.
type State uint8

const (
	// Unstarted means that the agent has not started it and, having said so
	// to a settle or fence call, never will for that attempt or generation.
	Unstarted State = iota + 1
	// Running means that the minion has it.
	Running
	// Finished means that the agent holds the response.
	Finished
	// Broken means that the minion failed it without a whole response.
	Broken
	// Forgotten means that the agent started it, and no longer has the result.
	Forgotten
)

// Refusal tells why an agent did not start an attempt.
type Refusal uint8

const (
	// Busy means that slots and queue were full, or a local queue timed out.
	Busy Refusal = iota + 1
	// Leaving means that the agent is draining.
	Leaving
	// Late means that the deadline had passed by the agent's clock.
	Late
	// StaleOwner means that a higher generation has fenced the job.
	StaleOwner
	// Withdrawn means that the attempt was cancelled or settled before.
	Withdrawn
	// Full means that the agent can't remember more starts or results.
	Full
	// Doubled means that the task has started here under another attempt.
	Doubled
	// Unsent means that the start never left the entry.
	Unsent
	// Unreachable means that the minion accepted no connection.
	Unreachable
	// Malformed means that the agent couldn't read the start.
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

// Report is an agent's word on one task.
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
