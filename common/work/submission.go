package work

import "time"

// Submission is what a caller hands in, before anything is decided about it.
type Submission struct {
	ID   string
	Spec string
	// Steps run in an order that the caller gives.
	Steps []Step
	// Stored asks that the job outlives the connection of its caller.
	Stored bool
	// Timed asks for runs at given times.
	Timed bool
	// Arrived is when the submission was read whole.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero when it has not said.
	Deadline time.Time
}

// Step is a number of equal tasks.
type Step struct {
	Count int
	Room  Room
	// Label is one that minions must have; empty for any minion.
	Label string
	// Rack is where the tasks find their data; empty for anywhere.
	Rack string
	// MostBeside caps the tasks on one minion; 0 for no cap.
	MostBeside int
	// Hint is the caller's rough estimate of one task's work; 0 for none.
	Hint time.Duration
	// Gang marks tasks that work only together.
	Gang bool
	// Lasting marks tasks that run until the job is cancelled.
	Lasting bool
}
