// Package router matches requests to routes, and routes to pools, by a
// configuration. It performs no input or output. A Table does not change after
// Compile, so a request that holds one is served by a single configuration
// revision from start to end.
package router

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/common/work"
)

const (
	// defaultMaxDataWait is the longest wait for room near the data of a job.
	defaultMaxDataWait = 250 * time.Millisecond
	// defaultDataWaitWeight counts the time of others like that of the task.
	defaultDataWaitWeight = 1.0
)

// PrefixMatch says which paths a path prefix matches.
type PrefixMatch uint8

const (
	// WholeSegments matches the prefix and the paths below it. The prefix starts
	// with a slash.
	WholeSegments PrefixMatch = iota
	// Literal matches all paths that begin with the prefix, which may be empty or
	// end inside a segment. Dot segments in the path are text like any other.
	Literal
)

// Route directs the requests that match it to a pool.
type Route struct {
	// Name is unique among routes, regardless of case and blanks.
	Name string
	// Host matches the request's host without port; "" matches any host.
	Host string
	// PathPrefix is matched as PrefixMatch says.
	PathPrefix  string
	PrefixMatch PrefixMatch
	// Method is the HTTP method that the route matches; "" matches any method.
	Method string
	// Pool is the name of the pool that serves the route.
	Pool string
	// Idempotent permits that a task is started again after a failure.
	Idempotent bool
	// WasteWeight is the weight of a wasted message against response time, from 0
	// (only response time matters) to 100 (no message may be wasted).
	WasteWeight int
	// AnswerWithin is the time limit of requests without a deadline of their own;
	// 0 means the limit in the entry's settings.
	AnswerWithin time.Duration
	// Jobs configures jobs of leased tasks; the zero value permits none.
	Jobs JobPolicy
}

// JobPolicy configures how the jobs of a route are run.
type JobPolicy struct {
	// Attempts caps the attempts of one task; 0 permits no jobs.
	Attempts int
	// Priority orders routes; lower values are served first.
	Priority int
	// Stretch and Allowance define the latency objective of a job: the duration of
	// its longest task multiplied by Stretch, plus Allowance.
	Stretch   float64
	Allowance time.Duration
	// DataWait configures waits for room near the data of a job.
	DataWait work.DataWait
}

// DefaultDataWait returns the policy for routes that set none. It acts for jobs
// with data on one rack only.
func DefaultDataWait() work.DataWait {
	return work.DataWait{MaxWait: defaultMaxDataWait, Weight: defaultDataWaitWeight}
}

// Pool is a group of minions that serve the same routes.
type Pool struct {
	// Name is unique among pools, regardless of case and blanks.
	Name string
	// SlotsPerMinion caps the tasks at one minion; 0 means the minion's declared
	// slots.
	SlotsPerMinion int
	// QueueLimit caps the tasks that wait at one entry; 0 means the limit in its
	// settings.
	QueueLimit int
	// Quotas holds at most one quota per team. All teams without one share a
	// weight of 1.
	Quotas []Quota
}

// Quota limits a team's share of a pool.
type Quota struct {
	Team task.Team
	// Weight is the team's relative share of the pool when it is saturated, at
	// least 1.
	Weight int
	// MaxRunning caps the team's running tasks per entry; 0 means no cap.
	MaxRunning int
}

// Request is the part of a request that routes are matched against.
type Request struct {
	Host   string
	Path   string
	Method string
}

// Plan is the route and pool that were chosen for a request.
type Plan struct {
	// Revision is the configuration revision that the choice is based on.
	Revision uint64
	Route    Route
	Pool     Pool
}
