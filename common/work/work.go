// Package work holds the values that entries and agents share about jobs of
// leased tasks: what a task needs, which run of it is meant, and what became
// of that run.
package work

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Room is what a task takes of a minion, and what a minion has.
type Room struct {
	// CPU is in thousandths of a core.
	CPU int64
	// Memory is in megabytes.
	Memory int64
	// Accelerators is a whole number of devices.
	Accelerators int64
}

// Plus returns the sum of two rooms.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns what is left of a room; fields may be negative.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Holds reports whether a task that needs o fits into r.
func (r Room) Holds(o Room) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.Accelerators <= r.Accelerators
}

// Task names one task of a job.
type Task struct {
	// Job is the id that the caller chose.
	Job string
	// Index counts the tasks of the job from 0.
	Index int
}

// Run names one start of a task. Numbers of later starts are higher.
type Run struct {
	Task

	Number int
}

// String returns the run in the form that logs use.
func (r Run) String() string { return fmt.Sprintf("%s/%d#%d", r.Job, r.Index, r.Number) }

// Order asks an agent for one run.
type Order struct {
	Run  Run
	Room Room
	// Label is one that the minion must have; empty for any minion.
	Label string
	// Spec is what the minion is told to run.
	Spec string
	// MostBeside caps the tasks of the job on one minion; 0 for no cap.
	MostBeside int
	// Priority is that of the route; lower values go first.
	Priority int
	// StartBefore is the latest start that still meets the latency objective.
	StartBefore time.Time
	// EndBefore is the caller's deadline. Nothing is started that can't end by then.
	EndBefore time.Time
	// Work is the time that the run is expected to take at a minion of mean speed.
	Work time.Duration
}

// State is what an agent knows of a run.
type State uint8

const (
	// Queued waits for room.
	Queued State = iota + 1
	// Started runs at the minion.
	Started
	// Done ended with success.
	Done
	// Failed ended without success, through its own fault or the minion's.
	Failed
	// Stopped ended by an order or by the loss of the entry.
	Stopped
	// Refused has not started and never will.
	Refused
	// Lost ended with the minion or with its lease.
	Lost
)

// String returns the kebab-case name of the state.
func (s State) String() string {
	names := [...]string{"unknown", "queued", "started", "done", "failed", "stopped", "refused", "lost"}
	if int(s) < len(names) {
		return names[s]
	}
	return names[0]
}

// Ended reports whether nothing of the run is at work any more.
func (s State) Ended() bool { return s >= Done }

// Reason says why an agent refused a run or lost it.
type Reason string

const (
	// ReasonNone goes with states that need no reason.
	ReasonNone Reason = ""
	// ReasonOld means that the minion has seen a run with this number or a higher one.
	ReasonOld Reason = "old"
	// ReasonLate means that the run could not end before its deadline.
	ReasonLate Reason = "late"
	// ReasonLeaving means that the minion or its agent takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonUnhealthy means that the minion rejected the start.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonUnreachable means that the minion can't be reached.
	ReasonUnreachable Reason = "unreachable"
	// ReasonUnfit means that the minion can never hold the task.
	ReasonUnfit Reason = "unfit"
	// ReasonBusy means that another run of the task is still at the minion.
	ReasonBusy Reason = "busy"
	// ReasonCrowded means that more urgent runs wait for the minion's room.
	ReasonCrowded Reason = "crowded"
	// ReasonUnstarted means that a stopped run had not been started.
	ReasonUnstarted Reason = "unstarted"
	// ReasonMalformed means that the minion could not read the start.
	ReasonMalformed Reason = "malformed"
)

// Report tells what became of a run.
type Report struct {
	Run   Run
	State State
	// Took is the time from start to end of a run that ended Done or Failed, and
	// what it is projected to be for one that is Started; 0 for unknown.
	Took time.Duration
	// Left is the projected rest of a run that is Started.
	Left time.Duration
	// Sure is true once Left is known to within a few percent of Took.
	Sure   bool
	Reason Reason
	// Number counts the ends that the agent reported to one entry, from 1; 0
	// for states that are no end.
	Number uint64
}

// QueuedShare is the part of its room that an agent lets runs wait for, and up to
// which entries send them. It keeps the minion busy over the time of a message to
// an entry and back.
const QueuedShare = 0.2

// Load is what the room of a minion is used for.
type Load struct {
	Running Room
	Queued  Room
	// QueuedWork is the expected time of the queued runs, added up.
	QueuedWork time.Duration
	// Slowness is the logarithm of how much longer runs take at this minion
	// than expected of one of mean speed.
	Slowness float64
}

// Minion describes one incarnation of a minion.
type Minion struct {
	Name string
	// Incarnation is higher for later starts of the minion.
	Incarnation uint64
	Service     string
	Zone        string
	Labels      []string
	Room        Room
	// Draining minions end what runs and take nothing new.
	Draining bool
}

// Outcome is how a job ended for its caller.
type Outcome uint8

const (
	// Succeeded means that each task ended Done.
	Succeeded Outcome = iota + 1
	// Exhausted means that a task used up its attempts.
	Exhausted
	// NotRun proves that no task has started, nor ever will.
	NotRun
	// Unfinished means that the deadline passed after a task may have started.
	Unfinished
	// Cancelled ended by an order of its caller.
	Cancelled
)

// String returns the kebab-case name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"unknown", "succeeded", "exhausted", "not-run", "unfinished", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return names[0]
}

// Job is a submission of equal tasks that is answered when all have ended.
type Job struct {
	ID string
	// Route names the row of the routes table that admitted the job.
	Route   string
	Service string
	Spec    string
	// Count is at least 1.
	Count int
	Room  Room
	Label string
	// MostBeside caps the tasks on one minion; 0 for no cap.
	MostBeside int
	// Rack is where the tasks find their data; empty for anywhere.
	Rack string
	// Hint is the caller's rough estimate of one task's work; 0 for none.
	Hint time.Duration
	// Attempts is how often a task may fail; at least 1.
	Attempts int
	// Priority orders routes; lower values go first.
	Priority int
	// Stretch and Allowance give the latency objective: the longest task's work
	// times Stretch, and Allowance more.
	Stretch   float64
	Allowance time.Duration
	// Arrived is when the submission was read whole.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Compare orders runs by job, task and number.
func Compare(a, b Run) int {
	if n := strings.Compare(a.Job, b.Job); n != 0 {
		return n
	}
	return cmp.Or(a.Index-b.Index, a.Number-b.Number)
}
