// Package loader reads the settings files of agatevalve's processes. It rejects
// unknown and duplicate fields, wrong types and values out of range. Errors contain
// the file, the line, the field and a remedy. The fields of Entry, Limits, Agent and
// Platform are named after the keys of the files.
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
	// Callers is the address of the listener for requests and jobs.
	Callers netip.AddrPort
	// Operators is the address of the listener for health, readiness, metrics and
	// commands.
	Operators netip.AddrPort
	// Internal is the address of the listener for agents and other entries. It is
	// published, so it must be reachable from them.
	Internal netip.AddrPort
	// Store is the address of the platform's table service.
	Store netip.AddrPort
	// Limits bounds the input, memory and waiting times of the entry.
	Limits Limits
}

// Limits bounds the input, memory and waiting times of an entry.
type Limits struct {
	// HeaderBytes is the maximum size of the header of a request.
	HeaderBytes int
	// BodyBytes is the maximum size of the body of a request or job.
	BodyBytes int
	// JobTasks is the maximum number of tasks of a job.
	JobTasks int
	// AnswerBytes is the maximum size of the whole answer to a request or job.
	AnswerBytes int
	// QueueTasks is the maximum number of tasks queued at the entry.
	QueueTasks int
	// ClaimWritesPerSecond is the maximum rate of transactions that all entries
	// together write to the store for claims. Each entry divides it by the number
	// of live entries, so all entries should have the same value.
	ClaimWritesPerSecond int
	// AnswerWithin is the time to the deadline of requests that specify none.
	AnswerWithin time.Duration
	// MaxDeadline is the maximum time from the receipt of a request to the
	// deadline that its caller specifies.
	MaxDeadline time.Duration
	// KeepAnswers is the time for which answers are retained for resubmissions.
	KeepAnswers time.Duration
	// StopNotice is the time for which a stopping entry still accepts requests
	// after its readiness probe fails, so that its load balancer can react.
	StopNotice time.Duration
	// StopWithin is the maximum duration of a graceful stop.
	StopWithin time.Duration
}

// DefaultLimits returns the limits of an entry whose settings specify none.
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
	// Zone, Rack and Worker describe where the agent runs. Rack and Worker may be
	// empty.
	Zone   string
	Rack   string
	Worker string
	// Listen is the address of the agent's listener, which the agent announces.
	Listen netip.AddrPort
	// Operators is the address of the listener for health, readiness and metrics.
	// The zero AddrPort means that there is none.
	Operators netip.AddrPort
	// Store is the address of the platform's table service.
	Store netip.AddrPort
	// Minion is the address of the HTTP server to which the agent sends tasks.
	Minion netip.AddrPort
	// Pools are the names of the pools that the minion joins.
	Pools []string
	// Slots is the maximum number of tasks that the minion runs concurrently.
	Slots int
	// Remember is the maximum number of started tasks whose ids the agent retains.
	Remember int
	// ResultBytes is the maximum total size of the results that the agent retains.
	ResultBytes int
	// StopWithin is the maximum duration of a graceful stop.
	StopWithin time.Duration
}

// DefaultAgent returns the defaults of the optional settings of an agent. The
// required ones are not set.
func DefaultAgent() Agent {
	return Agent{
		Remember:    100_000,
		ResultBytes: 32 * mebibyte,
		StopWithin:  30 * time.Second,
	}
}

// Platform holds the settings of the platform emulator.
type Platform struct {
	// Listen is the address of the table service.
	Listen netip.AddrPort
	// WriteTakes is the latency of a synced write.
	WriteTakes time.Duration
	// WritesPerSecond and ReadsPerSecond are the maximum rates of write and read
	// transactions.
	WritesPerSecond int
	ReadsPerSecond  int
}

// DefaultPlatform returns the defaults of the optional settings of the platform
// emulator. The required ones are not set.
func DefaultPlatform() Platform {
	return Platform{
		WriteTakes:      4 * time.Millisecond,
		WritesPerSecond: 500,
		ReadsPerSecond:  2_000,
	}
}
