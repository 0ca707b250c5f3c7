// Package measurer measures how entries and agents place tasks under load and
// faults. It runs the shipped decision code (dispatcher, balancer, queuer,
// claimer and runner) unchanged, in virtual time and with seeded random
// numbers, so that the same options give exactly the same figures. Only what
// surrounds that code is emulated: callers, minions, latencies, links and the
// table service.
//
// The ideal time of a task is its service time at an average minion plus the
// latencies from the caller to an entry, from there to a minion of the same
// availability zone, and back. The ideal time of a job is that of its longest
// task or, if that is more, its total work divided by all slots plus the
// latencies. A ratio is the answer time divided by the ideal time. The ratio
// "alone" uses the service time at the minion that served the task instead of
// that at an average minion.
//
// A wasted message is one that produces no answer that is used: a start that an
// agent refused or never received, a start that is sent again after a failure,
// a start whose answer is unused because another came first, and an inquiry
// about outstanding attempts. They are counted per 1,000 answered tasks.
package measurer

import (
	"math/rand/v2"
	"time"

	"agatevalve/attendant"
	"agatevalve/balancer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// Options selects the experiments to run and their parameters.
type Options struct {
	// Scenario is one of ScenarioNames, or "all".
	Scenario   string
	Deployment string
	Seed       uint64
	Tuning     Tuning
	// Duration replaces the measured time of trials without faults, unless it is
	// 0.
	Duration time.Duration
	// SkipBaselines runs the shipped policy only.
	SkipBaselines bool
}

// Tuning holds the queue limits that operators of entries and agents can set.
type Tuning struct {
	// EntryQueue is the number of tasks beyond its slots that an entry sends to
	// one minion.
	EntryQueue int
	// AgentQueue is the maximum number of tasks that wait at an agent for a slot.
	AgentQueue int
}

// DefaultTuning returns the default queue limits of entries and agents.
func DefaultTuning() Tuning {
	return Tuning{EntryQueue: balancer.DefaultQueueLimit, AgentQueue: attendant.DefaultQueueLength}
}

// ShippedPolicy is the name of the policy that entries use in production.
const ShippedPolicy = "agatevalve"

// baselineQueueLength is large enough that agents never refuse a task of a
// baseline policy for lack of room in their queue.
const baselineQueueLength = 1 << 20

// policySpec is a policy under test: how it chooses minions, and the length of
// the agents' queue that it needs.
type policySpec struct {
	name string
	// newChooser returns the chooser of one entry; hasLink reports whether the
	// entry has a link to an agent.
	newChooser func(o balancer.Options, hasLink func(task.Process) bool) dispatcher.Chooser
	agentQueue func(Tuning) int
}

func (o Options) policies() []policySpec {
	all := allPolicies()
	if o.SkipBaselines {
		return all[:1]
	}
	return all
}

func allPolicies() []policySpec {
	shipped := func(o balancer.Options, _ func(task.Process) bool) dispatcher.Chooser {
		return balancer.New(balancer.ShortestExpectedDelay{}, o)
	}
	return []policySpec{
		{ShippedPolicy, shipped, func(t Tuning) int { return t.AgentQueue }},
		baseline("random", func() balancer.Random { return balancer.Random{} }),
		baseline("round-robin", balancer.NewRoundRobin),
		baseline("least-outstanding", func() balancer.LeastOutstanding { return balancer.LeastOutstanding{} }),
	}
}

// baseline returns a policy that sends a task at once to any minion whose agent
// the entry has a link to.
func baseline[P balancer.Policy](name string, policy func() P) policySpec {
	return policySpec{
		name: name,
		newChooser: func(o balancer.Options, open func(task.Process) bool) dispatcher.Chooser {
			return balancer.New(linkedOnly[P]{inner: policy(), isLinked: open}, o)
		},
		agentQueue: func(Tuning) int { return baselineQueueLength },
	}
}

// linkedOnly restricts a policy to the minions whose agents the entry has a
// link to. The shipped policy doesn't need it, as it avoids a minion for a
// while after a refusal.
type linkedOnly[P balancer.Policy] struct {
	inner    P
	isLinked func(task.Process) bool
}

// Pick returns the index of the inner policy's choice, or -1 if there is no
// link.
func (l linkedOnly[P]) Pick(now time.Time, work balancer.Work, candidates []balancer.Candidate, random *rand.Rand) int {
	var linked []balancer.Candidate
	var indexes []int
	for i, c := range candidates {
		if l.isLinked(c.Minion.ID) {
			linked = append(linked, c)
			indexes = append(indexes, i)
		}
	}
	i := l.inner.Pick(now, work, linked, random)
	if i < 0 {
		return -1
	}
	return indexes[i]
}

// Run runs the selected experiments one after the other.
func Run(o Options) (Report, error) {
	d, err := FindDeployment(o.Deployment)
	if err != nil {
		return Report{}, err
	}
	chosen, err := findScenarios(o.Scenario)
	if err != nil {
		return Report{}, err
	}
	report := Report{Deployment: d.Name, Seed: o.Seed, Capacity: d.capacity()}
	for _, s := range chosen {
		report.Scenarios = append(report.Scenarios, runScenario(d, s, o, injectedFaults{}))
	}
	return report, nil
}

func runScenario(d Deployment, s scenario, o Options, injected injectedFaults) Scenario {
	result := Scenario{Name: s.name, About: s.about}
	for _, t := range s.trials {
		t = t.withDuration(o.Duration)
		trialResult := Trial{Name: t.name, Offered: t.offered}
		for _, p := range o.policies() {
			trialResult.Policies = append(trialResult.Policies, newWorld(d, t, p, o, injected).run())
		}
		result.Trials = append(result.Trials, trialResult)
		result.Targets = append(result.Targets, commonTargets(trialResult)...)
	}
	if s.targets != nil {
		result.Targets = append(result.Targets, s.targets(d, result.Trials)...)
	}
	return result
}
