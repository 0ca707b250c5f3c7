package measurer

import (
	"math/rand/v2"
	"slices"
	"time"

	"agatevalve/common/task"
	"agatevalve/router"
)

// trial is one experiment of a scenario, which every policy goes through.
type trial struct {
	// name tells it from the other trials of its scenario.
	name string
	// offered is the load over capacity, for plots.
	offered float64
	// warmUp is the time before figures count, and duration the measured time.
	warmUp, duration time.Duration
	flows            []flow
	// entryShares replaces the deployment's shares when not nil.
	entryShares []float64
	quotas      []router.Quota
	// resubmissions is how often each keyed work is submitted again.
	resubmissions int
	// stragglerShare is the share of starts that take straggleFactor times as long.
	stragglerShare float64
	// wasteWeight replaces the deployment's waste wasteWeight when not nil.
	wasteWeight *int
	// fault happens at faultAt after the epoch.
	fault   func(*world)
	faultAt time.Duration
	// recoveryFrom is when recovery is measured from; 0 doesn't.
	recoveryFrom time.Duration
	// peakFrom and peakUntil bound the time in which goodput counts; 0 takes
	// the measured time.
	peakFrom, peakUntil time.Duration
}

// flow is a stream of arrivals of one team.
type flow struct {
	// stream numbers the random stream, so that flows don't change each other.
	stream int
	team   task.Team
	// load returns the offered tasks over capacity at a time since the epoch.
	load func(time.Duration) float64
	// keyedShare and keylessShare are the shares of work that is not idempotent with and
	// without a key; the rest is idempotent and keylessShare.
	keyedShare, keylessShare float64
	// jobShare of the arrivals are jobs of jobTasks tasks.
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

// withDuration returns the trial with another measured length. Times after the
// warm-up keep their place, so the length must cover them.
func (t trial) withDuration(length time.Duration) trial {
	if length > 0 && t.recoveryFrom == 0 {
		t.duration = length
	}
	return t
}

func (f flow) tasksPerArrival() float64 { return 1 + f.jobShare*float64(f.jobTasks-1) }

// drawTaskCount returns the number of tasks of an arrival.
func (f flow) drawTaskCount(random *rand.Rand) int {
	if random.Float64() < f.jobShare {
		return f.jobTasks
	}
	return 1
}

// constantLoad is a load that never changes.
func constantLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// stepLoad is a load that is higher between two times.
func stepLoad(low, high float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return high
		}
		return low
	}
}

const (
	// keyedShare and keylessShare of the work are not idempotent.
	keyedShare   = 0.4
	keylessShare = 0.1
	// smallJobShare of the arrivals are small jobs.
	smallJobShare = 0.02
	// warmUpTime lets entries learn before figures count.
	warmUpTime = 10 * time.Second
	// defaultDuration and longLength are measured times.
	defaultDuration = time.Minute
	longDuration    = 3 * time.Minute
	// defaultFaultAt is when faults happen.
	defaultFaultAt = 30 * time.Second
)

// defaultTeams are the customers of the usual mix.
var defaultTeams = []task.Team{"desk", "workshops", "partners"}

// mixedFlows is the usual mix of requests and small jobs of three teams.
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

// equalQuotas gives each team the same weight.
func equalQuotas(names []task.Team) []router.Quota {
	quotas := make([]router.Quota, 0, len(names))
	for _, name := range slices.Sorted(slices.Values(names)) {
		quotas = append(quotas, router.Quota{Team: name, Weight: 1})
	}
	return quotas
}
