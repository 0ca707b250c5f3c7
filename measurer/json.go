package measurer

import (
	"encoding/json"
	"io"
	"math"
)

type wireReport struct {
	Deployment string         `json:"deployment"`
	Seed       uint64         `json:"seed"`
	Capacity   float64        `json:"capacity"`
	Definition string         `json:"definition"`
	Scenarios  []wireScenario `json:"scenarios"`
}

type wireScenario struct {
	Name    string       `json:"name"`
	About   string       `json:"about"`
	Trials  []wireTrial  `json:"trials"`
	Targets []wireTarget `json:"targets"`
}

type wireTrial struct {
	Name     string        `json:"name"`
	Offered  float64       `json:"offered-load"`
	Policies []wireFigures `json:"policies"`
}

type wireFigures struct {
	Policy          string          `json:"policy"`
	Offered         int             `json:"offered"`
	OfferedTasks    int             `json:"offered-tasks"`
	Answers         int             `json:"answers"`
	AnsweredTasks   int             `json:"answered-tasks"`
	LateAnswers     int             `json:"late-answers"`
	Errors          int             `json:"errors"`
	NotRun          int             `json:"not-run"`
	Failed          int             `json:"failed"`
	MayHaveRun      int             `json:"may-have-run"`
	Reasons         map[string]int  `json:"reasons"`
	LateRefusals    int             `json:"late-refusals"`
	Lost            int             `json:"lost"`
	Withdrawn       int             `json:"withdrawn"`
	Goodput         float64         `json:"goodput"`
	Ratio           wireQuantiles   `json:"ratio"`
	Requests        wireQuantiles   `json:"ratio-of-requests"`
	Jobs            wireQuantiles   `json:"ratio-of-jobs"`
	Alone           wireQuantiles   `json:"ratio-alone"`
	Others          wireQuantiles   `json:"ratio-of-other-teams"`
	Wasted          wireWasted      `json:"wasted"`
	StoreWrites     uint64          `json:"store-writes"`
	SuspectShare    float64         `json:"suspect-share"`
	RecoverySeconds *float64        `json:"recovery-seconds"`
	Affected        int             `json:"affected"`
	AffectedSeconds float64         `json:"affected-seconds"`
	Worst           []string        `json:"worst"`
	Violations      []wireViolation `json:"violations"`
}

type wireQuantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
}

type wireWasted struct {
	Total    float64 `json:"total"`
	Busy     float64 `json:"busy-refusals"`
	Refusals float64 `json:"other-refusals"`
	Resends  float64 `json:"resends"`
	Unused   float64 `json:"unused"`
	Probes   float64 `json:"probes"`
	Unsent   float64 `json:"unsent"`
	Strays   float64 `json:"strays"`
}

type wireTarget struct {
	Name string `json:"name"`
	// Value is null if it is unbounded, for example if no recovery was seen.
	Value   *float64 `json:"value"`
	Bound   float64  `json:"bound"`
	AtLeast bool     `json:"at-least"`
	Met     bool     `json:"met"`
}

type wireViolation struct {
	Promise   string   `json:"promise"`
	Job       string   `json:"job"`
	AtSeconds float64  `json:"at-seconds"`
	Detail    string   `json:"detail"`
	Trace     []string `json:"trace"`
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	out := wireReport{Deployment: r.Deployment, Seed: r.Seed, Capacity: r.Capacity, Definition: definition}
	for _, s := range r.Scenarios {
		out.Scenarios = append(out.Scenarios, s.toWire())
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

func (s Scenario) toWire() wireScenario {
	out := wireScenario{Name: s.Name, About: s.About}
	for _, t := range s.Trials {
		trial := wireTrial{Name: t.Name, Offered: t.Offered}
		for _, f := range t.Policies {
			trial.Policies = append(trial.Policies, f.toWire())
		}
		out.Trials = append(out.Trials, trial)
	}
	for _, t := range s.Targets {
		out.Targets = append(out.Targets, t.toWire())
	}
	return out
}

func (t Target) toWire() wireTarget {
	out := wireTarget{Name: t.Name, Bound: t.Bound, AtLeast: t.AtLeast, Met: t.Met()}
	if t.Value != math.MaxFloat64 {
		out.Value = &t.Value
	}
	return out
}

func (f Figures) toWire() wireFigures {
	out := wireFigures{
		Policy: f.Policy, Offered: f.Offered, OfferedTasks: f.OfferedTasks,
		Answers: f.Answers, AnsweredTasks: f.AnsweredTasks, LateAnswers: f.LateAnswers, Errors: f.Errors, Reasons: f.Reasons,
		NotRun: f.NotRun, Failed: f.Failed, MayHaveRun: f.MayHaveRun, LateRefusals: f.LateRefusals,
		Lost: f.Lost, Withdrawn: f.Withdrawn, Goodput: f.Goodput,
		Ratio: f.Ratio.toWire(), Requests: f.Requests.toWire(), Jobs: f.Jobs.toWire(),
		Alone: f.Alone.toWire(), Others: f.Others.toWire(), Wasted: f.Wasted.toWire(),
		StoreWrites: f.StoreWrites, SuspectShare: f.SuspectShare,
		Affected: f.Affected, AffectedSeconds: f.MaxAffectedDelay.Seconds(),
		Worst: f.WorstTrace, Violations: []wireViolation{},
	}
	if f.Recovered {
		seconds := f.Recovery.Seconds()
		out.RecoverySeconds = &seconds
	}
	for _, v := range f.Violations {
		out.Violations = append(out.Violations, wireViolation{
			Promise: v.Promise, Job: v.Job.String(), AtSeconds: v.At.Seconds(), Detail: v.Detail, Trace: v.Trace,
		})
	}
	return out
}

func (q Quantiles) toWire() wireQuantiles {
	return wireQuantiles(q)
}

func (w Wasted) toWire() wireWasted {
	return wireWasted{
		Total: w.Total(), Busy: w.Busy, Unsent: w.Unsent, Refusals: w.Refusals, Resends: w.Resends, Unused: w.Unused, Probes: w.Probes, Strays: w.Strays,
	}
}
