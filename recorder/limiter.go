package recorder

import "time"

// omissionInterval is the minimum time from the first line that is left out to the
// report of how many were.
const omissionInterval = time.Second

// Limiter bounds the lines of one kind by a token bucket, and counts those that are
// left out. It is not safe for concurrent use.
type Limiter struct {
	// interval is the time in which the bucket gains one line, and capacity the time
	// in which it fills.
	interval, capacity time.Duration
	// fullAt is the time at which the bucket is full again if no line is taken.
	fullAt time.Time
	// omitted counts the lines that were left out and not reported, and reportAt is
	// the time from which they are reported.
	omitted  int
	reportAt time.Time
}

// NewLimiter returns a Limiter with a full bucket of burst lines, which gains
// perSecond lines a second. Both must be positive.
func NewLimiter(perSecond, burst int) *Limiter {
	interval := time.Second / time.Duration(perSecond)
	return &Limiter{interval: interval, capacity: time.Duration(burst) * interval}
}

// Allow reports whether a line may be logged now, and counts it as left out if not.
func (l *Limiter) Allow(now time.Time) bool {
	if l.fullAt.Before(now) {
		l.fullAt = now
	}
	if l.fullAt.Sub(now)+l.interval > l.capacity {
		if l.omitted == 0 {
			l.reportAt = now.Add(omissionInterval)
		}
		l.omitted++
		return false
	}
	l.fullAt = l.fullAt.Add(l.interval)
	return true
}

// TakeOmitted returns how many lines were left out since the last report, or 0 while
// none is due.
func (l *Limiter) TakeOmitted(now time.Time) int {
	if l.omitted == 0 || now.Before(l.reportAt) {
		return 0
	}
	omitted := l.omitted
	l.omitted = 0
	return omitted
}
