// Package relayer hands jobs to other entries while this one is short of
// processor time. Callers reach the entry that the load balancer chose for their
// connection, and entries differ in size, so one entry may be overloaded while
// others and the minions are not.
package relayer

import "time"

const (
	// targetDelay is the time that work may wait for the processor. A job takes
	// several turns, each of which waits as long, so this is a tenth of the
	// shortest latency objectives or less.
	targetDelay = 4 * time.Millisecond
	// criticalDelay is the delay above which all jobs are handed over at once. What
	// an entry knows of its agents is then so old that it places work badly.
	criticalDelay = 4 * targetDelay
	// relaxedDelay is the delay below which fewer jobs are handed over, and above
	// which none are taken from others.
	relaxedDelay = time.Millisecond
	// governorWindow is the time over which the shortest delay is taken. Work that
	// comes in bursts leaves a short delay in it; work that exceeds the processor
	// does not.
	governorWindow = 20 * time.Millisecond
	// maxSilentWindows is the number of windows without a delay after which the
	// last one says nothing any more. It is longer than a processor share pauses.
	maxSilentWindows = 10
	// shareRaise and shareFall are added to and subtracted from the share of jobs
	// that are handed over, after each window.
	shareRaise = 0.34
	shareFall  = 0.03
)

// Governor decides which share of the jobs that arrive is handed over, by the time
// that work waits for the processor. It follows the controlled-delay rule (CoDel,
// Nichols and Jacobson 2012): a queue is a standing one if its shortest delay over
// a window exceeds a target.
type Governor struct {
	// share is the fraction of jobs to hand over, from 0 to 1.
	share float64
	// credit is the fraction of a job that is still to be handed over; below 1
	// between two jobs.
	credit float64
	// shortest is the shortest delay of the current window, which ends at
	// windowEnd; zero before the first.
	shortest  time.Duration
	windowEnd time.Time
	// lastShortest is the shortest delay of the window before.
	lastShortest time.Duration
}

// Observe records the time that work has waited for the processor.
func (g *Governor) Observe(now time.Time, delay time.Duration) {
	switch {
	case g.windowEnd.IsZero():
		g.beginWindow(now, delay)
		return
	case now.Before(g.windowEnd):
		g.shortest = min(g.shortest, delay)
		return
	}
	g.closeWindows(now.Add(-delay))
	g.beginWindow(now, delay)
}

func (g *Governor) beginWindow(now time.Time, delay time.Duration) {
	g.shortest, g.windowEnd = delay, now.Add(governorWindow)
}

// closeWindows adjusts the share by the window that has ended, and lowers it for
// the windows without an observation until the next one began, in which hardly
// anything arrived.
func (g *Governor) closeWindows(next time.Time) {
	silent := max(0, int(next.Sub(g.windowEnd)/governorWindow))
	if silent > maxSilentWindows {
		g.shortest = 0 // Nothing has waited meanwhile.
	}
	g.lastShortest = g.shortest
	switch {
	case g.shortest > criticalDelay:
		g.share = 1
	case g.shortest > targetDelay:
		g.share = min(1, g.share+shareRaise)
	case g.shortest < relaxedDelay:
		g.share = max(0, g.share-shareFall*float64(1+silent))
	}
	if g.share == 0 {
		g.credit = 0
	}
}

// HandOver reports whether the next job is to be handed over.
func (g *Governor) HandOver() bool {
	g.credit += g.share
	if g.credit < 1 {
		return false
	}
	g.credit--
	return true
}

// Takes reports whether jobs of other entries are welcome.
func (g *Governor) Takes() bool { return g.share == 0 && g.lastShortest < relaxedDelay }

// Share returns the fraction of jobs that are handed over.
func (g *Governor) Share() float64 { return g.share }
