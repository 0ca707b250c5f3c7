package supervisor

import (
	"math"
	"time"

	"agatevalve/common/work"
)

const (
	// sampleWeight is the weight of one sample in a minion's slowness. Ten runs
	// that are sampled ten times a second make most of it in 200 ms.
	sampleWeight = 0.05
	// usualWeight is the weight of one sample in what is usual of a minion.
	usualWeight = 0.004
	// usualAfter is how many samples make a minion's slowness usual at first.
	usualAfter = 40
	// forgetHalf is the time in which half of an unusual slowness is forgotten
	// while nothing runs that would measure it.
	forgetHalf = 3 * time.Second
	// mostExcess bounds the logarithm of one sample, so that one run that stands
	// still does not decide alone.
	mostExcess = 2.5
	// slownessStep is by how much the slowness changes before entries are told.
	slownessStep = 0.1

	// leastPercent is the progress that makes a projection: five of whole
	// percents leave an error of a fifth.
	leastPercent = 5
	// longestSample is when a projection is made from less progress.
	longestSample = 150 * time.Millisecond
	// stillPercent is taken as progress where none is listed.
	stillPercent = 0.5
	// surePercent is the progress from which the whole run tells more than its
	// last part, within a twentieth. What is late by more than one whole percent
	// of progress may be off is given up (latenessOf).
	surePercent = 10
	// steadyExcess is by how much the last part may differ from the whole for that.
	steadyExcess = 1.3
	// nearShare is the part of a run's time before the deadline from which its
	// end is near it.
	nearShare = 0.03
	// tellExcess is by how much a projected time exceeds what the entry was told
	// before it is told again.
	tellExcess = 1.4
)

// pace is how long runs take at the minion.
type pace struct {
	// slowness is the logarithm of their time over what was expected.
	slowness float64
	// usual is the slowness over a long time.
	usual   float64
	samples int
	// last is when the last sample came.
	last time.Time
}

// measured takes the time of one run, or a projection of it.
func (p *pace) measured(now time.Time, took, expected time.Duration) {
	excess := math.Log(float64(max(took, time.Millisecond)) / float64(max(expected, time.Millisecond)))
	excess = math.Max(-mostExcess, math.Min(mostExcess, excess))
	p.samples++
	p.slowness += math.Max(sampleWeight, 1/float64(p.samples+2)) * (excess - p.slowness)
	p.usual += math.Max(usualWeight, 1/float64(p.samples+usualAfter)) * (excess - p.usual)
	p.last = now
}

// rest forgets an unusual slowness while nothing measures it.
func (p *pace) rest(now time.Time) {
	if p.last.IsZero() || now.Sub(p.last) < longestSample {
		return
	}
	passed := now.Sub(p.last)
	p.slowness = p.usual + (p.slowness-p.usual)*math.Exp2(-float64(passed)/float64(forgetHalf))
	p.last = now
}

// told is the slowness in steps, so that entries hear of changes only.
func (p *pace) told() float64 { return math.Round(p.slowness/slownessStep) * slownessStep }

// progress is what the lists of the minion have shown of one run.
type progress struct {
	// percent is the progress at the time since, where the next sample begins.
	percent int
	since   time.Time
	// told is the projected time that the entry knows of; 0 for what it expected.
	told time.Duration
	// lateness is the latest that the entry knows of.
	lateness lateness
}

// lateness tells how a projected end lies to the deadline.
type lateness uint8

const (
	notLate lateness = iota
	// nearlyLate may miss the deadline.
	nearlyLate
	// surelyLate misses the deadline by more than the projection may be off.
	surelyLate
)

// latenessOf compares a projected end with the deadline.
func (r *run) latenessOf(end time.Time, total time.Duration) lateness {
	over := end.Sub(r.order.EndBefore)
	switch {
	case over > total/time.Duration(max(r.percent, 1)):
		return surelyLate
	case over > -time.Duration(nearShare*float64(total)):
		return nearlyLate
	}
	return notLate
}

// project returns the rest of a run by its progress, in percent for each
// nanosecond of late, and whether it is sure.
func (r *run) project(now time.Time, rate float64) (left time.Duration, sure bool) {
	elapsed := now.Sub(r.began)
	left = time.Duration(float64(100-r.percent) / rate)
	if r.percent < surePercent {
		return left, false
	}
	// A percent is listed when it is whole, so half of one is added.
	whole := (float64(r.percent) + 0.5) / float64(elapsed)
	if rate < whole/steadyExcess || rate > whole*steadyExcess {
		return left, rate < whole
	}
	return time.Duration((99.5 - float64(r.percent)) / whole), true
}

// observe takes the progress of a run, and tells the entry when the run takes
// much longer than it knows.
func (c *Core) observe(now time.Time, r *run, percent int) {
	if r.since.IsZero() {
		r.since = r.began
	}
	gained, passed := percent-r.percent, now.Sub(r.since)
	if passed <= 0 || gained < leastPercent && passed < longestSample {
		return
	}
	rate := math.Max(float64(gained), stillPercent) / float64(passed)
	r.percent, r.since = percent, now
	c.pace.measured(now, time.Duration(100/rate), r.order.Work)
	left, sure := r.project(now, rate)
	total := now.Sub(r.began) + left
	if r.told == 0 {
		r.told = c.expected(r.order)
	}
	lateness := notLate
	if sure {
		lateness = r.latenessOf(now.Add(left), total)
	}
	if float64(total) < tellExcess*float64(r.told) && lateness <= r.lateness {
		return
	}
	r.told, r.lateness = total, max(lateness, r.lateness)
	c.entry(r.entry).reported = true
	c.emit(Report{Entry: r.entry, Report: work.Report{Run: r.order.Run, State: work.Started, Took: total, Left: left, Sure: sure}})
}
