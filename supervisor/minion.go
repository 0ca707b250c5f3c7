package supervisor

import (
	"time"

	"agatevalve/common/work"
)

// maxClockDrift is the fraction by which a minion's clock may run slower than
// the agent's.
const maxClockDrift = 0.02

// leaseMargin is added to the expiry of a lease, since the minion's clock is
// read in whole milliseconds.
const leaseMargin = 5 * time.Millisecond

// clockResolution is the unit in which the minion's clock is read.
const clockResolution = time.Millisecond

// lapseCheckTimeout is the time for which the runs of an expired lease are kept
// until the minion answers a request for lists.
const lapseCheckTimeout = 100 * time.Millisecond

// minionState is what the agent knows of one incarnation of its minion. Nothing of
// it holds for another one, which counts its descriptions and ends from 1 and has
// its own clock.
type minionState struct {
	work.Minion

	// described is true once this incarnation has described itself. Until then only
	// Name and Incarnation are certain; room, labels and zone are those of the last
	// incarnation, and nothing is started by them.
	described bool
	// since is the time at which the agent learned of this incarnation. What was
	// requested later can't come from an earlier one.
	since time.Time
	// lastAnswerAt is the time at which the minion last answered a renewal;
	// zero if it never did.
	lastAnswerAt time.Time
	// clock is the minion's clock as read at clockReadAt.
	clock       time.Duration
	clockReadAt time.Time
	// leaseExpiry is the latest lease expiry, on the minion's clock, that the
	// minion may have received; 0 for none, or once it has lapsed.
	leaseExpiry time.Duration
	// lapsedAt is the time at which the lease was found to have expired; zero while
	// it has not.
	lapsedAt time.Time
	// ackedEnd is the number of the newest end that the agent has processed.
	ackedEnd uint64
	// reconciled is true once a list has shown that the minion runs nothing
	// that an earlier agent process started.
	reconciled bool
	// orphans are runs at the minion that belong to no entry, such as those of
	// an earlier agent process, each with its stop orders.
	orphans map[work.Run]*stopOrders
	// renewalInFlight is true while a renewal waits for its answer.
	renewalInFlight bool
	// listInFlight is true while a request for lists, sent beside a renewal,
	// waits for its answer.
	listInFlight bool
	// lapsedRuns are the runs that were lost because the lease lapsed while the
	// minion was silent. If another incarnation follows, the minion had crashed.
	lapsedRuns []work.CrashedRun
	// refusingSince is the time of the first renewal that was refused since the
	// minion last answered; zero without any. The minion is presumed to have crashed.
	refusingSince time.Time
	// successor is a minion of another name that has described itself while this one
	// had runs, and successorAt the time of that; nil for none.
	successor   *work.Minion
	successorAt time.Time
	// departed is true once the minion has announced its shutdown.
	departed bool
	// nextRenewalAt delays the next renewal after a failed one.
	nextRenewalAt time.Time
	// failedRenewals counts the failed renewals since the last answered one, and
	// failingSince is the time of the first of them; zero without any.
	failedRenewals int
	failingSince   time.Time
}

// known reports whether a minion has been described and has not departed.
func (m *minionState) known() bool { return m.Name != "" && !m.departed }

// usable reports whether the minion may be given runs.
func (m *minionState) usable() bool {
	return m.known() && m.described && m.reconciled && !m.Draining
}

// isEarlier reports whether the answer to a request comes from an incarnation before
// this one. Numbers alone don't tell: they go by the time of day, which may be set
// back.
func (m *minionState) isEarlier(incarnation uint64, requestedAt time.Time) bool {
	return incarnation < m.Incarnation && requestedAt.Before(m.since)
}

// lastContactAt returns the time at which this incarnation last answered, or was first
// heard of.
func (m *minionState) lastContactAt() time.Time {
	if m.lastAnswerAt.After(m.since) {
		return m.lastAnswerAt
	}
	return m.since
}

// ackableEnd returns the number of the newest end to acknowledge: 0 after a failed
// renewal, since another incarnation, whose ends have other numbers, may answer next.
func (m *minionState) ackableEnd() uint64 {
	if m.failedRenewals > 0 {
		return 0
	}
	return m.ackedEnd
}

// minClock returns the earliest time that the minion's clock may show.
func (m *minionState) minClock(at time.Time) time.Duration {
	elapsed := at.Sub(m.clockReadAt)
	return m.clock + elapsed - time.Duration(maxClockDrift*float64(elapsed))
}

// leaseExpired reports whether the lease has expired by the minion's clock.
func (m *minionState) leaseExpired(at time.Time) bool {
	return m.leaseExpiry > 0 && m.minClock(at) > m.leaseExpiry+leaseMargin
}

// hasLapsed reports whether the lease has expired and the minion has not shown
// since that it still runs something. An unanswered renewal may have been carried
// out late, so a list is requested first; see needsNewerList.
func (m *minionState) hasLapsed(at time.Time) bool {
	if !m.leaseExpired(at) {
		m.lapsedAt = time.Time{}
		return false
	}
	if m.lapsedAt.IsZero() {
		m.lapsedAt = at
	}
	return at.Sub(m.lapsedAt) > lapseCheckTimeout
}

// extendLease returns the expiry of a lease that begins now, on the minion's
// clock. It records the lease as granted, since an order may arrive even if it
// is never answered.
func (m *minionState) extendLease(at time.Time, length time.Duration) time.Duration {
	expiry := m.minClock(at) + length
	if expiry > m.leaseExpiry {
		m.leaseExpiry = expiry
	}
	return expiry
}

// correctClock lowers the estimate of the minion's clock if a reading shows that it is
// ahead: the agent's clock counts a suspension of the VM, the minion's doesn't. The
// reading was taken after a time.
func (m *minionState) correctClock(at, after time.Time, clock time.Duration) {
	if clock > 0 && !after.Before(m.clockReadAt) && m.minClock(after) > clock+clockResolution {
		m.clock, m.clockReadAt = clock, at
	}
}

// observeClock records a reading of the minion's clock, unless it is earlier
// than the estimate.
func (m *minionState) observeClock(at time.Time, clock time.Duration) {
	if clock > 0 && (m.clockReadAt.IsZero() || clock > m.minClock(at)) {
		m.clock, m.clockReadAt = clock, at
	}
}
