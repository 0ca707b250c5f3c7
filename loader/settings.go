// Package loader reads the settings files of agatevalve's processes. It refuses
// unknown or doubled fields, wrong types and values out of range, with the
// file, the line, the field and a remedy.
package loader

import (
	"net/netip"
	"time"
)

// Entry holds the settings of `agatevalve serve`.
type Entry struct {
	// Name is unique among entries and survives restarts.
	Name string
	// Zone is the availability zone of the entry.
	Zone string
	// Callers is the listener for requests and jobs.
	Callers netip.AddrPort
	// Operators is the listener for health, readiness, metrics and commands.
	Operators netip.AddrPort
	// Internal is the listener for agents and other entries. Its address is
	// published, so it must be reachable from them.
	Internal netip.AddrPort
	// Store is the address of the platform's table service.
	Store netip.AddrPort
	// Limits bound what callers may send.
	Limits Limits
}

// Limits bound the input and memory of an entry.
type Limits struct {
	// HeaderBytes caps the header of one request.
	HeaderBytes int
	// BodyBytes caps the body of one request or job.
	BodyBytes int
	// JobTasks caps the tasks of one job.
	JobTasks int
	// AnswerBytes caps the whole answer of one request or job.
	AnswerBytes int
	// QueueTasks caps the tasks that wait at the entry.
	QueueTasks int
	// ClaimWritesPerSecond caps the transactions that the claims of all entries
	// together write to the store. Each entry takes its part by the number of
	// live entries, so all should have the same value.
	ClaimWritesPerSecond int
	// AnswerWithin is the deadline of requests that name none.
	AnswerWithin time.Duration
	// MaxDeadline caps how far ahead a caller's deadline may lie.
	MaxDeadline time.Duration
	// KeepAnswers is how long an answer stays for resubmissions.
	KeepAnswers time.Duration
	// StopNotice is how long a stopping entry that is no longer ready still
	// serves new callers, so that its balancer can notice.
	StopNotice time.Duration
	// StopWithin caps a planned stop.
	StopWithin time.Duration
}

// DefaultLimits returns the limits of an entry whose settings name none.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes: 64 * kibibyte,
		BodyBytes:   8 * mebibyte,
		JobTasks:    2_000,
		AnswerBytes: 16 * mebibyte,
		QueueTasks:  20_000,

		ClaimWritesPerSecond: 160,

		AnswerWithin: 10 * time.Second,
		MaxDeadline:  5 * time.Minute,
		KeepAnswers:  2 * time.Minute,
		StopNotice:   2 * time.Second,
		StopWithin:   30 * time.Second,
	}
}

// Agent holds the settings of `agatevalve-agent`.
type Agent struct {
	// Name is unique among agents and survives restarts.
	Name string
	// Zone, Rack and Worker say where the agent runs.
	Zone   string
	Rack   string
	Worker string
	// Listen is the agent's own listener. Its address is announced.
	Listen netip.AddrPort
	// Operators is the listener for health, readiness and metrics; the zero
	// address means none.
	Operators netip.AddrPort
	// Store is the address of the platform's table service.
	Store netip.AddrPort
	// Minion is the HTTP server beside the agent.
	Minion netip.AddrPort
	// Pools are the names of the pools that the minion joins.
	Pools []string
	// Slots is how many tasks the minion takes at once.
	Slots int
	// Remember caps the started tasks that the agent keeps ids of.
	Remember int
	// ResultBytes caps the results that the agent keeps.
	ResultBytes int
	// StopWithin caps a planned stop.
	StopWithin time.Duration
}

// DefaultAgent returns the fields of an agent that its settings may leave out.
func DefaultAgent() Agent {
	return Agent{
		Remember:    100_000,
		ResultBytes: 32 * mebibyte,
		StopWithin:  30 * time.Second,
	}
}

// Platform holds the settings of the platform stand-in.
type Platform struct {
	// Listen is the address of the table service.
	Listen netip.AddrPort
	// WriteTakes is how long a synced write lasts.
	WriteTakes time.Duration
	// WritesPerSecond and ReadsPerSecond cap the transactions served.
	WritesPerSecond int
	ReadsPerSecond  int
}

// DefaultPlatform returns the fields of the platform stand-in that its settings
// may leave out.
func DefaultPlatform() Platform {
	return Platform{
		WriteTakes:      4 * time.Millisecond,
		WritesPerSecond: 500,
		ReadsPerSecond:  2_000,
	}
}
