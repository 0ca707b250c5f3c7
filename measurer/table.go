package measurer

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"agatevalve/measurer/verifier"
)

// definition explains the figures; it is printed above every table.
const definition = `ratio: answer time over the ideal, which is the task's time at an average minion
(of a job: its longest task, or its work over all slots) plus the latencies to
and from an entry and a minion of the same zone. alone: the same over the time
at the minion that served. wasted: messages for each 1,000 answered tasks.
`

// WriteTable writes the report as text.
func (r Report) WriteTable(w io.Writer) error {
	p := &printer{w: w}
	p.line("deployment %s, seed %d, capacity %.1f tasks a second", r.Deployment, r.Seed, r.Capacity)
	p.line("%s", definition)
	for _, s := range r.Scenarios {
		p.scenario(s)
	}
	for _, s := range r.Scenarios {
		for _, t := range s.Trials {
			p.violations(r, t)
		}
	}
	return p.err
}

// printer writes lines until its writer fails, and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) scenario(s Scenario) {
	p.line("== %s: %s", s.Name, s.About)
	for _, t := range s.Trials {
		p.trial(t)
	}
	p.targets(s.Targets)
}

var columns = []string{
	"policy", "offered", "answers", "late", "errors", "not-run", "failed", "may-have-run", "late-refusals", "lost", "withdrawn",
	"goodput", "p50", "p99", "p99.9", "others-p99", "jobs-p99", "alone-p99", "busy", "refused", "resent", "unused", "probes", "recovery", "violations",
}

func (p *printer) trial(t Trial) {
	p.line("-- %s, offered load %.2f", t.Name, t.Offered)
	if p.err != nil {
		return
	}
	table := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := [][]string{columns}
	for _, f := range t.Policies {
		rows = append(rows, f.cells())
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")+"\t"); err != nil {
			p.err = err
			return
		}
	}
	p.err = table.Flush()
	p.reasons(t.Shipped())
	p.worst(t.Shipped())
}

// reasons prints how often each refusal or failure occurred.
func (p *printer) reasons(f Figures) {
	for _, reason := range slices.Sorted(maps.Keys(f.Reasons)) {
		p.line("%6d %s", f.Reasons[reason], reason)
	}
}

// maxTraceLines caps the printed steps of the worst answer.
const maxTraceLines = 30

// worst prints the trace of a policy's answer with the greatest ratio.
func (p *printer) worst(f Figures) {
	p.line("the worst answer of %s:", f.Policy)
	for i, line := range f.WorstTrace {
		if i == maxTraceLines {
			p.line("    and %d more steps", len(f.WorstTrace)-maxTraceLines)
			return
		}
		p.line("    %s", line)
	}
}

func (f Figures) cells() []string {
	decimals := func(v float64, n int) string { return strconv.FormatFloat(v, 'f', n, 64) }
	recovery := "-"
	if f.Recovered {
		recovery = f.Recovery.String()
	}
	cells := []string{f.Policy}
	for _, n := range []int{
		f.Offered, f.Answers, f.LateAnswers, f.Errors, f.NotRun, f.Failed, f.MayHaveRun, f.LateRefusals, f.Lost, f.Withdrawn,
	} {
		cells = append(cells, strconv.Itoa(n))
	}
	for _, v := range []float64{f.Goodput, f.Ratio.P50, f.Ratio.P99, f.Ratio.P999, f.Others.P99, f.Jobs.P99, f.Alone.P99} {
		cells = append(cells, decimals(v, 3))
	}
	for _, v := range []float64{f.Wasted.Busy, f.Wasted.Refusals, f.Wasted.Resends, f.Wasted.Unused, f.Wasted.Probes} {
		cells = append(cells, decimals(v, 2))
	}
	return append(cells, recovery, strconv.Itoa(len(f.Violations)))
}

func (p *printer) targets(targets []Target) {
	for _, t := range targets {
		verdict, relation := "met", "at most"
		if !t.Met() {
			verdict = "missed"
		}
		if t.AtLeast {
			relation = "at least"
		}
		p.line("%-6s %s: %s, %s %s", verdict, t.Name, formatNumber(t.Value), relation, formatNumber(t.Bound))
	}
	p.line("")
}

func formatNumber(v float64) string {
	if v == math.MaxFloat64 {
		return "never"
	}
	return strconv.FormatFloat(v, 'g', 5, 64)
}

// maxViolationsPrinted caps the printed violations of one policy in one trial.
const maxViolationsPrinted = 5

func (p *printer) violations(r Report, t Trial) {
	for _, f := range t.Policies {
		for i, v := range f.Violations {
			if i == maxViolationsPrinted {
				p.line("and %d more of %s in %s", len(f.Violations)-maxViolationsPrinted, f.Policy, t.Name)
				break
			}
			p.violation(r.Seed, t.Name, f.Policy, v)
		}
	}
}

func (p *printer) violation(seed uint64, trial, policy string, v verifier.Violation) {
	p.line("VIOLATION of %s in %s, policy %s, seed %d, at %v, job %s: %s", v.Promise, trial, policy, seed, v.At, v.Job, v.Detail)
	for _, line := range v.Trace {
		p.line("    %s", line)
	}
}
