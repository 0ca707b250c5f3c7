// Package surveyor measures how the costs of agatevalve scale. It runs the
// production code on the loopback interface at several sizes, with small
// stand-ins for minions and for the table service, and fits a line to the costs.
// The capacity page multiplies the gradients of these lines by the sizes of a
// fleet that is too large for a single machine.
//
// Processor time and memory are those of the whole process. Where both ends of
// a connection run in it, a cost includes both, and is an upper bound for each.
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

// Options configures a survey.
type Options struct {
	// Scale multiplies all sizes; 0 means 1. Tests use less.
	Scale float64
	// Progress is called with the name of each probe before it runs; nil is
	// ignored.
	Progress func(name string)
}

// survey holds the parameters of one run.
type survey struct {
	scale float64
}

// probe measures one or more slopes in the same runs.
type probe struct {
	name    string
	measure func(ctx context.Context) ([]Slope, error)
}

// Run measures all slopes sequentially.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Scale == 0 {
		o.Scale = 1
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	s := &survey{scale: o.Scale}
	report := Report{Commit: buildCommit(), GoVersion: runtime.Version(), Processors: runtime.NumCPU()}
	for _, p := range s.probes() {
		o.Progress(p.name)
		slopes, err := p.measure(ctx)
		if err != nil {
			return Report{}, fault.Wrap(err, fault.KindOf(err), "run it again on an idle machine", "%s could not be measured", p.name)
		}
		for _, slope := range slopes {
			report.Slopes = append(report.Slopes, slope.withFittedLine())
		}
	}
	report.EndedAt = time.Now().UTC().Truncate(time.Second)
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

// scaleSizes multiplies sizes by the survey's scale, and keeps them distinct.
func (s *survey) scaleSizes(sizes ...int) []int {
	scaled := make([]int, 0, len(sizes))
	last := 0
	for _, n := range sizes {
		last = max(last+1, int(float64(n)*s.scale))
		scaled = append(scaled, last)
	}
	return scaled
}

// collect calls measure for each size, and appends one of the returned costs to
// each slope.
func collect(slopes []Slope, sizes []int, measure func(size int) ([]float64, error)) ([]Slope, error) {
	for _, size := range sizes {
		costs, err := measure(size)
		if err != nil {
			return nil, err
		}
		if len(costs) != len(slopes) {
			panic(fmt.Sprintf("surveyor: %d costs of %d slopes", len(costs), len(slopes)))
		}
		for i, cost := range costs {
			slopes[i].Points = append(slopes[i].Points, Point{Size: float64(size), Cost: cost})
		}
	}
	return slopes, nil
}

// buildCommit returns the VCS revision from the build information, with a plus
// sign if the sources were modified.
func buildCommit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, suffix := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+"
		}
	}
	return revision + suffix
}
