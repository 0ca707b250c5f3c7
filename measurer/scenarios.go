package measurer

import (
	"fmt"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/task"
)

// scenario is a group of trials whose figures are compared with targets
// together.
type scenario struct {
	name   string
	about  string
	trials []trial
	// targets compares the figures with the scenario's own targets; nil if there
	// are none.
	targets func(d Deployment, trials []Trial) []Target
}

// ScenarioNames returns the names of all scenarios in the order in which they
// run.
func ScenarioNames() []string {
	var names []string
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return names
}

func findScenarios(name string) ([]scenario, error) {
	all := scenarios()
	if name == "" || name == "all" {
		return all, nil
	}
	for _, s := range all {
		if s.name == name {
			return []scenario{s}, nil
		}
	}
	return nil, fault.New(fault.NotFound, "name one of the scenarios that --help lists, or all", "there is no scenario %q", name)
}

func scenarios() []scenario {
	return []scenario{
		{"steady", "constant load without faults", steadyTrials(), steadyTargets},
		{"overload", "a time above capacity, then half of it", overloadTrials(), overloadTargets},
		{"slow-minion", "one minion four times slower than declared", []trial{slowMinionTrial()}, slowMinionTargets},
		{"failing-minion", "one minion fails every request at once", []trial{failingMinionTrial()}, failingMinionTargets},
		{"team-over-quota", "one of five teams at 10 times its share", teamTrials(), teamTargets},
		{"burst-jobs", "jobs of 1,300 tasks beside single requests", []trial{burstJobsTrial()}, nil},
		{"silent-link", "one link after another drops all frames without breaking", []trial{faultTrial("silent-link", 0.8, silenceLinksInTurn)}, silentLinkTargets},
		{"store-down", "the table service refuses everything for 10 s", []trial{faultTrial("store-down", 0.8, takeStoreDown)}, nil},
		{"store-slow", "the table service is 50 times slower for 10 s", []trial{faultTrial("store-slow", 0.8, slowStore)}, nil},
		{"entry-killed", "the largest entry dies and returns after 2 s", []trial{faultTrial("entry-killed", 0.7, killEntry)}, nil},
		{"agent-killed", "an agent dies and returns after 1 s", []trial{faultTrial("agent-killed", 0.7, killAgent)}, nil},
		{"entry-and-agent-killed", "both at once", []trial{faultTrial("entry-and-agent-killed", 0.7, killEntryAndAgent)}, nil},
		{"drain", "an agent and then an entry leave under load", []trial{faultTrial("drain", 0.7, drainAgentThenEntry)}, drainTargets},
		{"resubmission-storm", "every keyed work is sent four times through any entry", []trial{resubmissionStormTrial()}, nil},
		{"cancel-wave", "seven of ten callers go away at once", []trial{cancelWaveTrial()}, nil},
		{"unequal-entries", "one entry gets 85% of the arrivals, another 5%", []trial{unequalEntriesTrial()}, unequalEntriesTargets},
		{"hedge", "one start in 100 takes eight times as long", hedgeTrials(), hedgeTargets},
	}
}

func steadyTrials() []trial {
	var trials []trial
	for _, load := range []float64{0.5, 0.8, 0.95} {
		t := steadyTrial(fmt.Sprintf("steady-%.2f", load), load)
		t.duration = longDuration
		trials = append(trials, t)
	}
	return trials
}

const (
	// overloadBegins and overloadEnds bound the overload, counted from the epoch.
	overloadBegins = 20 * time.Second
	overloadEnds   = 50 * time.Second
	// baseLoad is the load before and after the overload.
	baseLoad = 0.5
)

func overloadTrials() []trial {
	var trials []trial
	for _, load := range []float64{0.95, 1.2, 2} {
		t := trial{
			name: fmt.Sprintf("overload-%.2f", load), offered: load, warmUp: warmUpTime, duration: defaultDuration,
			flows:   mixedFlows(stepLoad(baseLoad, load, overloadBegins, overloadEnds)),
			faultAt: overloadBegins, recoveryFrom: overloadEnds,
			// Measure goodput only once the queues have had time to fill.
			peakFrom: overloadBegins + 5*time.Second, peakUntil: overloadEnds,
		}
		trials = append(trials, t)
	}
	return trials
}

// slowMinionIndex is the minion that turns slow; slowFactor multiplies its
// service times.
const (
	slowMinionIndex = 5
	slowFactor      = 4
)

func slowMinionTrial() trial {
	t := steadyTrial("slow-minion", 0.8)
	t.duration = longDuration
	t.fault = func(w *world) { w.agents[slowMinionIndex].serviceFactor *= slowFactor }
	return t
}

func failingMinionTrial() trial {
	return faultTrial("failing-minion", 0.7, func(w *world) {
		w.agents[0].failing = true
		w.meter.watchMinion(w.agents[0])
	})
}

const (
	// greedyTeam offers greedyFactor times its share of the capacity.
	greedyTeam   = task.Team("greedy")
	greedyFactor = 10
	// modestShare is the part of their share that the other teams use.
	modestShare = 0.7
)

func teamTrials() []trial {
	names := []task.Team{"first", "second", "third", "fourth", greedyTeam}
	share := 1 / float64(len(names))
	var modest []flow
	for i, name := range names[:len(names)-1] {
		modest = append(modest, flow{
			stream: i, team: name, keyedShare: keyedShare, keylessShare: keylessShare, load: constantLoad(share * modestShare),
		})
	}
	greedy := flow{
		stream: len(names), team: greedyTeam, keyedShare: keyedShare, keylessShare: keylessShare,
		load: constantLoad(share * greedyFactor),
	}
	alone := trial{
		name: "team-over-quota-alone", offered: share * modestShare * float64(len(modest)),
		warmUp: warmUpTime, duration: defaultDuration, flows: modest, quotas: equalQuotas(names),
	}
	beside := alone
	beside.name = "team-over-quota"
	beside.offered += share * greedyFactor
	beside.flows = append([]flow{greedy}, modest...)
	return []trial{alone, beside}
}

func burstJobsTrial() trial {
	requests := flow{stream: 0, team: "desk", load: constantLoad(0.4), keyedShare: keyedShare, keylessShare: keylessShare}
	jobs := flow{stream: 1, team: "workshops", load: constantLoad(0.3), keyedShare: 1, jobShare: 1, jobTasks: largeJobTasks}
	return trial{
		name: "burst-jobs", offered: 0.7, warmUp: warmUpTime, duration: longDuration, flows: []flow{requests, jobs},
	}
}

func resubmissionStormTrial() trial {
	t := steadyTrial("resubmission-storm", 0.7)
	t.resubmissions = 3
	return t
}

// cancelWaveTrial overloads the system for 10 s so that a queue builds up
// before the callers cancel.
func cancelWaveTrial() trial {
	t := faultTrial("cancel-wave", 0.8, cancelWave)
	t.flows = mixedFlows(stepLoad(0.8, 1.5, defaultFaultAt-10*time.Second, defaultFaultAt))
	return t
}

func unequalEntriesTrial() trial {
	t := steadyTrial("unequal-entries", 0.8)
	t.duration = longDuration
	t.entryShares = []float64{0.85, 0.1, 0.05}
	return t
}

// stragglerFactor multiplies the service time of a straggling start.
const stragglerFactor = 8

func hedgeTrials() []trial {
	var trials []trial
	for _, weight := range []int{20, 80, 100} {
		t := steadyTrial(fmt.Sprintf("hedge-weight-%d", weight), 0.7)
		t.duration = longDuration
		t.stragglerShare = 0.01
		t.wasteWeight = &weight
		t.flows = []flow{{team: "desk", load: constantLoad(0.7)}}
		trials = append(trials, t)
	}
	return trials
}
