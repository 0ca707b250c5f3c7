package balancer

import "time"

// health decides whether a minion is ejected, that is, temporarily gets no
// tasks. A minion is an outlier when it fails much more often than the rest of
// its pool; tasks that fail at every minion therefore eject none.
type health struct {
	// failureRate is the moving average of failed answers, from 0 to 1.
	failureRate float64
	// answerCount counts the answers since the last ejection.
	answerCount int
	// ejectedUntil is the time at which the last ejection ends; zero when there
	// was none.
	ejectedUntil time.Time
	// ejectionCount counts the ejections since the last successful answer.
	ejectionCount int
	// probation limits a minion, after an ejection, to one task at a time until it
	// answers successfully.
	probation bool
}

const (
	// failureRateGain is the weight of a new answer in failureRate.
	failureRateGain = 1.0 / 4
	// ejectFailureRate is the failure rate above which a minion may be ejected.
	ejectFailureRate = 0.6
	// ejectMargin is the difference by which the failure rate must also exceed
	// that of the other minions.
	ejectMargin = 0.3
	// minAnswersToEject is the number of answers needed for an ejection.
	minAnswersToEject = 4
	// firstEjection is the duration of the first ejection. It doubles with each
	// further one.
	firstEjection = 2 * time.Second
	// maxEjection caps the duration of an ejection.
	maxEjection = time.Minute
)

// observe records one answer; peerFailureRate is that of the rest of the pool.
// Answers during an ejection belong to tasks that were sent before, and are
// ignored.
func (h *health) observe(now time.Time, failed bool, peerFailureRate float64) {
	if h.isEjected(now) {
		return
	}
	h.answerCount++
	if !failed {
		h.failureRate -= h.failureRate * failureRateGain
		h.ejectionCount = 0
		h.probation = false
		return
	}
	h.failureRate += (1 - h.failureRate) * failureRateGain
	if h.probation {
		h.eject(now)
		return
	}
	outlier := h.failureRate > ejectFailureRate && h.failureRate > peerFailureRate+ejectMargin
	if outlier && h.answerCount >= minAnswersToEject {
		h.eject(now)
	}
}

// eject starts an ejection, and the probation that follows it.
func (h *health) eject(now time.Time) {
	duration := firstEjection << min(h.ejectionCount, 10)
	h.ejectedUntil = now.Add(min(duration, maxEjection))
	h.ejectionCount++
	h.answerCount = 0
	h.probation = true
}

func (h *health) isEjected(now time.Time) bool { return now.Before(h.ejectedUntil) }
