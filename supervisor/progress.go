package supervisor

import (
	"math"
	"time"

	"agatevalve/common/work"
)

const (
	// sampleWeight is the weight of a sample in the moving average of a
	// minion's slowness. Ten runs that are each sampled ten times a second
	// dominate it after 200 ms.
	sampleWeight = 0.05
	// baselineWeight is the weight of a sample in the long-term average.
	baselineWeight = 0.004
	// baselinePriorSamples limits the weight of early samples in the long-term
	// average: a sample weighs 1/(samples+baselinePriorSamples), and at least
	// baselineWeight.
	baselinePriorSamples = 40
	// decayHalfLife is the half-life with which the slowness returns to its
	// long-term average while no run gives samples.
	decayHalfLife = 3 * time.Second
	// maxLogRatio bounds the logarithm of one sample, so that a single stalled
	// run does not dominate the average.
	maxLogRatio = 2.5
	// slownessStep is the rounding step of the slowness that is reported to
	// entries, so that small changes are not reported.
	slownessStep = 0.1

	// minSamplePercent is the progress that completes a sample: five whole
	// percents have a rounding error of a fifth.
	minSamplePercent = 5
	// maxSampleInterval is the time after which a sample is completed even if
	// its progress is below minSamplePercent.
	maxSampleInterval = 150 * time.Millisecond
	// stalledPercent is the progress assumed for a sample without progress.
	stalledPercent = 0.5
	// reliablePercent is the progress at which the average rate of the whole
	// run becomes a better prediction than its last sample, accurate to within
	// a twentieth. A run is given up if its projected end exceeds the deadline
	// by more than an error of one percent of progress would explain
	// (latenessOf).
	reliablePercent = 10
	// maxRateRatio is the maximum ratio between the last sample's rate and the
	// average rate for which the average rate is used.
	maxRateRatio = 1.3
	// nearDeadlineShare is the fraction of a run's duration by which the
	// projected end must precede the deadline; otherwise the run counts as
	// possibly late.
	nearDeadlineShare = 0.03
	// reportRatio is the ratio of the projected duration to the last reported
	// one from which the projection is reported again.
	reportRatio = 1.4
)

// slownessEstimator estimates how much longer runs take at the minion than
// expected.
type slownessEstimator struct {
	// current is the logarithm of actual over expected duration, averaged over
	// recent samples.
	current float64
	// baseline is the same, averaged over many samples.
	baseline float64
	samples  int
	// updatedAt is the time of the last sample or decay.
	updatedAt time.Time
}

// addSample adds the measured or projected duration of one run.
func (p *slownessEstimator) addSample(now time.Time, took, expected time.Duration) {
	logRatio := math.Log(float64(max(took, time.Millisecond)) / float64(max(expected, time.Millisecond)))
	logRatio = math.Max(-maxLogRatio, math.Min(maxLogRatio, logRatio))
	p.samples++
	p.current += math.Max(sampleWeight, 1/float64(p.samples+2)) * (logRatio - p.current)
	p.baseline += math.Max(baselineWeight, 1/float64(p.samples+baselinePriorSamples)) * (logRatio - p.baseline)
	p.updatedAt = now
}

// decay moves the slowness towards its long-term average while there are no
// samples.
func (p *slownessEstimator) decay(now time.Time) {
	if p.updatedAt.IsZero() || now.Sub(p.updatedAt) < maxSampleInterval {
		return
	}
	elapsed := now.Sub(p.updatedAt)
	p.current = p.baseline + (p.current-p.baseline)*math.Exp2(-float64(elapsed)/float64(decayHalfLife))
	p.updatedAt = now
}

// rounded returns the slowness rounded to slownessStep, so that entries are
// sent substantial changes only.
func (p *slownessEstimator) rounded() float64 {
	return math.Round(p.current/slownessStep) * slownessStep
}

// progress is the progress of one run, as listed by the minion.
type progress struct {
	// percent is the progress listed at sampledAt, where the next sample
	// begins.
	percent   int
	sampledAt time.Time
	// reportedDuration is the duration that the entry assumes: the expected or
	// the last reported one; 0 before the first sample.
	reportedDuration time.Duration
	// reportedLateness is the highest lateness reported to the entry.
	reportedLateness lateness
}

// lateness compares the projected end of a run with its deadline.
type lateness uint8

const (
	notLate lateness = iota
	// possiblyLate runs may miss the deadline.
	possiblyLate
	// certainlyLate runs miss the deadline by more than the error of the
	// projection.
	certainlyLate
)

// latenessOf compares a projected end with the deadline of the run.
func (r *run) latenessOf(end time.Time, total time.Duration) lateness {
	overrun := end.Sub(r.order.EndBefore)
	switch {
	case overrun > total/time.Duration(max(r.percent, 1)):
		return certainlyLate
	case overrun > -time.Duration(nearDeadlineShare*float64(total)):
		return possiblyLate
	}
	return notLate
}

// projectRemaining returns the remaining duration of a run, and whether the
// projection is reliable. The rate is that of the last sample, in percent per
// nanosecond.
func (r *run) projectRemaining(now time.Time, rate float64) (remaining time.Duration, reliable bool) {
	elapsed := now.Sub(r.startSentAt)
	remaining = time.Duration(float64(100-r.percent) / rate)
	if r.percent < reliablePercent {
		return remaining, false
	}
	// Progress is listed in completed percents, so half a percent is added.
	averageRate := (float64(r.percent) + 0.5) / float64(elapsed)
	if rate < averageRate/maxRateRatio || rate > averageRate*maxRateRatio {
		return remaining, rate < averageRate
	}
	return time.Duration((99.5 - float64(r.percent)) / averageRate), true
}

// observeProgress handles a listed progress, and reports the run to its entry
// if it is projected to take much longer than reported before, or to be later.
func (c *Core) observeProgress(now time.Time, r *run, percent int) {
	if r.sampledAt.IsZero() {
		r.sampledAt = r.startSentAt
	}
	gained, elapsed := percent-r.percent, now.Sub(r.sampledAt)
	if elapsed <= 0 || gained < minSamplePercent && elapsed < maxSampleInterval {
		return
	}
	rate := math.Max(float64(gained), stalledPercent) / float64(elapsed)
	r.percent, r.sampledAt = percent, now
	c.slowness.addSample(now, time.Duration(100/rate), r.order.Work)
	remaining, reliable := r.projectRemaining(now, rate)
	total := now.Sub(r.startSentAt) + remaining
	if r.reportedDuration == 0 {
		r.reportedDuration = c.expectedDuration(r.order)
	}
	lateness := notLate
	if reliable {
		lateness = r.latenessOf(now.Add(remaining), total)
	}
	if float64(total) < reportRatio*float64(r.reportedDuration) && lateness <= r.reportedLateness {
		return
	}
	r.reportedDuration, r.reportedLateness = total, max(lateness, r.reportedLateness)
	c.entry(r.entry).reportPending = true
	c.emit(ReportRun{Entry: r.entry, Report: work.Report{Run: r.order.Run, State: work.Started, Took: total, Remaining: remaining, Reliable: reliable}})
}
