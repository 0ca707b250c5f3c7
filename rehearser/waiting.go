package rehearser

import (
	"slices"
	"time"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/supervisor"
)

const (
	// maxWaitingDelay is the longest time from the moment at which a minion goes on,
	// or has started, until it executes an order that has waited in its sockets.
	maxWaitingDelay = 20 * time.Millisecond
	// givenUpShare is the fraction of the orders that have waited which a minion doesn't
	// read, if it reads few.
	givenUpShare = 0.9
	// incarnationStep is the usual distance of the numbers of two incarnations, which
	// leaves room for lower ones.
	incarnationStep = 1000
	// firstIncarnation is larger than all steps back of a day.
	firstIncarnation = 1000 * incarnationStep
)

// freezeMinion stops the minion's process for a time. Its runs go on.
func (a *agentNode) freezeMinion(d time.Duration) {
	minion := a.minion
	a.minionFrozenUntil = laterOf(a.minionFrozenUntil, a.world.now.Add(d))
	a.world.after(d, func() {
		if a.minion == minion && !a.ordersWait() {
			a.executeWaiting()
		}
	})
}

// ordersWait reports whether orders wait in the sockets of the minion.
func (a *agentNode) ordersWait() bool {
	if a.world.now.Before(a.crashedUntil) {
		return a.keepsOrders && !a.world.now.Before(a.refusesUntil)
	}
	return a.world.now.Before(a.minionFrozenUntil)
}

// waitForMinion keeps an order for a minion until one under its name goes on.
func (a *agentNode) waitForMinion(minion *emulator.LeasedMinion, perform performer, answer func(supervisor.Event)) {
	a.waitingOrders = append(a.waitingOrders, func(receiver *emulator.LeasedMinion) {
		if receiver.Describe().Name != minion.Describe().Name {
			return
		}
		a.executesLate = true
		ev := perform(receiver, 0, answer)
		a.executesLate = false
		if ev != nil {
			a.world.after(orderDelay, func() { answer(ev) })
		}
	})
}

// executeWaiting executes the orders that wait in the sockets, in any order and half of
// them at once. A minion may read few of them only, since clients have given them up.
func (a *agentNode) executeWaiting() {
	waiting, minion, random := a.waitingOrders, a.minion, a.world.random
	a.waitingOrders, a.keepsOrders = nil, false
	if len(waiting) == 0 {
		return // Days without such orders keep their random numbers.
	}
	if random.IntN(2) == 0 {
		waiting = slices.DeleteFunc(waiting, func(func(*emulator.LeasedMinion)) bool { return random.Float64() < givenUpShare })
	}
	random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, execute := range waiting {
		delay := max(0, time.Duration(random.Int64N(int64(2*maxWaitingDelay)))-maxWaitingDelay)
		a.world.after(delay, func() {
			if a.minion == minion && !a.minionEnded {
				execute(minion)
			}
		})
	}
}

// numberIncarnation chooses the number of the next incarnation, which goes by the time
// of day.
func (a *agentNode) numberIncarnation() {
	if a.minionIncarnation == 0 {
		a.minionIncarnation = firstIncarnation
		return
	}
	a.minionIncarnation += incarnationStep
	if share := a.world.day.BornStepBackShare; share > 0 && a.world.random.Float64() < share {
		a.minionIncarnation -= incarnationStep + 1 + a.world.random.IntN(incarnationStep-1)
	}
}

// newKillDelay chooses the time that the minion takes to end runs whose lease has lapsed.
func (a *agentNode) newKillDelay() func(work.State) time.Duration {
	limit := int64(a.world.day.MaxKillDelay)
	if limit == 0 {
		return nil
	}
	delay := time.Duration(a.world.random.Int64N(limit + 1))
	return func(state work.State) time.Duration {
		if state == work.Lost {
			return delay
		}
		return 0
	}
}
