package measurer

import (
	"math/rand/v2"
	"slices"
	"time"

	"agatevalve/common/task"
	"agatevalve/router"
)

// trial is one experiment of a scenario; it is run once with each policy.
type trial struct {
	// name identifies the trial, also among those of other scenarios.
	name string
	// offered is the offered load divided by capacity, for plots.
	offered float64
	// warmUp is the time before figures count; duration is the measured time
	// after it.
	warmUp, duration time.Duration
	flows            []flow
	// entryShares replaces the deployment's shares unless it is nil.
	entryShares []float64
	quotas      []router.Quota
	// resubmissions is the number of times that keyed work is submitted again.
	resubmissions int
	// stragglerShare is the share of starts that take stragglerFactor times as
	// long.
	stragglerShare float64
	// wasteWeight replaces the deployment's waste weight unless it is nil.
	wasteWeight *int
	// fault is injected at faultAt, counted from the epoch.
	fault   func(*world)
	faultAt time.Duration
	// recoveryFrom is the time, counted from the epoch, from which the recovery
	// time is measured; 0 if it isn't measured.
	recoveryFrom time.Duration
	// peakFrom and peakUntil bound the time in which goodput is measured; if 0,
	// it is measured in the whole measured time.
	peakFrom, peakUntil time.Duration
}

// flow is a Poisson stream of arrivals of one team.
type flow struct {
	// stream is the number of the flow's random stream; separate streams keep a
	// flow from changing the arrivals of another.
	stream int
	team   task.Team
	// load returns the offered load, divided by capacity, at a time since the
	// epoch.
	load func(time.Duration) float64
	// keyedShare and keylessShare are the shares of work that is not idempotent,
	// with and without an idempotency key; the rest is idempotent without a key.
	keyedShare, keylessShare float64
	// jobShare is the share of arrivals that are jobs of jobTasks tasks.
	jobShare float64
	jobTasks int
}

func (t trial) end() time.Duration { return t.warmUp + t.duration }

func (t trial) goodputFrom() time.Duration {
	if t.peakFrom > 0 {
		return t.peakFrom
	}
	return t.warmUp
}

func (t trial) goodputUntil() time.Duration {
	if t.peakUntil > 0 {
		return t.peakUntil
	}
	return t.end()
}

func (t trial) shares(d Deployment) []float64 {
	if t.entryShares != nil {
		return t.entryShares
	}
	return d.EntryShares
}

// withDuration returns the trial with another measured time, if that is set and
// no recovery is measured: faults keep their time, so the trial must cover
// them.
func (t trial) withDuration(length time.Duration) trial {
	if length > 0 && t.recoveryFrom == 0 {
		t.duration = length
	}
	return t
}

func (f flow) tasksPerArrival() float64 { return 1 + f.jobShare*float64(f.jobTasks-1) }

// drawTaskCount draws the number of tasks of an arrival.
func (f flow) drawTaskCount(random *rand.Rand) int {
	if random.Float64() < f.jobShare {
		return f.jobTasks
	}
	return 1
}

// constantLoad returns a load that never changes.
func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// stepLoad returns a load that is high between two times and low otherwise.
func stepLoad(low, high float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return high
		}
		return low
	}
}

const (
	// keyedShare and keylessShare are the shares of work that is not idempotent,
	// with and without an idempotency key.
	keyedShare   = 0.4
	keylessShare = 0.1
	// smallJobShare is the share of arrivals that are small jobs.
	smallJobShare = 0.02
	// warmUpTime lets entries learn service times before figures count.
	warmUpTime = 10 * time.Second
	// defaultDuration and longDuration are measured times.
	defaultDuration = time.Minute
	longDuration    = 3 * time.Minute
	// defaultFaultAt is the time of faults, counted from the epoch.
	defaultFaultAt = 30 * time.Second
)

// defaultTeams are the teams of most trials.
var defaultTeams = []task.Team{"desk", "workshops", "partners"}

// mixedFlows returns flows of requests and small jobs of three teams, which
// share the load equally.
func mixedFlows(load func(time.Duration) float64) []flow {
	flows := make([]flow, 0, len(defaultTeams))
	for i, team := range defaultTeams {
		flows = append(flows, flow{
			stream: i, team: team, keyedShare: keyedShare, keylessShare: keylessShare,
			jobShare: smallJobShare, jobTasks: smallJobTasks,
			load: func(at time.Duration) float64 { return load(at) / float64(len(defaultTeams)) },
		})
	}
	return flows
}

// steadyTrial returns a trial of constant load without faults.
func steadyTrial(name string, load float64) trial {
	return trial{
		name: name, offered: load, warmUp: warmUpTime, duration: defaultDuration, flows: mixedFlows(constantLoad(load)),
	}
}

// faultTrial returns a trial of constant load with a fault in its middle.
func faultTrial(name string, load float64, fault func(*world)) trial {
	t := steadyTrial(name, load)
	t.fault, t.faultAt, t.recoveryFrom = fault, defaultFaultAt, defaultFaultAt
	return t
}

// equalQuotas returns quotas that give each team the same weight.
func equalQuotas(names []task.Team) []router.Quota {
	quotas := make([]router.Quota, 0, len(names))
	for _, name := range slices.Sorted(slices.Values(names)) {
		quotas = append(quotas, router.Quota{Team: name, Weight: 1})
	}
	return quotas
}
