package runner

import (
	"time"

	"agatevalve/common/task"
)

// attempt names one try of one task.
type attempt struct {
	task   task.ID
	number task.Attempt
}

// refusals remembers the attempts that must never start.
type refusals struct {
	// limit caps len(until).
	limit int
	// until tells when each refusal may be forgotten.
	until map[attempt]time.Time
	// expiries holds one item for each key of until.
	expiries timeline[attempt]
	// horizon covers the refusals beyond limit: no start whose deadline is at
	// or before it may be accepted. A doubled start has the deadline of the
	// first, so it is covered; a new start has a later one as a rule.
	horizon time.Time
}

func newRefusals(limit int) *refusals {
	return &refusals{
		limit:    limit,
		until:    make(map[attempt]time.Time),
		expiries: newTimeline[attempt](),
	}
}

func (m *refusals) has(a attempt) bool {
	_, ok := m.until[a]
	return ok
}

// add remembers an attempt until its deadline and the clock's allowance.
func (m *refusals) add(now time.Time, a attempt, deadline time.Time) {
	until := deadline.Add(ClockAllowance)
	if !until.After(now) || m.tryAdd(a, until) {
		return
	}
	if deadline.After(m.horizon) {
		m.horizon = deadline
	}
}

// tryAdd reports false when the limit is met.
func (m *refusals) tryAdd(a attempt, until time.Time) bool {
	old, known := m.until[a]
	switch {
	case known && !until.After(old):
		return true
	case !known && len(m.until) >= m.limit:
		return false
	case !known:
		m.expiries.push(until, a)
	}
	m.until[a] = until
	return true
}

func (m *refusals) expire(now time.Time) {
	for _, a := range m.expiries.due(now) {
		if until := m.until[a]; until.After(now) {
			m.expiries.push(until, a)
			continue
		}
		delete(m.until, a)
	}
}
