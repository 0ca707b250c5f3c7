// Package surveyor measures what agatevalve costs as it grows. It runs the
// shipped code on the loopback interface at several sizes, beside small
// stand-ins for minions and the table service, and fits a line through the
// costs. The capacity page multiplies the slopes of these lines by the sizes
// of a fleet that no single machine could hold.
//
// Processor time and memory are those of the whole process. Where both ends
// of a connection run in it, a cost includes both, and bounds each from above.
package surveyor

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"agatevalve/common/fault"
)

// Command is the command line that measures the slopes.
const Command = "agatevalve --format json measure --scenario slopes"

// Options set the sizes of a survey.
type Options struct {
	// Scale multiplies all sizes; 0 takes 1. Tests use less.
	Scale float64
	// Note is told the name of each slope before it is measured; nil is silent.
	Note func(name string)
}

// survey is one run.
type survey struct {
	scale float64
}

// probe measures one or more slopes that come from the same runs.
type probe struct {
	name    string
	measure func(ctx context.Context) ([]Slope, error)
}

// Run measures all slopes, one after the other.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Scale == 0 {
		o.Scale = 1
	}
	if o.Note == nil {
		o.Note = func(string) {}
	}
	s := &survey{scale: o.Scale}
	report := Report{Commit: commit(), Go: runtime.Version(), Processors: runtime.NumCPU()}
	for _, p := range s.probes() {
		o.Note(p.name)
		slopes, err := p.measure(ctx)
		if err != nil {
			return Report{}, fault.Wrap(err, fault.KindOf(err), "run it again on an idle machine", "%s could not be measured", p.name)
		}
		for _, slope := range slopes {
			report.Slopes = append(report.Slopes, slope.fitted())
		}
	}
	report.At = time.Now().UTC().Truncate(time.Second)
	return report, nil
}

func (s *survey) probes() []probe {
	return []probe{
		{"announcements", s.announcements},
		{"agents of an entry", s.entryAgents},
		{"idle links", s.idleLinks},
		{"links", s.links},
		{"agents", s.agents},
		{"starts over a link", s.linkStarts},
		{"requests", s.requests},
		{"starts in the core", s.coreStarts},
		{"starts in the agent", s.agentStarts},
		{"tasks", s.tasks},
		{"teams", s.teams},
		{"membership", s.membership},
		{"polls", s.polls},
		{"claims", s.claims},
		{"claim rows", s.claimRows},
		{"tables", s.tables},
		{"changes", s.changes},
		{"changes in force", s.changesInForce},
	}
}

// sizes scales sizes, and keeps them apart.
func (s *survey) sizes(sizes ...int) []int {
	scaled := make([]int, 0, len(sizes))
	last := 0
	for _, n := range sizes {
		last = max(last+1, int(float64(n)*s.scale))
		scaled = append(scaled, last)
	}
	return scaled
}

// collect measures the costs of several slopes at each size.
func collect(slopes []Slope, sizes []int, costs func(size int) ([]float64, error)) ([]Slope, error) {
	for _, size := range sizes {
		found, err := costs(size)
		if err != nil {
			return nil, err
		}
		if len(found) != len(slopes) {
			panic(fmt.Sprintf("surveyor: %d costs of %d slopes", len(found), len(slopes)))
		}
		for i, cost := range found {
			slopes[i].Points = append(slopes[i].Points, Point{Size: float64(size), Cost: cost})
		}
	}
	return slopes, nil
}

// commit returns the version that the build noted.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return revision + changed
}
