package claimer

import (
	"math/rand/v2"
	"time"
)

const (
	// cooldownFactor is the ratio of the mean cooldown after a transaction to
	// the duration of the transaction.
	cooldownFactor = 1
	// maxCooldown bounds the mean cooldown.
	maxCooldown = 250 * time.Millisecond
	// overdueFactor is the ratio of a call's duration to that of the last
	// transaction above which the call is overdue: others stop waiting for it.
	overdueFactor = 8
	// minOverdue is the duration up to which a call is never overdue.
	minOverdue = 250 * time.Millisecond
	// maxInterval bounds the interval between the transactions of one entry, so
	// that its share of the fleet's rate never falls to zero.
	maxInterval = time.Second
	// burstIntervals is the burst tolerance of the rate limit, in intervals.
	// After an idle period claims can therefore be sent at once.
	burstIntervals = 2
)

// pacer limits the transactions of one entry in two ways.
//
// After each transaction there is a cooldown in proportion to its duration.
// While the store is busy, entries thereby send fuller transactions instead of
// filling the store's queue; while it is idle, the cooldown is short. This needs
// no estimate of the latency of an idle store, which an entry that starts under
// load can't measure.
//
// With the cooldown alone, many entries together could use the store's whole
// capacity. Each entry is therefore also limited to its share of the fleet's
// transaction rate, by the generic cell rate algorithm (GCRA), a form of token
// bucket.
type pacer struct {
	random *rand.Rand
	// fleetRate is the limit of transactions per second of all entries together.
	fleetRate int
	// entries is the number of entries that share fleetRate.
	entries int
	// cooldownUntil is the end of the cooldown after the last transaction.
	cooldownUntil time.Time
	// theoreticalArrival is the GCRA's theoretical arrival time: each
	// transaction moves it one interval ahead, starting from now at the
	// earliest.
	theoreticalArrival time.Time
	// rateLimitedUntil is the time before which the rate limit allows no further
	// transaction.
	rateLimitedUntil time.Time
	// lastDuration is the duration of the last transaction that the store
	// answered without an error; 0 before the first.
	lastDuration time.Duration
}

// newPacer returns a pacer for a single entry that uses the whole fleetRate.
func newPacer(fleetRate int, random *rand.Rand) *pacer {
	return &pacer{random: random, fleetRate: max(1, fleetRate), entries: 1}
}

// readyAt returns the earliest time of the next transaction.
func (p *pacer) readyAt() time.Time { return later(p.cooldownUntil, p.rateLimitedUntil) }

// endCooldown ends the cooldown early. The rate limit still applies.
func (p *pacer) endCooldown() { p.cooldownUntil = time.Time{} }

// recordSent counts a transaction that is sent now, whatever its outcome,
// against the rate limit. The burst tolerance has a jitter of half an interval,
// so that entries don't stay synchronised. Any period contains at most
// burstIntervals+1 more transactions than intervals.
func (p *pacer) recordSent(now time.Time) {
	interval := min(time.Second*time.Duration(p.entries)/time.Duration(p.fleetRate), maxInterval)
	p.theoreticalArrival = later(p.theoreticalArrival, now).Add(interval)
	tolerance := burstIntervals*interval - time.Duration(p.random.Int64N(int64(interval)/2+1))
	p.rateLimitedUntil = p.theoreticalArrival.Add(-tolerance)
}

// recordAnswer starts the cooldown after a transaction that was answered now.
// The cooldown has a jitter of plus or minus half of it.
func (p *pacer) recordAnswer(sentAt, now time.Time) {
	p.lastDuration = now.Sub(sentAt)
	cooldown := float64(min(cooldownFactor*p.lastDuration, maxCooldown))
	p.cooldownUntil = now.Add(time.Duration(cooldown * (0.5 + p.random.Float64())))
}

// overdueAfter returns the duration after which a call in flight is overdue.
// Others may then be sent without waiting for it.
func (p *pacer) overdueAfter() time.Duration { return max(overdueFactor*p.lastDuration, minOverdue) }
