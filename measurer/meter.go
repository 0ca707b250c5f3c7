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
	// maxRatioUnits is the largest recorded ratio, in units of ratioUnit.
	maxRatioUnits = 1e8
	// significantFigures is the precision of the histograms.
	significantFigures = 4
	// binWidth is the width of the time bins by which recovery is detected.
	binWidth = 250 * time.Millisecond
	// recoveryBins is the number of successive good bins that count as recovery.
	recoveryBins = 4
	// maxFailedShare is the largest share of failed or slow work in a good bin.
	maxFailedShare = 0.2
	// normalPercentile is the percentile of the ratios before the fault above
	// which an answer counts as slow.
	normalPercentile = 95
	// suspectAllowance is the number of a failing minion's starts that don't count.
	suspectAllowance = 20
)

// meter collects the figures of one experiment.
type meter struct {
	world *world
	// ratio holds the ratios of answer time to ideal time, requests and jobs
	// those of single requests and of jobs, and alone those to the time at the
	// minion that served the work.
	ratio, requests, jobs, alone *hdrhistogram.Histogram
	// teams holds the ratios of each team.
	teams map[task.Team]*hdrhistogram.Histogram
	// before holds the ratios of work that began before the fault.
	before   *hdrhistogram.Histogram
	outcomes []outcome
	// reasons counts refusals and failures by outcome and reason.
	reasons map[string]int
	counts  Figures
	// baseCounters and baseInquiries are the counts at the start of the measured
	// time, finalCounters and finalInquiries those at its end.
	baseCounters   dispatcher.Counters
	baseInquiries  uint64
	finalCounters  dispatcher.Counters
	finalInquiries uint64
	inquiries      uint64
	// busy counts starts that an agent refused because its queue was full, and
	// unsent those that never left an entry.
	busy, unsent uint64
	// suspect is the failing minion; suspectStarts counts its starts since then,
	// otherStarts those at other minions.
	suspect                    *agentNode
	suspectStarts, otherStarts int
	inTimeTasks                int
	// worst is the answered work with the greatest ratio, except the greedy team's.
	worst      *work
	worstRatio float64
	// affected holds the jobs that lost a frame on a silent link.
	affected    map[task.JobID]bool
	storeWrites uint64
}

// outcome is the end of one request or job.
type outcome struct {
	began time.Time
	ratio float64
	// failed is true if it ended without an answer in time.
	failed bool
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRatioUnits, significantFigures)
}

func newMeter(w *world) *meter {
	return &meter{
		world: w, ratio: newHistogram(), requests: newHistogram(), jobs: newHistogram(), alone: newHistogram(),
		before: newHistogram(), teams: make(map[task.Team]*hdrhistogram.Histogram),
		reasons: make(map[string]int), affected: make(map[task.JobID]bool),
	}
}

// startMeasuring records the counts at the end of the warm-up.
func (m *meter) startMeasuring() {
	m.baseCounters = m.counters()
	m.baseInquiries = m.inquiries
}

// stopMeasuring records the counts at the end of the measured time. Later
// answers to work that began within it still count.
func (m *meter) stopMeasuring() {
	m.finalCounters = m.counters()
	m.finalInquiries = m.inquiries
	m.storeWrites = m.world.store.writes
}

func (m *meter) counters() dispatcher.Counters {
	var sum dispatcher.Counters
	for _, e := range m.world.entries {
		sum = sumCounters(sum, e.counters())
	}
	return sum
}

// inMeasuredTime reports whether work began in the measured time.
func (m *meter) inMeasuredTime(k *work) bool {
	since := k.began.Sub(epoch)
	return since >= m.world.trial.warmUp && since < m.world.trial.end()
}

func (m *meter) workOffered(k *work) {
	if m.inMeasuredTime(k) {
		m.counts.Offered++
		m.counts.OfferedTasks += len(k.serviceTimes)
	}
}

func (m *meter) workAnswered(k *work, a dispatcher.Answer) {
	w := m.world
	if hasError(a) {
		m.minionErrored(k)
		return
	}
	since := w.elapsed()
	inTime := !w.now.After(k.deadline)
	k.answerTime = w.now.Sub(k.began)
	if inTime && since >= w.trial.goodputFrom() && since < w.trial.goodputUntil() {
		m.inTimeTasks += len(k.serviceTimes)
	}
	ratio := float64(w.now.Sub(k.began)) / float64(k.idealTime(w.deployment))
	m.outcomes = append(m.outcomes, outcome{began: k.began, ratio: ratio, failed: !inTime})
	if !m.inMeasuredTime(k) {
		return
	}
	if !inTime {
		m.counts.LateAnswers++
		return
	}
	m.counts.Answers++
	m.counts.AnsweredTasks += len(k.serviceTimes)
	m.recordAnswer(k, ratio)
}

// frameToAgentDropped records a frame to an agent that a silent link dropped.
func (m *meter) frameToAgentDropped(ev runner.Event) {
	if arrived, ok := ev.(runner.StartReceived); ok {
		m.affected[arrived.Start.Task.Job] = true
	}
}

// frameFromAgentDropped records a frame from an agent that a silent link
// dropped.
func (m *meter) frameFromAgentDropped(events []dispatcher.Event) {
	for _, ev := range events {
		if ended, ok := ev.(dispatcher.Ended); ok {
			m.affected[ended.Report.Task.Job] = true
		}
	}
}

// affectedWork returns how many requests and jobs lost a frame on a silent
// link, and the longest time that one took beyond that at an idle minion.
func (m *meter) affectedWork() (int, time.Duration) {
	var longest time.Duration
	for id := range m.affected {
		k := m.world.callers.workByJob[id]
		if k.answerTime > 0 {
			longest = max(longest, k.answerTime-k.idealTimeServed(m.world.deployment))
		}
	}
	return len(m.affected), longest
}

func (m *meter) recordAnswer(k *work, ratio float64) {
	w := m.world
	recordRatio(m.ratio, ratio)
	if ratio > m.worstRatio && k.team != greedyTeam {
		m.worst, m.worstRatio = k, ratio
	}
	if len(k.serviceTimes) > 1 {
		recordRatio(m.jobs, ratio)
	} else {
		recordRatio(m.requests, ratio)
	}
	recordRatio(m.alone, float64(w.now.Sub(k.began))/float64(k.idealTimeServed(w.deployment)))
	if m.teams[k.team] == nil {
		m.teams[k.team] = newHistogram()
	}
	recordRatio(m.teams[k.team], ratio)
	if w.trial.faultAt > 0 && k.began.Before(epoch.Add(w.trial.faultAt-requestDeadline/10)) {
		recordRatio(m.before, ratio)
	}
}

func recordRatio(h *hdrhistogram.Histogram, ratio float64) {
	_ = h.RecordValue(min(int64(ratio/ratioUnit), maxRatioUnits)) // Never out of range.
}

// hasError reports whether a minion answered with a server error.
func hasError(a dispatcher.Answer) bool {
	for _, r := range a.Responses {
		if r.Status >= http.StatusInternalServerError {
			return true
		}
	}
	return false
}

func (m *meter) minionErrored(k *work) {
	m.outcomes = append(m.outcomes, outcome{began: k.began, failed: true})
	if m.inMeasuredTime(k) {
		m.counts.Errors++
	}
}

func (m *meter) workRefused(k *work, a dispatcher.Answer) {
	m.outcomes = append(m.outcomes, outcome{began: k.began, failed: true})
	if !m.inMeasuredTime(k) {
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

func (m *meter) connectionLost(k *work) {
	m.outcomes = append(m.outcomes, outcome{began: k.began, failed: true})
	if m.inMeasuredTime(k) {
		m.counts.Lost++
	}
}

func (m *meter) workWithdrawn(k *work) {
	if m.inMeasuredTime(k) {
		m.counts.Withdrawn++
	}
}

// watchMinion makes a the suspect, whose share of the starts is measured from
// now on.
func (m *meter) watchMinion(a *agentNode) { m.suspect = a }

func (m *meter) taskStarted(a *agentNode) {
	switch {
	case m.suspect == nil || m.world.elapsed() >= m.world.trial.end():
	case a == m.suspect:
		m.suspectStarts++
	case m.suspectStarts >= suspectAllowance:
		m.otherStarts++
	}
}

// startRefused counts a start that a full agent refused or that was never sent.
func (m *meter) startRefused(why task.Refusal) {
	since := m.world.elapsed()
	if since < m.world.trial.warmUp || since >= m.world.trial.end() {
		return
	}
	switch why {
	case task.Busy, task.Full:
		m.busy++
	case task.Unsent:
		m.unsent++
	}
}

// inquirySent counts a call that asks an agent about attempts.
func (m *meter) inquirySent() { m.inquiries++ }

// figures returns the figures of the whole experiment.
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
	f.Affected, f.MaxAffectedDelay = m.affectedWork()
	f.Violations = m.world.verifier.Violations
	if m.worst != nil {
		f.WorstTrace = m.world.verifier.Trace(&m.worst.Job)
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
	perThousand := func(n uint64) float64 {
		if m.counts.AnsweredTasks == 0 {
			return 0
		}
		return float64(n) * 1000 / float64(m.counts.AnsweredTasks)
	}
	refusals := m.finalCounters.Refusals - m.baseCounters.Refusals
	return Wasted{
		Busy:     perThousand(m.busy),
		Refusals: perThousand(refusals - min(refusals, m.busy+m.unsent)),
		Unsent:   perThousand(m.unsent),
		Resends:  perThousand(m.finalCounters.Resends - m.baseCounters.Resends),
		Unused:   perThousand(m.finalCounters.Unused - m.baseCounters.Unused),
		Probes:   perThousand(m.finalInquiries - m.baseInquiries),
		Strays:   perThousand(m.finalCounters.Strays - m.baseCounters.Strays),
	}
}

// othersQuantiles returns the quantiles of all teams but the greedy one.
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
	after := max(m.suspectStarts-suspectAllowance, 0)
	if after+m.otherStarts == 0 {
		return 0
	}
	return float64(after) / float64(after+m.otherStarts)
}

// recovery returns the time from the trial's recoveryFrom until newly begun
// work ends as before the fault, and whether that happened.
func (m *meter) recovery() (time.Duration, bool) {
	t := m.world.trial
	if t.recoveryFrom == 0 {
		return 0, false
	}
	limit := float64(m.before.ValueAtPercentile(normalPercentile)) * ratioUnit
	bins := int((t.end() - t.recoveryFrom) / binWidth)
	ended, failed := make([]int, bins), make([]int, bins)
	for _, e := range m.outcomes {
		i := int((e.began.Sub(epoch) - t.recoveryFrom) / binWidth)
		if e.began.Sub(epoch) < t.recoveryFrom || i >= bins {
			continue
		}
		ended[i]++
		if e.failed || e.ratio > limit {
			failed[i]++
		}
	}
	recovered := 0
	for i := range bins {
		recovered++
		if float64(failed[i]) > maxFailedShare*float64(ended[i]) {
			recovered = 0
		}
		if recovered == recoveryBins {
			return time.Duration(i+1-recoveryBins) * binWidth, true
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
