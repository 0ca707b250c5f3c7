package work

import "time"

// Submission is a job as its caller submitted it, before admission.
type Submission struct {
	ID   string
	Spec string
	// Steps run in an order that the caller sets.
	Steps []Step
	// Stored requests that the job continues after its caller's connection is
	// closed.
	Stored bool
	// Timed requests runs at given times.
	Timed bool
	// Arrived is the time at which the submission had been read completely.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero if it sent none.
	Deadline time.Time
}

// Step is a group of identical tasks.
type Step struct {
	Count int
	Room  Room
	// Label is a label that minions must have; empty for any minion.
	Label string
	// Rack is the rack where the data of the tasks is; empty for none.
	Rack string
	// MaxPerMinion limits the tasks of the job that run on one minion at once; 0
	// for no limit.
	MaxPerMinion int
	// Hint is the caller's rough estimate of one task's duration; 0 for none.
	Hint time.Duration
	// Gang marks tasks that must run at the same time.
	Gang bool
	// Lasting marks tasks that run until the job is cancelled.
	Lasting bool
}
