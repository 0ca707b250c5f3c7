package soaker

import (
	"bytes"
	"fmt"
	"time"

	"agatevalve/common/work"
	"agatevalve/platform/imitator"
)

// PlantedFault selects a deliberate violation, which tests that the checks detect it.
type PlantedFault string

// The violations that can be planted, one for each guarantee.
const (
	// DoubledStarts reports a second concurrent run for each start.
	DoubledStarts PlantedFault = "doubled-starts"
	// StrayStarts reports starts of a job that no caller submitted.
	StrayStarts PlantedFault = "stray-starts"
	// LostEnds hides completed tasks, so that their job succeeds without them.
	LostEnds PlantedFault = "lost-ends"
	// RefusedStarts reports starts of jobs that were refused.
	RefusedStarts PlantedFault = "refused-starts"
	// DrainedStarts reports starts at minions after their drain deadline.
	DrainedStarts PlantedFault = "drained-starts"
	// FullMinions reports starts that exceed the capacity of their minion.
	FullMinions PlantedFault = "full-minions"
	// RepeatedCrashes reports starts of tasks that have crashed minions before.
	RepeatedCrashes PlantedFault = "repeated-crashes"
	// WrongLabels reports starts at minions without the label of the job.
	WrongLabels PlantedFault = "wrong-labels"
	// EvacuatedStarts reports starts in zones that were evacuated long before.
	EvacuatedStarts PlantedFault = "evacuated-starts"
	// MissingRoutes publishes configurations without their probe route.
	MissingRoutes PlantedFault = "missing-routes"
	// DroppedRoutes publishes configurations without a route that callers use.
	DroppedRoutes PlantedFault = "dropped-routes"
	// ShadowedRoutes publishes configurations with routes whose prefixes are longer than
	// those that callers use, and lead to a service without minions.
	ShadowedRoutes PlantedFault = "shadowed-routes"
	// UnreadableDocuments publishes documents whose version is no number.
	UnreadableDocuments PlantedFault = "unreadable-documents"
	// CutAnswers resets the connections of callers without marking a fault.
	CutAnswers PlantedFault = "cut-answers"
	// LateEnds makes minions that are processes of their own say that stopped runs went
	// on for lateEnd after their stop. They are slow, so that runs are moved elsewhere.
	LateEnds PlantedFault = "late-ends"
	// DeadMinions crashes all minions for the rest of the soak test.
	DeadMinions PlantedFault = "dead-minions"
)

const (
	lateEnd = 2 * time.Second
	// lateEndFactor multiplies the duration of runs at minions with LateEnds.
	lateEndFactor = 5
)

// isInDocuments reports whether the violation is in what the operator publishes.
func (f PlantedFault) isInDocuments() bool {
	return f == MissingRoutes || f == DroppedRoutes || f == ShadowedRoutes || f == UnreadableDocuments
}

// plantInDocument returns a drawn document, changed by the planted violation. The last
// route is that of the probes.
func (h *harness) plantInDocument(version int64, routes []imitator.Route) []byte {
	switch h.options.PlantedFault {
	case MissingRoutes:
		routes = routes[:len(routes)-1]
	case DroppedRoutes:
		routes = routes[1:]
	case ShadowedRoutes:
		for _, r := range routes[:len(routes)-1] {
			for _, digit := range "0123456789abcdef" {
				routes = append(routes, imitator.Route{Name: r.Name + string(digit), Prefix: r.Prefix + string(digit), Service: imitator.NobodysService})
			}
		}
	}
	document := h.operator.drawer.Document(version, routes)
	if h.options.PlantedFault == UnreadableDocuments {
		return bytes.Replace(document, fmt.Appendf(nil, `"version":%d`, version), fmt.Appendf(nil, `"version":"%d"`, version), 1)
	}
	return document
}

// runStarted reports a start to the checker, changed by the planted violation. It
// is called with the checker's lock held.
func (h *harness) runStarted(minion string, run work.Run, at time.Time) {
	c := h.checker
	job := c.jobs[run.Job]
	if job == nil {
		c.runStarted(minion, run, at)
		return
	}
	switch h.options.PlantedFault {
	case LostEnds:
		job.hideCompletions = true
	case RefusedStarts:
		job.finished, job.allNotRun = true, true
	case DrainedStarts:
		c.drainDeadlines[minion] = at.Add(-time.Second)
	case FullMinions:
		job.profiles[run.Index].Room.CPU *= 100
	case RepeatedCrashes:
		job.crashes[run.Index], job.startsAfterCrashes[run.Index] = maxCrashes, maxCrashes-1
	case WrongLabels:
		job.Label = "nowhere"
	case EvacuatedStarts:
		for _, zone := range zones {
			c.evacuatedAt[zone] = at.Add(-2 * evacuationBound)
		}
	}
	c.runStarted(minion, run, at)
	switch h.options.PlantedFault {
	case DoubledStarts:
		run.Number++
		c.runStarted(minion, run, at)
	case StrayStarts:
		c.runStarted(minion, work.Run{Task: work.Task{Job: "ffffffffffffffff"}, Number: 1}, at)
	}
}

// runPlantedFault causes the planted violations that don't concern starts or
// configurations.
func (h *harness) runPlantedFault() {
	switch h.options.PlantedFault {
	case CutAnswers:
		for h.ctx.Err() == nil {
			time.Sleep(2 * connectionLossGrace)
			for _, e := range h.entries {
				e.proxy.reset()
			}
		}
	case DeadMinions:
		for _, a := range h.agents[h.childCount():] {
			a.mu.Lock()
			a.downUntil = time.Now().Add(time.Hour)
			a.minion.Crash()
			a.mu.Unlock()
		}
	}
}
