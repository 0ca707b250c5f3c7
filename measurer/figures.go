package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agatevalve/measurer/verifier"
)

// Report holds the figures of one run.
type Report struct {
	Deployment string
	Seed       uint64
	// Capacity is the tasks that all minions together end in a second.
	Capacity  float64
	Scenarios []Scenario
}

// Scenario holds the trials of one scenario and how they met the targets.
type Scenario struct {
	Name    string
	About   string
	Trials  []Trial
	Targets []Target
}

// Trial holds the figures of each policy in one experiment.
type Trial struct {
	Name string
	// Offered is the offered load over capacity.
	Offered  float64
	Policies []Figures
}

// Figures are what one policy did in one trial.
type Figures struct {
	Policy string
	// Offered counts requests and jobs, OfferedTasks their tasks.
	Offered, OfferedTasks int
	// Answers counts complete answers in time, AnsweredTasks their tasks.
	Answers, AnsweredTasks int
	// LateAnswers came after their deadline.
	LateAnswers int
	// Errors counts answers in which a minion itself reports an error.
	Errors int
	// NotRun, Failed and MayHaveRun count refusals and failures by outcome.
	NotRun, Failed, MayHaveRun int
	// Reasons counts them by outcome and reason.
	Reasons map[string]int
	// LateRefusals came after their deadline.
	LateRefusals int
	// Lost counts callers that lost their connection and couldn't ask again,
	// Withdrawn those that went away.
	Lost, Withdrawn int
	// Goodput is the tasks answered in time in a second, over capacity.
	Goodput float64
	// Ratio is of all answers, Requests and Jobs of each kind, Alone over the
	// time at the minion that served, and Others of all teams but the greedy one.
	Ratio, Requests, Jobs, Alone, Others Quantiles
	Wasted                               Wasted
	// StoreWrites counts the transactions of claims.
	StoreWrites uint64
	// SuspectShare is the part of the starts that a failing minion got after
	// its first 20.
	SuspectShare float64
	// Recovery is the time until work ends as before the fault, if Recovered.
	Recovery  time.Duration
	Recovered bool
	// Affected counts the works that a silent link touched, and AffectedMost is
	// the longest time that one took beyond the minion's own.
	Affected         int
	MaxAffectedDelay time.Duration
	Violations       []verifier.Violation
	// WorstTrace is the trace of the answer with the greatest ratio.
	WorstTrace []string
	// Distribution is that of Ratio, for plots.
	Distribution []Point
}

// Quantiles are of a ratio.
type Quantiles struct {
	Count          int64
	P50, P99, P999 float64
}

// Wasted messages for each 1,000 answered tasks.
type Wasted struct {
	// Busy are starts that an agent refused because it was full.
	Busy float64
	// Refusals are starts that did not run for another reason.
	Refusals float64
	// Resends are starts sent again after a failure.
	Resends float64
	// Unused are starts whose answer came second.
	Unused float64
	// Probes are questions about outstanding attempts.
	Probes float64
	// Unsent are starts that found no link and never left the entry; they are
	// no messages and aren't part of the total.
	Unsent float64
	// Strays are reports that match no attempt; they follow from the others
	// and aren't part of the total.
	Strays float64
}

// Total returns the wasted messages of all kinds.
func (w Wasted) Total() float64 { return w.Busy + w.Refusals + w.Resends + w.Unused + w.Probes }

// Target is a bound on a figure of the product's own policy.
type Target struct {
	Name  string
	Value float64
	// Bound is the limit: a least value when AtLeast, else a most value.
	Bound   float64
	AtLeast bool
}

// Met reports whether the value is within the bound.
func (t Target) Met() bool {
	if t.AtLeast {
		return t.Value >= t.Bound
	}
	return t.Value <= t.Bound
}

// Violations returns the number of broken promises, of all policies.
func (r Report) Violations() int {
	n := 0
	for _, s := range r.Scenarios {
		for _, t := range s.Trials {
			for _, f := range t.Policies {
				n += len(f.Violations)
			}
		}
	}
	return n
}

// Shipped returns the figures of the product's own policy.
func (t Trial) Shipped() Figures { return t.Policies[0] }

// Point is a place on a distribution: the share of answers up to a ratio.
type Point struct{ Ratio, Share float64 }

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) * ratioUnit
	}
	return Quantiles{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9)}
}

func distributionOf(h *hdrhistogram.Histogram) []Point {
	if h.TotalCount() == 0 {
		return nil
	}
	var points []Point
	for _, b := range h.CumulativeDistribution() {
		points = append(points, Point{float64(b.ValueAt) * ratioUnit, b.Quantile / 100})
	}
	return points
}
