package measurer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agatevalve/measurer/verifier"
)

// Report holds the figures of all scenarios that were run.
type Report struct {
	Deployment string
	Seed       uint64
	// Capacity is the number of tasks that all minions can complete per second.
	Capacity  float64
	Scenarios []Scenario
}

// Scenario holds the trials of one scenario and their results against the
// targets.
type Scenario struct {
	Name    string
	About   string
	Trials  []Trial
	Targets []Target
}

// Trial holds the figures of each policy in one experiment; the shipped policy
// comes first.
type Trial struct {
	Name string
	// Offered is the offered load divided by capacity.
	Offered  float64
	Policies []Figures
}

// Figures holds the results of one policy in one trial.
type Figures struct {
	Policy string
	// Offered counts the requests and jobs that arrived, OfferedTasks their
	// tasks.
	Offered, OfferedTasks int
	// Answers counts complete answers in time, AnsweredTasks their tasks.
	Answers, AnsweredTasks int
	// LateAnswers counts complete answers after their deadline.
	LateAnswers int
	// Errors counts answers in which a minion reports a server error.
	Errors int
	// NotRun, Failed and MayHaveRun count refusals and failures by outcome.
	NotRun, Failed, MayHaveRun int
	// Reasons counts refusals and failures by outcome and reason.
	Reasons map[string]int
	// LateRefusals counts refusals and failures after their deadline.
	LateRefusals int
	// Lost counts callers that lost their connection and couldn't submit again,
	// Withdrawn those that cancelled.
	Lost, Withdrawn int
	// Goodput is the number of tasks answered in time per second, divided by
	// capacity.
	Goodput float64
	// Ratio covers all answers, Requests and Jobs each kind, and Others all teams
	// but the greedy one. Alone uses the time at the minion that served the work
	// instead of the ideal time.
	Ratio, Requests, Jobs, Alone, Others Quantiles
	Wasted                               Wasted
	// StoreWrites counts the transactions that write claims.
	StoreWrites uint64
	// SuspectShare is a failing minion's share of the starts after its first 20.
	SuspectShare float64
	// Recovery is the time until work ends as before the fault; it is valid if
	// Recovered is true.
	Recovery  time.Duration
	Recovered bool
	// Affected counts the requests and jobs that lost a frame on a silent link;
	// MaxAffectedDelay is the longest time that one took beyond that at an idle
	// minion.
	Affected         int
	MaxAffectedDelay time.Duration
	Violations       []verifier.Violation
	// WorstTrace lists the steps of the answer with the greatest ratio.
	WorstTrace []string
	// Distribution is the cumulative distribution of Ratio, for plots.
	Distribution []Point
}

// Quantiles holds the quantiles of a ratio and the number of its values.
type Quantiles struct {
	Count          int64
	P50, P99, P999 float64
}

// Wasted holds the wasted messages per 1,000 answered tasks, by cause.
type Wasted struct {
	// Busy counts starts that an agent refused because its queue was full.
	Busy float64
	// Refusals counts starts that were refused for another reason.
	Refusals float64
	// Resends counts starts that were sent again after a failure.
	Resends float64
	// Unused counts starts whose answer came after that of another.
	Unused float64
	// Probes counts inquiries about outstanding attempts.
	Probes float64
	// Unsent counts starts that never left the entry because there was no link.
	// They aren't messages, so Total leaves them out.
	Unsent float64
	// Strays counts reports that match no attempt. They are a consequence of the
	// others, so Total leaves them out.
	Strays float64
}

// Total returns the sum over all causes that count as messages.
func (w Wasted) Total() float64 { return w.Busy + w.Refusals + w.Resends + w.Unused + w.Probes }

// Target is a bound on a figure of the shipped policy.
type Target struct {
	Name  string
	Value float64
	// Bound is the minimum if AtLeast is true, otherwise the maximum.
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

// Violations returns the number of broken promises to callers under all
// policies.
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

// Shipped returns the figures of the shipped policy.
func (t Trial) Shipped() Figures { return t.Policies[0] }

// Point is a point of a cumulative distribution: the share of answers up to a
// ratio.
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
