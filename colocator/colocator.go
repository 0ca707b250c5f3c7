// Package colocator decides whether a task waits for a place near its data, and
// learns what it costs to run elsewhere. It does no I/O and reads no clock.
package colocator

import (
	"math"
	"time"

	"agatevalve/common/work"
)

const (
	// acceptedRisk is the probability with which a task may become late by a wait
	// though it would have been on time elsewhere.
	acceptedRisk = 0.01
	// riskQuantile is the quantile of the normal distribution that belongs to
	// acceptedRisk.
	riskQuantile = 2.33
	// likely is the probability from which an outcome is relied on.
	likely = 0.5
	// lateValue is the value of an answer after the objective, relative to one
	// before it.
	lateValue = 0.2
	// clearGain is the gain in value from which a wait pays however long it is.
	clearGain = 0.25
	// handlingTime is the time from the end of a wait until a run starts: the
	// interval of placement passes, and the order.
	handlingTime = 12 * time.Millisecond
	// jitter is the largest fraction by which a wait is shortened at random, so
	// that tasks that wait for the same place don't leave it at once.
	jitter = 0.2
	// maxLoad bounds the load that weighs the time of others.
	maxLoad = 1.0
)

// Offer is the best that a place has for a task.
type Offer struct {
	// Exists is false if no minion there takes the task, now or later.
	Exists bool
	// Wait is the expected time until there is room, and Runtime the expected
	// runtime.
	Wait, Runtime time.Duration
	// Spread is the standard deviation of the logarithm of Runtime; above 0.
	Spread float64
}

// Question describes a task that has data on one rack and can run now.
type Question struct {
	Policy work.DataWait
	// Near is the offer of the rack with the data; Away is that of the minions
	// elsewhere that have room.
	Near, Away Offer
	// NearHasRoom is true if the task can be sent there now.
	NearHasRoom bool
	// Load is the fraction of the minions' room that is taken, from 0 to 1.
	Load float64
	// Objective is the latest time at which the end is on time, and Deadline that
	// at which it has any value.
	Objective, Deadline time.Time
	// WaitingUntil is the end of the task's present wait; zero without one. It is
	// never extended.
	WaitingUntil time.Time
	// Random is from 0 to 1.
	Random float64
}

// Choice is where a task goes.
type Choice int

// The choices.
const (
	// Near sends the task to the rack with its data.
	Near Choice = iota + 1
	// Away sends it elsewhere.
	Away
	// Wait keeps it until there is room on the rack.
	Wait
)

// Reason says what decided.
type Reason string

// The reasons.
const (
	// Faster means that the task is expected to end earlier there.
	Faster Reason = "faster"
	// Pays means that a wait costs less than a run elsewhere.
	Pays Reason = "pays"
	// PlaceLost means that no minion of the rack takes the task.
	PlaceLost Reason = "place-lost"
	// Disabled means that the route doesn't let its tasks wait.
	Disabled Reason = "disabled"
	// TooLong means that the wait costs more than a run elsewhere.
	TooLong Reason = "too-long"
	// Risk means that the wait may make the task late.
	Risk Reason = "risk"
	// Expired means that the time of the wait is over.
	Expired Reason = "expired"
	// Full means that there is no room elsewhere either.
	Full Reason = "full"
)

// Decision is the answer to a Question.
type Decision struct {
	Choice Choice
	Reason Reason
	// Until is the end of the wait, after which the task goes elsewhere; only for
	// Wait.
	Until time.Time
}

// Decide weighs a wait for the rack with the data against a run elsewhere now.
//
// A run elsewhere takes longer by a factor, which delays the task itself and
// takes room from others: the more, the higher the load. A wait pays while it is
// shorter than that, or gains clearGain in value. A wait by which the task is
// expected to end later than elsewhere ends while a run there would still be on
// time with all but acceptedRisk. Each placement pass decides anew, so that a
// wait ends with its reason.
func Decide(now time.Time, q Question) Decision {
	switch {
	case !q.Near.Exists:
		return Decision{Choice: Away, Reason: PlaceLost}
	case !q.Away.Exists && q.NearHasRoom:
		return Decision{Choice: Near, Reason: Full}
	case !q.Away.Exists:
		return Decision{Choice: Away, Reason: Full}
	case q.NearHasRoom && q.Near.Wait+q.Near.Runtime <= q.Away.Wait+q.Away.Runtime:
		return Decision{Choice: Near, Reason: Faster}
	case q.Policy.MaxWait <= 0:
		return Decision{Choice: Away, Reason: Disabled}
	case !q.WaitingUntil.IsZero() && !now.Before(q.WaitingUntil):
		return Decision{Choice: Away, Reason: Expired}
	}
	return weigh(now, q)
}

// weigh decides if the task can run elsewhere now, and ends there earlier or has
// no room near its data yet.
func weigh(now time.Time, q Question) Decision {
	gain := q.Near.value(now, q) - q.Away.value(now, q)
	switch {
	case gain < -acceptedRisk:
		return Decision{Choice: Away, Reason: Risk}
	case gain < clearGain && q.Near.Wait-q.Away.Wait > worthwhile(q):
		return Decision{Choice: Away, Reason: TooLong}
	case q.NearHasRoom:
		return Decision{Choice: Near, Reason: Pays}
	}
	until := now.Add(time.Duration(float64(longestWait(now, q, gain)) * (1 - jitter*q.Random)))
	if !q.WaitingUntil.IsZero() {
		until = earlier(until, q.WaitingUntil)
	}
	if until.Sub(now) < min(q.Near.Wait, handlingTime) {
		return Decision{Choice: Away, Reason: Risk}
	}
	return Decision{Choice: Wait, Reason: Pays, Until: until}
}

// longestWait returns how long the task may wait. Where it is expected to end
// earlier than elsewhere, it waits while it can be on time near its data. A wait
// for the sake of others leaves time for a run elsewhere.
func longestWait(now time.Time, q Question, gain float64) time.Duration {
	nearLimit := q.Objective.Sub(now) - handlingTime - q.Near.bounded(1)
	switch {
	case q.Near.Wait+handlingTime+q.Near.Runtime < q.Away.Wait+q.Away.Runtime:
		return min(q.Policy.MaxWait, nearLimit)
	case gain >= clearGain:
		return min(q.Policy.MaxWait, latestWait(now, q))
	}
	return min(q.Policy.MaxWait, latestWait(now, q), worthwhile(q)+q.Away.Wait)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// worthwhile returns the longest wait that costs less than the time by which a
// run elsewhere takes longer, for the task and for others.
func worthwhile(q Question) time.Duration {
	longer := max(q.Away.Runtime-q.Near.Runtime, 0)
	return time.Duration(float64(longer) * (1 + q.Policy.Weight*min(max(q.Load, 0), maxLoad)))
}

// latestWait returns the longest wait that makes the task late with
// acceptedRisk at most.
func latestWait(now time.Time, q Question) time.Duration {
	left := q.Objective.Sub(now) - handlingTime
	if q.Away.probability(q.Objective.Sub(now)) >= likely {
		return left - q.Away.Wait - q.Away.bounded(riskQuantile)
	}
	return left - q.Near.bounded(1)
}

// bounded returns the runtime that is exceeded by so many standard deviations.
func (o Offer) bounded(deviations float64) time.Duration {
	return time.Duration(float64(o.Runtime) * math.Exp(deviations*o.Spread))
}

// value returns the expected value of a run with this offer.
func (o Offer) value(now time.Time, q Question) float64 {
	onTime, inTime := o.probability(q.Objective.Sub(now)), o.probability(q.Deadline.Sub(now))
	return onTime + lateValue*max(inTime-onTime, 0)
}

// probability returns the probability that a run ends within a time.
func (o Offer) probability(within time.Duration) float64 {
	left := within - o.Wait
	if left <= 0 {
		return 0
	}
	return math.Erfc(-math.Log(float64(left)/float64(max(o.Runtime, 1)))/(o.Spread*math.Sqrt2)) / 2
}
