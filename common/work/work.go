// Package work defines the values that entries and agents share about jobs of
// leased tasks: the capacity that tasks need, their runs, and the results of
// these.
package work

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// Room is an amount of capacity: what a task needs, or what a minion has.
type Room struct {
	// CPU is in thousandths of a core.
	CPU int64
	// Memory is in megabytes.
	Memory int64
	// Accelerators is a whole number of devices.
	Accelerators int64
}

// Plus returns the sum of two amounts.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference of two amounts; fields may be negative.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Holds reports whether a task that needs o fits into r.
func (r Room) Holds(o Room) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.Accelerators <= r.Accelerators
}

// Task identifies one task of a job.
type Task struct {
	// Job is the id that the caller chose.
	Job string
	// Index is the position of the task in its job, from 0.
	Index int
}

// String returns the task in the form used in logs.
func (t Task) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// Run identifies one start of a task. Later starts have higher numbers.
type Run struct {
	Task

	Number int
}

// String returns the run in the form used in logs.
func (r Run) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Number) }

// Order requests one run from an agent.
type Order struct {
	Run  Run
	Room Room
	// Label is a label that the minion must have; empty for any minion.
	Label string
	// Spec is the specification of the task, which the minion receives
	// unchanged.
	Spec string
	// MaxPerMinion limits the tasks of the job that run on one minion at once; 0
	// for no limit.
	MaxPerMinion int
	// Priority is the priority of the route; lower values go first.
	Priority int
	// Route is the name of the route that admitted the job.
	Route string
	// Probation is the time after its start in which the run may crash the minion;
	// 0 for a run that is not suspected. A minion has one run on probation at a
	// time.
	Probation time.Duration
	// StartBefore is the latest start that still meets the latency objective.
	StartBefore time.Time
	// EndBefore is the caller's deadline. Runs that can't end by then are not
	// started.
	EndBefore time.Time
	// Work is the expected duration of the run at a minion of average speed.
	Work time.Duration
}

// State is the state of a run, as an agent knows it.
type State uint8

const (
	// Queued runs wait for capacity.
	Queued State = iota + 1
	// Started runs are running at the minion.
	Started
	// Done runs ended with success.
	Done
	// Failed runs ended without success, through a fault of their own or of
	// the minion.
	Failed
	// Stopped runs were ended by a stop order of the entry, or by the agent:
	// because the entry was lost, the caller's deadline had passed or the start
	// order was not answered in time.
	Stopped
	// Refused runs have not started and never will.
	Refused
	// Lost runs ended with the minion or with its lease.
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

// Ended reports whether the run has ended or will never start.
func (s State) Ended() bool { return s >= Done }

// Reason says why an agent refused, stopped or lost a run.
type Reason string

const (
	// ReasonNone is set for states that need no reason.
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
	// ReasonUnfit means that the task needs more than the minion's whole
	// capacity.
	ReasonUnfit Reason = "unfit"
	// ReasonBusy means that another run of the task is still at the minion.
	ReasonBusy Reason = "busy"
	// ReasonCrowded means that more urgent runs wait for the minion's
	// capacity.
	ReasonCrowded Reason = "crowded"
	// ReasonUnstarted means that a stopped run had not been started.
	ReasonUnstarted Reason = "unstarted"
	// ReasonCrashed means that the run was lost because its minion crashed.
	ReasonCrashed Reason = "crashed"
	// ReasonSurvived means that a started run has survived its probation.
	ReasonSurvived Reason = "survived"
	// ReasonEvacuated means that the minion's zone is evacuated. The run has not
	// started.
	ReasonEvacuated Reason = "evacuated"
	// ReasonMalformed means that the minion could not decode the start order.
	ReasonMalformed Reason = "malformed"
)

// Report is an agent's report about the state of a run.
type Report struct {
	Run   Run
	State State
	// Took is the duration of a run that ended Done or Failed, the time since the
	// start order of one that was Lost, and the projected duration of one that is
	// Started; 0 if unknown.
	Took time.Duration
	// Remaining is the projected remaining duration of a run that is Started.
	Remaining time.Duration
	// Reliable is true if Remaining is accurate to within a few percent of
	// Took.
	Reliable bool
	Reason   Reason
	// Number is the sequence number of an end among those that the agent
	// reported to one entry, from 1; 0 for states that are no end.
	Number uint64
}

// QueuedShare is the fraction of its capacity that queued runs at an agent may
// require, and up to which entries send it runs. It keeps the minion busy for
// the round trip of a message to an entry.
const QueuedShare = 0.2

// Load describes how much of a minion's capacity its running and queued runs
// require, and how slow the minion is.
type Load struct {
	Running Room
	Queued  Room
	// QueuedWork is the total expected duration of the queued runs.
	QueuedWork time.Duration
	// LeastUrgent is the highest priority value of the queued runs; 0 without any.
	LeastUrgent int
	// Slowness is the logarithm of the ratio of a run's duration at this
	// minion to its expected duration at one of average speed.
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
	// Sequence numbers the descriptions of one incarnation, so that a late one is
	// recognized; 0 if unknown.
	Sequence uint64
	// Draining minions complete their runs and accept no new ones.
	Draining bool
	// ColdUntil is the time until which the minion is slow after its start; zero if
	// it is warm. Only the agent beside the minion knows it.
	ColdUntil time.Time
}

// Outcome is the result of a job that its caller receives.
type Outcome uint8

const (
	// Succeeded means that all tasks ended Done.
	Succeeded Outcome = iota + 1
	// Exhausted means that a task used up its attempts.
	Exhausted
	// NotRun means that no task has started or ever will.
	NotRun
	// Unfinished means that the deadline passed after a task may have started.
	Unfinished
	// Cancelled means that the caller cancelled the job.
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

// ParseOutcome returns the outcome with a name, and false if there is none.
func ParseOutcome(name string) (Outcome, bool) {
	for o := Succeeded; o <= Cancelled; o++ {
		if o.String() == name {
			return o, true
		}
	}
	return 0, false
}

// MaxTasks caps the tasks of a job, far above the 1,300 that are expected.
const MaxTasks = 100_000

// Job is a group of identical tasks, answered when all have ended.
type Job struct {
	ID string
	// Route is the name of the route that admitted the job.
	Route   string
	Service string
	Spec    string
	// Count is at least 1.
	Count int
	Room  Room
	Label string
	// MaxPerMinion limits the tasks of the job that run on one minion at once; 0
	// for no limit.
	MaxPerMinion int
	// Rack is the rack where the data of the tasks is; empty for none.
	Rack string
	// DataWait is the route's policy for waits for that rack.
	DataWait DataWait
	// Hint is the caller's rough estimate of one task's duration; 0 for none.
	Hint time.Duration
	// Attempts is the number of failures of one task that fail the job; at
	// least 1.
	Attempts int
	// Priority is the priority of the route; lower values go first.
	Priority int
	// Stretch and Allowance define the latency objective: the duration of the
	// longest task times Stretch, plus Allowance.
	Stretch   float64
	Allowance time.Duration
	// Arrived is the time at which the submission had been read completely.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// DataWait is the policy of a route for tasks that wait for room near their data.
// The zero value lets none wait.
type DataWait struct {
	// MaxWait bounds a wait; 0 for no waits.
	MaxWait time.Duration
	// Weight is the weight of the time that others lose by a longer run against
	// that of the task itself.
	Weight float64
}

// Compare orders runs by job, task index and number.
func Compare(a, b Run) int {
	if n := strings.Compare(a.Job, b.Job); n != 0 {
		return n
	}
	return cmp.Or(a.Index-b.Index, a.Number-b.Number)
}
