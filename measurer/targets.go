package measurer

import (
	"math"
	"time"
)

const (
	steadyLoad = 0.8
	// Bounds of ratios.
	maxSteadyP50     = 1.05
	maxSteadyP99     = 1.5
	maxSlowMinionP99 = 2.0
	maxTeamP99Ratio  = 1.2
	// maxWastedStrict and maxWastedLenient bound the wasted messages per 1,000
	// answered tasks, for high and low waste weights.
	maxWastedStrict  = 5
	maxWastedLenient = 20
	// strictWasteWeight is the lowest waste weight to which maxWastedStrict
	// applies.
	strictWasteWeight = 50
	// minGoodputShare bounds the goodput at twice the capacity, divided by the
	// highest goodput of all overloads.
	minGoodputShare = 0.95
	// maxRecovery bounds the time to recover after an overload.
	maxRecovery = 2 * time.Second
	// maxSuspectShare bounds the share of starts that a failing minion gets.
	maxSuspectShare = 0.01
	// maxSilentLinkDelay bounds the time that a silent link costs an affected
	// request.
	maxSilentLinkDelay = time.Second
)

func atMost(name string, value, bound float64) Target {
	return Target{Name: name, Value: value, Bound: bound}
}

// commonTargets returns the targets of every trial: no broken promise, no late
// refusal, and a p99 at most that of the best baseline.
func commonTargets(t Trial) []Target {
	own := t.Shipped()
	targets := []Target{
		atMost(t.Name+": violations", float64(len(own.Violations)), 0),
		atMost(t.Name+": late refusals", float64(own.LateRefusals), 0),
	}
	baselines := t.Policies[1:]
	if len(baselines) == 0 {
		return targets
	}
	best := math.MaxFloat64
	for _, f := range baselines {
		best = min(best, f.Others.P99)
	}
	return append(targets, atMost(t.Name+": p99 against the best baseline", own.Others.P99, best))
}

func steadyTargets(d Deployment, trials []Trial) []Target {
	var targets []Target
	for _, t := range trials {
		own := t.Shipped()
		if t.Offered == steadyLoad {
			targets = append(targets,
				atMost(t.Name+": p50", own.Ratio.P50, maxSteadyP50),
				atMost(t.Name+": p99", own.Ratio.P99, maxSteadyP99),
			)
		}
		targets = append(targets, wastedTarget(t, d.WasteWeight))
	}
	return targets
}

func wastedTarget(t Trial, weight int) Target {
	bound := float64(maxWastedLenient)
	if weight >= strictWasteWeight {
		bound = maxWastedStrict
	}
	return atMost(t.Name+": wasted for each 1,000 answers", t.Shipped().Wasted.Total(), bound)
}

func overloadTargets(_ Deployment, trials []Trial) []Target {
	var targets []Target
	peak := 0.0
	for _, t := range trials {
		peak = max(peak, t.Shipped().Goodput)
		targets = append(targets, recoveryTarget(t, maxRecovery))
	}
	last := trials[len(trials)-1]
	return append(targets, Target{
		Name: last.Name + ": goodput over the peak", Value: last.Shipped().Goodput / peak, Bound: minGoodputShare, AtLeast: true,
	})
}

// recoveryTarget compares the recovery time with a bound. A recovery that
// didn't happen counts as an unbounded time.
func recoveryTarget(t Trial, bound time.Duration) Target {
	value := math.MaxFloat64
	if own := t.Shipped(); own.Recovered {
		value = own.Recovery.Seconds()
	}
	return atMost(t.Name+": seconds to recover", value, bound.Seconds())
}

func slowMinionTargets(d Deployment, trials []Trial) []Target {
	t := trials[0]
	return []Target{
		atMost(t.Name+": p99", t.Shipped().Ratio.P99, maxSlowMinionP99),
		wastedTarget(t, d.WasteWeight),
	}
}

func failingMinionTargets(_ Deployment, trials []Trial) []Target {
	t := trials[0]
	return []Target{atMost(t.Name+": share of starts after the first 20", t.Shipped().SuspectShare, maxSuspectShare)}
}

func teamTargets(_ Deployment, trials []Trial) []Target {
	alone, beside := trials[0].Shipped().Others.P99, trials[1].Shipped().Others.P99
	return []Target{atMost(trials[1].Name+": the others' p99 over that alone", beside/alone, maxTeamP99Ratio)}
}

func silentLinkTargets(_ Deployment, trials []Trial) []Target {
	t := trials[0]
	return []Target{atMost(t.Name+": seconds that an affected request lost", t.Shipped().MaxAffectedDelay.Seconds(), maxSilentLinkDelay.Seconds())}
}

func drainTargets(_ Deployment, trials []Trial) []Target {
	own := trials[0].Shipped()
	cut := own.Lost + own.Failed + own.MayHaveRun
	return []Target{atMost(trials[0].Name+": requests cut", float64(cut), 0)}
}

func unequalEntriesTargets(d Deployment, trials []Trial) []Target {
	t := trials[0]
	return []Target{
		atMost(t.Name+": p99", t.Shipped().Ratio.P99, maxSteadyP99),
		wastedTarget(t, d.WasteWeight),
	}
}

func hedgeTargets(_ Deployment, trials []Trial) []Target {
	weights := []int{20, 80, 100}
	var targets []Target
	for i, t := range trials {
		targets = append(targets, wastedTarget(t, weights[i]))
	}
	return targets
}
