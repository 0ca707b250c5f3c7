package rehearser

import (
	"time"

	"agatevalve/common/work"
)

// Route is a route with the load on it.
type Route struct {
	Name          string
	JobsPerSecond float64
	// Tasks is the mean number of tasks of a job, and Work the mean duration of
	// a task at a minion of speed 1.
	Tasks int
	Work  time.Duration
	// CPU is the demand of each task in thousandths of a core.
	CPU int64
	// Worth is what an answer in time earns; a late one earns a fifth of it.
	Worth float64
	// Priority is the priority of the route; lower values go first.
	Priority int
	// Label is a label that minions must have; empty for any minion.
	Label string
	// MaxPerMinion limits the tasks of a job that run on one minion at once; 0
	// for no limit.
	MaxPerMinion int
}

// Burst is a period of higher load.
type Burst struct {
	// At is counted from the start of the day, and For is the duration.
	At, For time.Duration
	// Factor multiplies the arrival rates; 0 for no burst.
	Factor float64
}

// DeadlyWork is a period in which some jobs of a route have a task that crashes
// each minion that starts it.
type DeadlyWork struct {
	Route string
	// Share is the fraction of the route's jobs; 0 for none.
	Share float64
	// At is counted from the start of the day, and For is the duration.
	At, For time.Duration
	// Wide makes all tasks of these jobs deadly, in place of the first.
	Wide bool
}

// HotRack is a period in which some jobs of a route have their data on one rack.
type HotRack struct {
	Route string
	// Rack is the label of the minions on the rack.
	Rack string
	// Share is the fraction of the route's jobs; 0 for none.
	Share float64
	// At is counted from the start of the day, and For is the duration.
	At, For time.Duration
	// Factor is the factor by which tasks take longer elsewhere, and KnownFactor
	// the one that entries expect at first; 0 for the same.
	Factor, KnownFactor float64
	// DataWait is the policy for waits for room on the rack.
	DataWait work.DataWait
}

// Day configures a simulation.
type Day struct {
	Seed    uint64
	Length  time.Duration
	Entries int
	// DurationFactors has one element for each minion: the ratio of a task's
	// duration there to its duration at a minion of speed 1.
	DurationFactors []float64
	// LinksPerAgent is the number of entries that an agent links to; 0 for the
	// default of package selector.
	LinksPerAgent int
	// Room is the capacity of each minion.
	Room   work.Room
	Routes []Route
	// FailingJobShare is the fraction of jobs whose tasks always fail.
	FailingJobShare float64
	// DeadlyWork is the work that crashes the minions that start it.
	DeadlyWork DeadlyWork
	// HotRack is the work with data on one rack.
	HotRack HotRack
	// LostAnswerShare is the fraction of orders to minions that are executed
	// late and whose answer is lost.
	LostAnswerShare float64
	// MinLateDelay and MaxLateDelay bound the delay of such orders; 0 for the default
	// of two seconds, by when the lease in them has expired, to twelve.
	MinLateDelay, MaxLateDelay time.Duration
	// LateLeasesCount makes the lease in a late order count from its arrival.
	LateLeasesCount bool
	// HeldOrderShare is the fraction of orders that the network holds for up to maxHold
	// before they reach the minion that then has the name.
	HeldOrderShare float64
	// MaxKillDelay bounds the time from the lapse of a lease at a minion until it has
	// ended its runs; 0 for none.
	MaxKillDelay time.Duration
	// BornStepBackShare is the fraction of the minions' starts that have a lower
	// incarnation number than the one before, as after a step of the time of day.
	BornStepBackShare float64
	// AgentRestartDelay is the time from the kill of an agent process to its
	// restart; 0 for the default of 800 ms, by when the leases have expired.
	AgentRestartDelay time.Duration
	// MaxClockStep bounds how far off the time of day is when an agent process
	// starts, either way.
	MaxClockStep time.Duration
	// LateReportShare is the fraction of the minions' status reports that arrive
	// late, after newer ones.
	LateReportShare float64
	// LeavingCallerShare is the fraction of callers that leave before their
	// deadline.
	LeavingCallerShare float64
	// PatientCallers makes callers of long jobs wait longer.
	PatientCallers bool
	Burst          Burst
	Faults         []Fault
	// Policy selects how entries place tasks.
	Policy Policy
	// IgnoreLeaseExpiry injects a fault: minions continue runs after their
	// lease has expired.
	IgnoreLeaseExpiry bool
	// ClockStopsWhileFrozen injects a fault: the clocks of processes don't count
	// the time in which they were frozen, as the steady clock of a suspended VM.
	ClockStopsWhileFrozen bool
	// ExtraAttempts injects a fault: entries make this many attempts more than
	// the route allows.
	ExtraAttempts int
	// AllowOvercommit makes minions accept starts that exceed their capacity.
	AllowOvercommit bool
	// Labels are the labels of minions; the minions take them in turn. nil for
	// no labels.
	Labels [][]string
	// Configurations are the documents that the operator writes.
	Configurations Configurations
	// Zones is the number of availability zones, which the minions take in turn; 0
	// for none.
	Zones int
	// Windows are periods for which Result.Windows tells what callers got.
	Windows []Window
	// Trace receives a line for each command of a core. It may be nil.
	Trace func(at time.Duration, text string)
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	KillEntry   FaultKind = "kill-entry"
	KillAgent   FaultKind = "kill-agent"
	FreezeEntry FaultKind = "freeze-entry"
	FreezeAgent FaultKind = "freeze-agent"
	CutLink     FaultKind = "cut-link"
	CrashMinion FaultKind = "crash-minion"
	SlowMinion  FaultKind = "slow-minion"
	StallMinion FaultKind = "stall-minion"
	FailMinion  FaultKind = "fail-minion"
	DrainMinion FaultKind = "drain-minion"
	CutMinion   FaultKind = "cut-minion"
	// RefuseMinion makes the port of a minion refuse connections while its runs go
	// on.
	RefuseMinion FaultKind = "refuse-minion"
	// FreezeMinion stops the process of a minion while its runs go on. Orders wait in
	// its sockets, and are carried out in any order when it goes on.
	FreezeMinion FaultKind = "freeze-minion"
	// RestartMinion crashes a minion, which starts again under its name.
	RestartMinion FaultKind = "restart-minion"
	// DepartMinion makes a minion drain and announce its departure, and ends it and
	// its runs Fault.For after that. Another minion follows.
	DepartMinion FaultKind = "depart-minion"
	// ShrinkMinion halves the capacity of a minion.
	ShrinkMinion FaultKind = "shrink-minion"
	// EvacuateZone evacuates the zone of a minion.
	EvacuateZone FaultKind = "evacuate-zone"
)

// Fault is a fault to inject.
type Fault struct {
	Kind FaultKind
	// At is counted from the start of the day, and For is the duration. Killed
	// processes restart after restartDelay instead, and agents after
	// Day.AgentRestartDelay if it is set.
	At, For time.Duration
	// Entry and Minion are the indexes of the affected entry and minion, from
	// 0, for kinds that have one.
	Entry, Minion int
	// Silent makes a minion that restarts silent until then; its port refuses
	// connections otherwise.
	Silent bool
	// KeepOrders makes orders that wait in the listening socket of a minion when it
	// restarts, and while it is silent, reach the next incarnation.
	KeepOrders bool
	// OneEntry makes an evacuation known to Entry only; the others are cut off from
	// the store.
	OneEntry bool
	// Cold is the time for which minions are slow after an evacuation.
	Cold time.Duration
}

// Result holds the figures of a simulated day.
type Result struct {
	Jobs, OnTime, Late, Refused, Failed, Unfinished, CallersLeft int
	// Worth is the earned worth relative to the total worth of the jobs whose
	// callers stayed.
	Worth float64
	// Starts is the number of runs, and Wasted the number of those that did not
	// end Done.
	Starts, Wasted int
	// Crashes is the number of minions that were crashed by a task, JobCrashes the
	// largest number of those by one job, MostDown the largest number of minions that
	// were down at the same time because of it, and SettledMostDown the same from
	// settlingTime after the begin of deadly work on.
	Crashes, JobCrashes, MostDown, SettledMostDown int
	// Steps is the number of steps of all cores that had an event or a command.
	Steps int
	// Frames is the number of frames between entries and agents, without pings.
	Frames int
	// Violations lists the violated guarantees, each with the time since the
	// start of the day; empty if all held.
	Violations []string
	// WorthByRoute is the Worth of each route, and SettledWorthByRoute that of the
	// jobs that arrived when deadly work had gone on for settlingTime.
	WorthByRoute, SettledWorthByRoute map[string]float64
	// Windows has an element for each of Day.Windows.
	Windows []Served
	// OnTimeByRoute is the fraction of the jobs of each route that were on time.
	// OnTimeWithData is that of the jobs with data on the hot rack.
	OnTimeByRoute  map[string]float64
	OnTimeWithData float64
	// RemoteStarts and NearStarts count the runs of these jobs by their place, and
	// DataCoreSeconds is their mean use of cores per job.
	RemoteStarts, NearStarts int
	DataCoreSeconds          float64
	// DataWaits counts the waits for the hot rack, DataWaitsPaid those that paid,
	// and LateByWait the tasks that were late after one though they would have been
	// on time elsewhere. MeanDataWait is the mean length of a wait.
	DataWaits, DataWaitsPaid, LateByWait int
	MeanDataWait                         time.Duration
	// ServedBySize holds the served share of the jobs of each route.
	ServedBySize map[string]SizedShare
}
