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
	// warm is the time before figures count, and length the measured time.
	warm, length time.Duration
	flows        []flow
	// entryShares replaces the deployment's shares when not nil.
	entryShares []float64
	quotas      []router.Quota
	// resubmit is how often each keyed work is submitted again.
	resubmit int
	// straggle is the share of starts that take straggleFactor times as long.
	straggle float64
	// weight replaces the deployment's waste weight when not nil.
	weight *int
	// fault happens at faultAt after the epoch.
	fault   func(*world)
	faultAt time.Duration
	// recoverFrom is when recovery is measured from; 0 doesn't.
	recoverFrom time.Duration
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
	// keyed and keyless are the shares of work that is not idempotent with and
	// without a key; the rest is idempotent and keyless.
	keyed, keyless float64
	// jobShare of the arrivals are jobs of jobTasks tasks.
	jobShare float64
	jobTasks int
}

func (t trial) end() time.Duration { return t.warm + t.length }

func (t trial) goodputFrom() time.Duration {
	if t.peakFrom > 0 {
		return t.peakFrom
	}
	return t.warm
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
	return d.Shares
}

// shortened returns the trial with another measured length. Times after the
// warm-up keep their place, so the length must cover them.
func (t trial) shortened(length time.Duration) trial {
	if length > 0 && t.recoverFrom == 0 {
		t.length = length
	}
	return t
}

func (f flow) tasksPerArrival() float64 { return 1 + f.jobShare*float64(f.jobTasks-1) }

// draw returns the number of tasks of an arrival.
func (f flow) draw(random *rand.Rand) int {
	if random.Float64() < f.jobShare {
		return f.jobTasks
	}
	return 1
}

// constant is a load that never changes.
func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// step is a load that is higher between two times.
func step(low, high float64, from, until time.Duration) func(time.Duration) float64 {
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
	// warmUp lets entries learn before figures count.
	warmUp = 10 * time.Second
	// usualLength and longLength are measured times.
	usualLength = time.Minute
	longLength  = 3 * time.Minute
	// usualFault is when faults happen.
	usualFault = 30 * time.Second
)

// teams are the customers of the usual mix.
var teams = []task.Team{"desk", "workshops", "partners"}

// mixed is the usual mix of requests and small jobs of three teams.
func mixed(load func(time.Duration) float64) []flow {
	flows := make([]flow, 0, len(teams))
	for i, team := range teams {
		flows = append(flows, flow{
			stream: i, team: team, keyed: keyedShare, keyless: keylessShare,
			jobShare: smallJobShare, jobTasks: smallJob,
			load: func(at time.Duration) float64 { return load(at) / float64(len(teams)) },
		})
	}
	return flows
}

// steadily returns a trial of constant load without faults.
func steadily(name string, load float64) trial {
	return trial{
		name: name, offered: load, warm: warmUp, length: usualLength, flows: mixed(constant(load)),
	}
}

// faulty returns a trial of constant load with a fault in its middle.
func faulty(name string, load float64, fault func(*world)) trial {
	t := steadily(name, load)
	t.fault, t.faultAt, t.recoverFrom = fault, usualFault, usualFault
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
