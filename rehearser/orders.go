package rehearser

import (
	"cmp"
	"time"

	"agatevalve/emulator"
	"agatevalve/supervisor"
)

const (
	// minLateDelay and maxLateDelay bound the delay of an order whose answer is
	// lost and which the minion executes late.
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
	// orderTimeout is the agent's timeout for answers of the minion to starts.
	orderTimeout = 120 * time.Millisecond
	// maxHold is the longest time for which the network holds an order, which may
	// exceed the timeout.
	maxHold = 200 * time.Millisecond
)

// performer executes an order at the minion that received it, with any lease in it
// later by a delay. It returns the answer, or nil if it passes it to answer later.
type performer func(m *emulator.LeasedMinion, leaseDelay time.Duration, answer func(supervisor.Event)) supervisor.Event

// sendOrder sends an order to the minion and delivers its answer. The order and
// its answer may both be lost, or only the answer, and then the order is executed
// late. timeoutEvent is delivered if there is no answer, and refusal if nothing
// listens at the minion's address.
func (a *agentNode) sendOrder(timeout time.Duration, perform performer, timeoutEvent, refusal supervisor.Event) {
	incarnation, minion, answered := a.incarnation, a.minion, false
	answerLate := func(ev supervisor.Event) {
		if a.incarnation == incarnation {
			a.deliver(ev)
		}
	}
	answer := func(ev supervisor.Event) {
		if !answered {
			answered = true
			answerLate(ev)
		}
	}
	loses := a.world.random.Float64() < a.world.day.LostAnswerShare
	if a.world.now.Before(a.refusesUntil) {
		a.world.after(orderDelay, func() { answer(refusal) })
		return
	}
	if loses {
		a.executeLate(minion, perform, answerLate)
		a.world.after(timeout, func() { answer(timeoutEvent) })
		return
	}
	if a.world.now.Before(a.unreachableUntil) || a.world.now.Before(a.crashedUntil) && !a.keepsOrders {
		a.world.after(timeout, func() { answer(timeoutEvent) })
		return
	}
	arrival := orderDelay
	if share := a.world.day.HeldOrderShare; share > 0 && a.world.random.Float64() < share {
		arrival += time.Duration(a.world.random.Int64N(int64(maxHold)))
		a.world.after(timeout, func() { answer(timeoutEvent) })
	}
	a.world.after(arrival, func() {
		receiver, resets := a.minion, a.resets
		if a.ordersWait() {
			a.waitForMinion(minion, perform, answer)
			a.world.after(timeout, func() { answer(timeoutEvent) })
			return
		}
		if receiver.Describe().Name != minion.Describe().Name || a.world.now.Before(laterOf(a.crashedUntil, a.refusesUntil)) {
			answer(timeoutEvent)
			return
		}
		if ev := perform(receiver, 0, answer); ev != nil {
			a.world.after(orderDelay, func() {
				if a.resets != resets {
					ev = timeoutEvent
				}
				answer(ev)
			})
		}
	})
}

// executeLate executes an order after a delay, unless the minion has ended by then.
func (a *agentNode) executeLate(minion *emulator.LeasedMinion, perform performer, answerLate func(supervisor.Event)) {
	shortest, longest := cmp.Or(a.world.day.MinLateDelay, minLateDelay), cmp.Or(a.world.day.MaxLateDelay, maxLateDelay)
	delay := shortest + time.Duration(a.world.random.Int64N(int64(longest-shortest)))
	leaseDelay := time.Duration(0)
	if a.world.day.LateLeasesCount {
		leaseDelay = delay
	}
	a.world.after(delay, func() {
		if a.minion == minion && !a.minionEnded {
			a.executesLate = true
			perform(minion, leaseDelay, answerLate)
			a.executesLate = false
		}
	})
}

func (a *agentNode) startRun(c supervisor.StartRun) {
	a.sendOrder(orderTimeout, func(m *emulator.LeasedMinion, leaseDelay time.Duration, _ func(supervisor.Event)) supervisor.Event {
		answer := supervisor.StartOtherIncarnation
		if m.Describe().Name == c.Minion {
			order := c
			order.LeaseExpiry += leaseDelay
			answer = m.Start(a.world.now, order)
		}
		return supervisor.StartAnswered{Run: c.Run, Incarnation: c.Incarnation, Answer: answer, FencingToken: c.FencingToken, Clock: m.Clock(a.world.now)}
	}, supervisor.StartAnswered{Run: c.Run, Incarnation: c.Incarnation, Answer: supervisor.StartUnanswered},
		supervisor.StartAnswered{Run: c.Run, Incarnation: c.Incarnation, Answer: supervisor.StartUnreachable})
}

func (a *agentNode) stopRun(c supervisor.StopRun) {
	a.sendOrder(c.AnswerTimeout, func(m *emulator.LeasedMinion, _ time.Duration, _ func(supervisor.Event)) supervisor.Event {
		admitted := m.Admits(c.FencingToken)
		if admitted {
			m.Stop(a.world.now, c.Run)
		}
		return supervisor.StopAnswered{
			Run: c.Run, Incarnation: c.Incarnation, Answered: admitted, Fenced: !admitted, FencingToken: c.FencingToken, Clock: m.Clock(a.world.now),
		}
	}, supervisor.StopAnswered{Run: c.Run, Incarnation: c.Incarnation}, supervisor.StopAnswered{Run: c.Run, Incarnation: c.Incarnation})
}

// renewLease renews the minion's lease and requests a list of its runs. The
// minion delays the response until a run ends or the requested wait is over
// (long polling).
func (a *agentNode) renewLease(c supervisor.RenewLease) {
	requestedAt, incarnation := a.now(), a.incarnation
	var failure supervisor.Event = supervisor.RenewalFailed{ListOnly: c.ListOnly}
	listRuns := func(m *emulator.LeasedMinion) supervisor.Event {
		running, ended := m.RenewLease(a.world.now, c)
		return supervisor.RunsListed{
			ListOnly: c.ListOnly, FencingToken: c.FencingToken, Incarnation: m.Describe().Incarnation, RequestedAt: requestedAt, Clock: m.Clock(a.world.now), Running: running, Ended: ended,
		}
	}
	a.sendOrder(c.Wait+c.AnswerTimeout, renewalOf(c, func(m *emulator.LeasedMinion, leaseDelay time.Duration, answer func(supervisor.Event)) supervisor.Event {
		if !m.Admits(c.FencingToken) {
			return supervisor.RenewalFenced{ListOnly: c.ListOnly, FencingToken: c.FencingToken}
		}
		if c.LeaseExpiry > 0 {
			c.LeaseExpiry += leaseDelay
		}
		ev := listRuns(m)
		if listed := ev.(supervisor.RunsListed); len(listed.Ended) > 0 || c.Wait == 0 {
			return ev
		}
		released, resets, late := false, a.resets, a.executesLate
		var release func()
		release = func() {
			if pause := a.minionFrozenUntil.Sub(a.world.now); pause > 0 {
				a.world.after(pause, release)
				return
			}
			reset := a.resets != resets
			if released || a.incarnation != incarnation || reset && late || !reset && a.minion != m {
				return
			}
			released = true
			ev := failure
			if !reset && !a.world.now.Before(a.refusesUntil) {
				ev = listRuns(m)
			}
			a.world.after(orderDelay, func() {
				if a.resets != resets {
					ev = failure
				}
				answer(ev)
			})
		}
		a.releaseRenewal = release
		a.world.after(c.Wait, release)
		return nil
	}), failure, supervisor.MinionDown{ListOnly: c.ListOnly})
}

// renewalOf returns a performer that refuses a renewal for another minion.
func renewalOf(c supervisor.RenewLease, perform performer) performer {
	return func(m *emulator.LeasedMinion, leaseDelay time.Duration, answer func(supervisor.Event)) supervisor.Event {
		if m.Describe().Name != c.Minion {
			return supervisor.OtherIncarnationAnswered{Name: c.Minion, ListOnly: c.ListOnly}
		}
		return perform(m, leaseDelay, answer)
	}
}
