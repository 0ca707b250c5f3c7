package balancer

import "time"

// health decides whether a minion is ejected. A minion is an outlier when it
// fails much more than the rest of its pool, so that jobs that fail everywhere
// eject nobody.
type health struct {
	// failures is the moving share of failed answers, 0 to 1.
	failures float64
	// answers counts answers since the last readmission.
	answers int
	// until is when an ejection ends; zero when not ejected.
	until time.Time
	// ejections counts ejections without a good answer in between.
	ejections int
	// probation limits a readmitted minion to one task until it answers well.
	probation bool
}

const (
	// healthGain is the weight of a new answer in failures.
	healthGain = 1.0 / 4
	// ejectShare is the share of failures that makes a minion suspect.
	ejectShare = 0.6
	// ejectMargin is how much its share must exceed the pool's.
	ejectMargin = 0.3
	// ejectAnswers is the least number of answers before an ejection.
	ejectAnswers = 4
	// firstEjection is the length of the first ejection; each next one doubles.
	firstEjection = 2 * time.Second
	// longestEjection caps the doubling.
	longestEjection = time.Minute
)

// observe takes in one answer; others is the failure share of the rest of the
// pool. Answers of tasks that were there when the ejection began don't count.
func (h *health) observe(now time.Time, failed bool, others float64) {
	if h.ejected(now) {
		return
	}
	h.answers++
	if !failed {
		h.failures -= h.failures * healthGain
		h.ejections = 0
		h.probation = false
		return
	}
	h.failures += (1 - h.failures) * healthGain
	if h.probation {
		h.eject(now)
		return
	}
	outlier := h.failures > ejectShare && h.failures > others+ejectMargin
	if outlier && h.answers >= ejectAnswers {
		h.eject(now)
	}
}

func (h *health) eject(now time.Time) {
	length := firstEjection << min(h.ejections, 10)
	h.until = now.Add(min(length, longestEjection))
	h.ejections++
	h.answers = 0
	h.probation = true
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }
