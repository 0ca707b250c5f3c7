// Package measurer measures the decisions of entries and agents under load and
// faults. It drives the shipped cores - dispatcher, balancer, queuer, claimer
// and runner - as they are, under virtual time and from seeded random numbers,
// so that the same options give the same figures to the digit. Only what lies
// around the cores is emulated: callers, minions, latencies, links and the
// table service.
//
// The ideal of a task is its service time at an average minion plus the
// latencies from the caller to an entry, from there to a minion of the same
// availability zone, and back. The ideal of a job is that of its longest task,
// or its total work over all slots plus the latencies, if that is more. A
// ratio is the answer time over the ideal. "Alone" is the ratio over the time
// that the task takes at the minion that served it, instead of the average.
//
// A wasted message is one that produces no answer anyone uses: a start that an
// agent refused or never got, a start sent again after a failure, a start whose
// answer nobody uses because another was faster, and a question about
// outstanding attempts. They are given for each 1,000 answered tasks.
package measurer

import (
	"math/rand/v2"
	"time"

	"agatevalve/attendant"
	"agatevalve/balancer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// Options choose the experiments.
type Options struct {
	// Scenario is one of ScenarioNames, or all.
	Scenario   string
	Deployment string
	Seed       uint64
	Tuning     Tuning
	// Length replaces the measured time of trials without faults; 0 doesn't.
	Length time.Duration
	// OwnOnly leaves the baselines out.
	OwnOnly bool
}

// Tuning sets what operators of agents and entries could choose.
type Tuning struct {
	// EntryQueue is how many tasks beyond its slots an entry lets wait at a minion.
	EntryQueue int
	// AgentQueue is how many tasks wait at an agent for a slot.
	AgentQueue int
}

// DefaultTuning returns what the product ships with.
func DefaultTuning() Tuning {
	return Tuning{EntryQueue: balancer.DefaultQueueLimit, AgentQueue: attendant.DefaultQueueLength}
}

// OwnPolicy is the name of the policy that the product ships with.
const OwnPolicy = "agatevalve"

// longQueue lets the minions of the baselines queue what they can't run.
const longQueue = 1 << 20

// contender is a way to choose minions, with the agents' queue that it needs.
type contender struct {
	name string
	// chooser makes the chooser of an entry; open tells whether it has a link
	// to an agent.
	chooser func(o balancer.Options, open func(task.Process) bool) dispatcher.Chooser
	queue   func(Tuning) int
}

func (o Options) contenders() []contender {
	all := contenders()
	if o.OwnOnly {
		return all[:1]
	}
	return all
}

func contenders() []contender {
	own := func(o balancer.Options, _ func(task.Process) bool) dispatcher.Chooser {
		return balancer.New(balancer.ShortestExpectedDelay{}, o)
	}
	return []contender{
		{OwnPolicy, own, func(t Tuning) int { return t.AgentQueue }},
		baseline("random", func() balancer.Random { return balancer.Random{} }),
		baseline("round-robin", balancer.NewRoundRobin),
		baseline("least-outstanding", func() balancer.LeastOutstanding { return balancer.LeastOutstanding{} }),
	}
}

// baseline sends at once to any minion to which there is a link.
func baseline[P balancer.Policy](name string, policy func() P) contender {
	return contender{
		name: name,
		chooser: func(o balancer.Options, open func(task.Process) bool) dispatcher.Chooser {
			return balancer.New(linked[P]{inner: policy(), open: open}, o)
		},
		queue: func(Tuning) int { return longQueue },
	}
}

// linked lets a policy choose among the minions to which there is a link. The
// shipped policy doesn't need it, as it pauses after a refusal.
type linked[P balancer.Policy] struct {
	inner P
	open  func(task.Process) bool
}

// Pick returns the inner policy's choice, or -1 when there is no link at all.
func (l linked[P]) Pick(now time.Time, work balancer.Work, candidates []balancer.Candidate, random *rand.Rand) int {
	var open []balancer.Candidate
	var places []int
	for i, c := range candidates {
		if l.open(c.Minion.ID) {
			open = append(open, c)
			places = append(places, i)
		}
	}
	i := l.inner.Pick(now, work, open, random)
	if i < 0 {
		return -1
	}
	return places[i]
}

// Run performs the experiments one after the other.
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
		report.Scenarios = append(report.Scenarios, runScenario(d, s, o, tamper{}))
	}
	return report, nil
}

func runScenario(d Deployment, s scenario, o Options, plant tamper) Scenario {
	done := Scenario{Name: s.name, About: s.about}
	for _, t := range s.trials {
		t = t.shortened(o.Length)
		one := Trial{Name: t.name, Offered: t.offered}
		for _, p := range o.contenders() {
			one.Policies = append(one.Policies, newWorld(d, t, p, o, plant).run())
		}
		done.Trials = append(done.Trials, one)
		done.Targets = append(done.Targets, judgeTrial(one)...)
	}
	if s.judge != nil {
		done.Targets = append(done.Targets, s.judge(d, done.Trials)...)
	}
	return done
}
