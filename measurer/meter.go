package measurer

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

const (
	// ratioUnit is the resolution of recorded ratios.
	ratioUnit = 1e-4
	// highestRatio is the largest ratio recorded, in units.
	highestRatio = 1e8
	// significant is the number of significant figures.
	significant = 4
	// binWidth is the width of the bins in which recovery is looked for.
	binWidth = 250 * time.Millisecond
	// calmBins successive good bins make a recovery.
	calmBins = 4
	// calmShare is the share of bad ends that a good bin may hold.
	calmShare = 0.2
	// calmQuantile is the ratio before the fault above which an answer counts as bad.
	calmQuantile = 95
	// spared is how many requests a failing minion may get before they count.
	spared = 20
)

// meter gathers the figures of one experiment.
type meter struct {
	world *world
	// ratio holds answer time over ideal, requests and jobs the same for
	// single requests and jobs, and alone answer time over the time at the
	// minion that served it.
	ratio, requests, jobs, alone *hdrhistogram.Histogram
	// teams holds the ratio of each team.
	teams map[task.Team]*hdrhistogram.Histogram
	// before holds the ratio of work that began before the fault.
	before *hdrhistogram.Histogram
	ends   []end
	// reasons counts refusals and failures by outcome and reason.
	reasons map[string]int
	counts  Figures
	// base holds the counters when measuring began.
	base      dispatcher.Counters
	baseCalls uint64
	last      dispatcher.Counters
	lastCalls uint64
	calls     uint64
	// busy counts starts that an agent refused because it was full, and unsent
	// those that never left an entry.
	busy, unsent uint64
	// suspect is the failing minion, and suspectStarts and otherStarts what
	// started there and elsewhere since.
	suspect                    *agentNode
	suspectStarts, otherStarts int
	inTimeTasks                int
	// worst is the answered work with the greatest ratio, worstRatio, of all
	// teams but the greedy one.
	worst      *work
	worstRatio float64
	// affected holds the work whose frames a silent link dropped.
	affected    map[task.JobID]bool
	storeWrites uint64
}

// end is how one piece of work ended.
type end struct {
	began time.Time
	ratio float64
	// bad is true when it ended without an answer.
	bad bool
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestRatio, significant) }

func newMeter(w *world) *meter {
	return &meter{
		world: w, ratio: newHistogram(), requests: newHistogram(), jobs: newHistogram(), alone: newHistogram(),
		before: newHistogram(), teams: make(map[task.Team]*hdrhistogram.Histogram),
		reasons: make(map[string]int), affected: make(map[task.JobID]bool),
	}
}

// begin ends the warm-up.
func (m *meter) begin() {
	m.base = m.counters()
	m.baseCalls = m.calls
}

// end ends the measured time; later answers to work that began within count.
func (m *meter) end() {
	m.last = m.counters()
	m.lastCalls = m.calls
	m.storeWrites = m.world.store.writes
}

func (m *meter) counters() dispatcher.Counters {
	var sum dispatcher.Counters
	for _, e := range m.world.entries {
		sum = sumCounters(sum, e.counters())
	}
	return sum
}

// measured reports whether work belongs to the measured time.
func (m *meter) measured(k *work) bool {
	since := k.began.Sub(epoch)
	return since >= m.world.trial.warm && since < m.world.trial.end()
}

func (m *meter) offered(k *work) {
	if m.measured(k) {
		m.counts.Offered++
		m.counts.OfferedTasks += len(k.services)
	}
}

func (m *meter) answered(k *work, a dispatcher.Answer) {
	w := m.world
	if hasError(a) {
		m.errored(k)
		return
	}
	since := w.elapsed()
	inTime := !w.now.After(k.deadline)
	k.took = w.now.Sub(k.began)
	if inTime && since >= w.trial.goodputFrom() && since < w.trial.goodputUntil() {
		m.inTimeTasks += len(k.services)
	}
	ratio := float64(w.now.Sub(k.began)) / float64(k.ideal(w.deployment))
	m.ends = append(m.ends, end{began: k.began, ratio: ratio, bad: !inTime})
	if !m.measured(k) {
		return
	}
	if !inTime {
		m.counts.LateAnswers++
		return
	}
	m.counts.Answers++
	m.counts.AnsweredTasks += len(k.services)
	m.record(k, ratio)
}

// dropped notes a frame to an agent that a silent link lost.
func (m *meter) dropped(ev runner.Event) {
	if arrived, ok := ev.(runner.StartReceived); ok {
		m.affected[arrived.Start.Task.Job] = true
	}
}

// droppedBack notes a frame from an agent that a silent link lost.
func (m *meter) droppedBack(events []dispatcher.Event) {
	for _, ev := range events {
		if ended, ok := ev.(dispatcher.Ended); ok {
			m.affected[ended.Report.Task.Job] = true
		}
	}
}

// affectedMost returns how many works a silent link affected, and the longest
// time over what the minion alone would have taken.
func (m *meter) affectedMost() (int, time.Duration) {
	var most time.Duration
	for id := range m.affected {
		k := m.world.callers.works[id]
		if k.took > 0 {
			most = max(most, k.took-k.idealThere(m.world.deployment))
		}
	}
	return len(m.affected), most
}

func (m *meter) record(k *work, ratio float64) {
	w := m.world
	record(m.ratio, ratio)
	if ratio > m.worstRatio && k.team != greedyTeam {
		m.worst, m.worstRatio = k, ratio
	}
	if len(k.services) > 1 {
		record(m.jobs, ratio)
	} else {
		record(m.requests, ratio)
	}
	record(m.alone, float64(w.now.Sub(k.began))/float64(k.idealThere(w.deployment)))
	if m.teams[k.team] == nil {
		m.teams[k.team] = newHistogram()
	}
	record(m.teams[k.team], ratio)
	if w.trial.faultAt > 0 && k.began.Before(epoch.Add(w.trial.faultAt-requestDeadline/10)) {
		record(m.before, ratio)
	}
}

func record(h *hdrhistogram.Histogram, ratio float64) {
	_ = h.RecordValue(min(int64(ratio/ratioUnit), highestRatio)) // Never out of range.
}

// hasError reports whether the minion itself answered with an error.
func hasError(a dispatcher.Answer) bool {
	for _, r := range a.Responses {
		if r.Status >= http.StatusInternalServerError {
			return true
		}
	}
	return false
}

func (m *meter) errored(k *work) {
	m.ends = append(m.ends, end{began: k.began, bad: true})
	if m.measured(k) {
		m.counts.Errors++
	}
}

func (m *meter) refused(k *work, a dispatcher.Answer) {
	m.ends = append(m.ends, end{began: k.began, bad: true})
	if !m.measured(k) {
		return
	}
	m.reasons[a.Outcome.String()+": "+a.Reason]++
	if m.world.now.After(k.deadline) {
		m.counts.LateRefusals++
	}
	switch a.Outcome {
	case task.NotRun:
		m.counts.NotRun++
	case task.Failed:
		m.counts.Failed++
	default:
		m.counts.MayHaveRun++
	}
}

func (m *meter) lost(k *work) {
	m.ends = append(m.ends, end{began: k.began, bad: true})
	if m.measured(k) {
		m.counts.Lost++
	}
}

func (m *meter) withdrawn(k *work) {
	if m.measured(k) {
		m.counts.Withdrawn++
	}
}

// watch counts the starts at one minion from now on.
func (m *meter) watch(a *agentNode) { m.suspect = a }

func (m *meter) started(a *agentNode) {
	switch {
	case m.suspect == nil || m.world.elapsed() >= m.world.trial.end():
	case a == m.suspect:
		m.suspectStarts++
	case m.suspectStarts >= spared:
		m.otherStarts++
	}
}

// startRefused counts a start that did not run.
func (m *meter) startRefused(why task.Refusal) {
	since := m.world.elapsed()
	if since < m.world.trial.warm || since >= m.world.trial.end() {
		return
	}
	switch why {
	case task.Busy, task.Full:
		m.busy++
	case task.Unsent:
		m.unsent++
	}
}

// inquired counts a call that asks an agent about attempts.
func (m *meter) inquired() { m.calls++ }

// figures sums up.
func (m *meter) figures() Figures {
	f := m.counts
	f.Reasons = m.reasons
	f.Policy = m.world.policy.name
	f.Ratio = quantilesOf(m.ratio)
	f.Requests = quantilesOf(m.requests)
	f.Jobs = quantilesOf(m.jobs)
	f.Alone = quantilesOf(m.alone)
	f.Goodput = m.goodput()
	f.Wasted = m.wasted()
	f.StoreWrites = m.storeWrites
	f.Others = m.othersQuantiles()
	f.SuspectShare = m.suspectShare()
	f.Recovery, f.Recovered = m.recovery()
	f.Affected, f.AffectedMost = m.affectedMost()
	f.Violations = m.world.verifier.Violations
	if m.worst != nil {
		f.Worst = m.world.verifier.Trace(&m.worst.Job)
	}
	f.Distribution = distributionOf(m.ratio)
	return f
}

func (m *meter) goodput() float64 {
	t := m.world.trial
	seconds := (t.goodputUntil() - t.goodputFrom()).Seconds()
	return float64(m.inTimeTasks) / seconds / m.world.deployment.capacity()
}

func (m *meter) wasted() Wasted {
	per := func(n uint64) float64 {
		if m.counts.AnsweredTasks == 0 {
			return 0
		}
		return float64(n) * 1000 / float64(m.counts.AnsweredTasks)
	}
	refusals := m.last.Refusals - m.base.Refusals
	return Wasted{
		Busy:     per(m.busy),
		Refusals: per(refusals - min(refusals, m.busy+m.unsent)),
		Unsent:   per(m.unsent),
		Resends:  per(m.last.Resends - m.base.Resends),
		Unused:   per(m.last.Unused - m.base.Unused),
		Probes:   per(m.lastCalls - m.baseCalls),
		Strays:   per(m.last.Strays - m.base.Strays),
	}
}

// othersQuantiles are those of all teams but the greedy one.
func (m *meter) othersQuantiles() Quantiles {
	h := newHistogram()
	for team, other := range m.teams {
		if team != greedyTeam {
			h.Merge(other)
		}
	}
	return quantilesOf(h)
}

func (m *meter) suspectShare() float64 {
	after := max(m.suspectStarts-spared, 0)
	if after+m.otherStarts == 0 {
		return 0
	}
	return float64(after) / float64(after+m.otherStarts)
}

// recovery returns the time from the trial's recoverFrom until work that
// begins then ends as before the fault, and whether that was seen.
func (m *meter) recovery() (time.Duration, bool) {
	t := m.world.trial
	if t.recoverFrom == 0 {
		return 0, false
	}
	limit := float64(m.before.ValueAtPercentile(calmQuantile)) * ratioUnit
	bins := int((t.end() - t.recoverFrom) / binWidth)
	all, bad := make([]int, bins), make([]int, bins)
	for _, e := range m.ends {
		i := int((e.began.Sub(epoch) - t.recoverFrom) / binWidth)
		if e.began.Sub(epoch) < t.recoverFrom || i >= bins {
			continue
		}
		all[i]++
		if e.bad || e.ratio > limit {
			bad[i]++
		}
	}
	calm := 0
	for i := range bins {
		calm++
		if float64(bad[i]) > calmShare*float64(all[i]) {
			calm = 0
		}
		if calm == calmBins {
			return time.Duration(i+1-calmBins) * binWidth, true
		}
	}
	return 0, false
}

func sumCounters(a, b dispatcher.Counters) dispatcher.Counters {
	a.Sends += b.Sends
	a.Answered += b.Answered
	a.Refusals += b.Refusals
	a.Resends += b.Resends
	a.Hedges += b.Hedges
	a.Unused += b.Unused
	a.Strays += b.Strays
	a.Takeovers += b.Takeovers
	return a
}
