package supervisor

import "time"

const (
	// minAnswerTimeout and maxAnswerTimeout bound the timeout of an order to
	// the minion on the same machine, which answers in a millisecond or two
	// when both are healthy.
	minAnswerTimeout = 12 * time.Millisecond
	maxAnswerTimeout = 120 * time.Millisecond
	// deviationFactor is the number of mean deviations that the timeout adds
	// to the mean answer time, as in the retransmission timer of TCP (RFC
	// 6298, which uses 4), raised for slow machines.
	deviationFactor = 6
	// meanWeight and deviationWeight are the smoothing factors of RFC 6298.
	meanWeight      = 0.125
	deviationWeight = 0.25
)

// answerTimeEstimator tracks the mean and the mean deviation of the minion's
// answer times, as TCP does for round-trip times.
type answerTimeEstimator struct {
	mean, deviation float64
	known           bool
}

// add adds one measured answer time.
func (a *answerTimeEstimator) add(took time.Duration) {
	sample := float64(took)
	if !a.known {
		a.mean, a.deviation, a.known = sample, sample/2, true
		return
	}
	difference := sample - a.mean
	a.mean += meanWeight * difference
	a.deviation += deviationWeight * (max(difference, -difference) - a.deviation)
}

// timeout returns the time after which an order counts as unanswered.
func (a *answerTimeEstimator) timeout() time.Duration {
	if !a.known {
		return maxAnswerTimeout
	}
	return min(max(time.Duration(a.mean+deviationFactor*a.deviation), minAnswerTimeout), maxAnswerTimeout)
}
