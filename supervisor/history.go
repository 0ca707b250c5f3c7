package supervisor

import (
	"time"

	"agatevalve/common/work"
)

// Proof is what the agent knows the end of a run by.
type Proof uint8

const (
	// ProofNotOrdered means that no start was ordered.
	ProofNotOrdered Proof = iota
	// ProofStartRefused means that the minion refused the last start order, or
	// provably did not receive it.
	ProofStartRefused
	// ProofListedEnd means that the minion listed the end.
	ProofListedEnd
	// ProofStopConfirmed means that the minion confirmed a stop order, and a list
	// requested later did not have the run.
	ProofStopConfirmed
	// ProofNotListed means that the run was not in a list requested longer than a
	// lease after its start order.
	ProofNotListed
	// ProofLeaseLapsed means that the lease had lapsed by the minion's clock.
	ProofLeaseLapsed
	// ProofOtherIncarnation means that another incarnation of the minion, or another
	// minion, is known.
	ProofOtherIncarnation
	// ProofSilence means that the minion was silent for longer than the longest lease
	// that it grants.
	ProofSilence
)

// String returns the kebab-case name of the proof.
func (p Proof) String() string {
	names := [...]string{
		"not-ordered", "start-refused", "listed-end", "stop-confirmed", "not-listed", "lease-lapsed", "other-incarnation", "silence",
	}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Causes of stop orders.
const (
	stopOrdered     = "its entry ordered it"
	stopLate        = "its deadline has passed"
	stopUnanswered  = "its start was not answered"
	stopMoved       = "another incarnation may have started it"
	stopEntrySilent = "the entry is silent"
	stopEntryGone   = "the entry is gone"
)

// History is what the agent knew of a run when it ended, for the log. Times are
// zero for what did not happen.
type History struct {
	Proof Proof
	// Minion and Incarnation are those that the last start was ordered from.
	Minion      string
	Incarnation uint64
	// CurrentIncarnation is the incarnation of the minion in use when the run ended.
	CurrentIncarnation uint64
	// Orders counts the start orders. All but the last were refused or not answered.
	Orders int
	// OrderedAt is the time of the last start order, and Answer and AnsweredAt tell
	// how and when it was answered.
	OrderedAt  time.Time
	Answer     StartAnswer
	AnsweredAt time.Time
	// ListedAt is the time at which the last list arrived that had the run as
	// running.
	ListedAt time.Time
	// StopSentAt and StopAckedAt are the times of the first stop order and of the
	// first answer to one; StopCause says why the run was to be stopped.
	StopSentAt  time.Time
	StopAckedAt time.Time
	StopCause   string
	// LeaseEndsAt is the time by which the lease has surely expired at the minion of
	// the last start order, as believed when the run ended.
	LeaseEndsAt time.Time
	// Doubtful is true if it was uncertain for a while whether the run had started or
	// ended, or if it was to be stopped.
	Doubtful bool
}

// record holds what a run's History needs beyond its state. No decision rests on it.
type record struct {
	minion      string
	incarnation uint64
	orders      int
	answer      StartAnswer
	answeredAt  time.Time
	listedAt    time.Time
	stopSentAt  time.Time
	stopCause   string
	// leaseEndsAt is set when the run has moved, since the lease of the last
	// incarnation is no longer known then.
	leaseEndsAt time.Time
}

// recordOrder notes a start order for a minion.
func (r *run) recordOrder(m work.Minion) {
	r.minion, r.incarnation = m.Name, m.Incarnation
	r.orders++
	r.answer, r.answeredAt = 0, time.Time{}
}

// recordStopCause notes why the run is to be stopped. The first cause stays.
func (r *run) recordStopCause(cause string) {
	if r.stopCause == "" {
		r.stopCause = cause
	}
}

// history returns the history of a run that ends now.
func (c *Core) history(now time.Time, r *run, proof Proof) History {
	if r.phase == queued {
		proof = ProofNotOrdered
		if r.orders > 0 {
			proof = ProofStartRefused
		}
	}
	h := History{
		Proof: proof, Minion: r.minion, Incarnation: r.incarnation, CurrentIncarnation: c.minion.Incarnation, Orders: r.orders,
		OrderedAt: r.startSentAt, Answer: r.answer, AnsweredAt: r.answeredAt, ListedAt: r.listedAt,
		StopSentAt: r.stopSentAt, StopAckedAt: r.stopAckedAt, StopCause: r.stopCause, LeaseEndsAt: r.leaseEndsAt,
		Doubtful: r.moved || !r.stops.dueAt.IsZero(),
	}
	if !r.moved && r.orders > 0 {
		h.LeaseEndsAt = c.minion.leaseEndsAt(now)
	}
	return h
}

// leaseEndsAt returns the time by which the lease has surely expired; zero without a
// lease.
func (m *minionState) leaseEndsAt(now time.Time) time.Time {
	if m.leaseExpiry == 0 {
		return time.Time{}
	}
	return now.Add(m.leaseExpiry + leaseMargin - m.minClock(now))
}
