package runner

import (
	"time"

	"agatevalve/common/task"
)

// attemptID identifies one attempt of one task.
type attemptID struct {
	task   task.ID
	number task.Attempt
}

// refusals remembers the attempts that must never start, in bounded memory.
type refusals struct {
	// limit caps len(expires).
	limit int
	// expires holds the time at which each refusal may be forgotten.
	expires map[attemptID]time.Time
	// expiries holds one item for each key of expires.
	expiries expiryQueue[attemptID]
	// watermark stands for the refusals beyond limit: no start whose deadline is
	// at or before it may be accepted. A duplicate start has the same deadline as
	// the refused one, so it is covered; a new start usually has a later deadline.
	watermark time.Time
}

func newRefusals(limit int) *refusals {
	return &refusals{
		limit:    limit,
		expires:  make(map[attemptID]time.Time),
		expiries: newExpiryQueue[attemptID](),
	}
}

func (r *refusals) has(id attemptID) bool {
	_, ok := r.expires[id]
	return ok
}

// add remembers an attempt until its deadline plus ClockAllowance, and raises
// the watermark when there is no room for it.
func (r *refusals) add(now time.Time, id attemptID, deadline time.Time) {
	expiry := deadline.Add(ClockAllowance)
	if !expiry.After(now) || r.tryAdd(id, expiry) {
		return
	}
	if deadline.After(r.watermark) {
		r.watermark = deadline
	}
}

// tryAdd remembers an attempt until the given time, and returns false when the
// limit is reached.
func (r *refusals) tryAdd(id attemptID, expiry time.Time) bool {
	old, known := r.expires[id]
	switch {
	case known && !expiry.After(old):
		return true
	case !known && len(r.expires) >= r.limit:
		return false
	case !known:
		r.expiries.push(expiry, id)
	}
	r.expires[id] = expiry
	return true
}

// expire removes the refusals that have expired.
func (r *refusals) expire(now time.Time) {
	for _, id := range r.expiries.due(now) {
		if expiry := r.expires[id]; expiry.After(now) {
			r.expiries.push(expiry, id)
			continue
		}
		delete(r.expires, id)
	}
}
