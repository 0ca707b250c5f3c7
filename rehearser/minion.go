package rehearser

import (
	"fmt"
	"time"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/supervisor"
)

// startMinion replaces the minion by a new incarnation under the current name. Runs of
// the previous one are lost.
func (a *agentNode) startMinion() {
	if a.minion != nil {
		a.minion.Crash(a.world.now)
	}
	a.numberIncarnation()
	a.minionEnded, a.minionFrozenUntil = false, time.Time{}
	name := fmt.Sprintf("minion-%02d-%d", a.index, a.minionNames)
	a.minion = emulator.NewLeasedMinion(emulator.LeasedOptions{
		Minion:         work.Minion{Name: name, Incarnation: uint64(a.minionIncarnation), Service: serviceName, Zone: a.world.zoneOf(a.index), Room: a.world.day.Room, Labels: a.labels()},
		DurationFactor: a.world.day.DurationFactors[a.index], MaxLease: maxLease, IgnoreLeaseExpiry: a.world.day.IgnoreLeaseExpiry, AllowOvercommit: a.world.day.AllowOvercommit,
		Profile:   a.world.profile,
		KillDelay: a.newKillDelay(),
		OnStart: func(run work.Run, at time.Time) {
			a.world.verifier.runStarted(name, run, at)
			a.world.verifier.checkZone(a, run)
			a.world.verifier.startedBy[run] = agentProcess{agent: a, incarnation: a.incarnation}
			a.onRunChange()
		},
		OnEnd: func(run work.Run, state work.State, at time.Time) {
			a.world.verifier.runEnded(name, run, state, at)
			a.onRunChange()
		},
		OnEndAcknowledged: a.world.verifier.endAcknowledged,
		OnCrash: func(run work.Run, at time.Time) {
			a.world.verifier.minionCrashed(run, at)
			a.crash(crashDowntime)
			a.refusesUntil = laterOf(a.refusesUntil, a.crashedUntil)
		},
	}, a.world.now)
	a.executeWaiting()
}

// crash ends the minion and all its runs, and starts another one after a time.
func (a *agentNode) crash(downtime time.Duration) { a.replaceMinion(downtime, 1) }

// restartMinion ends the minion and all its runs, and starts it again under its name
// after a time, for which it is silent or its port refuses connections.
func (a *agentNode) restartMinion(f Fault) {
	if a.world.now.Before(a.crashedUntil) {
		return
	}
	waiting := a.waitingOrders
	a.minionEnded = true
	a.replaceMinion(f.For, 0)
	if f.KeepOrders {
		a.waitingOrders, a.keepsOrders = waiting, true
	}
	if f.Silent {
		a.resetConnections()
	} else {
		a.refuseConnections(a.crashedUntil)
	}
}

// departMinion drains the minion and announces its departure. The minion ends a time
// after that, with all its runs, and then its port refuses connections until another
// one starts.
func (a *agentNode) departMinion(ending time.Duration) {
	if a.world.now.Before(a.crashedUntil) {
		return
	}
	minion := a.minion
	minion.Drain()
	a.sendStatus()
	a.world.after(drainDelay, func() {
		if a.minion == minion && !a.world.now.Before(a.crashedUntil) {
			a.deliver(supervisor.MinionDeparted{Name: minion.Describe().Name})
		}
	})
	a.world.after(drainDelay+ending, func() {
		if a.minion == minion && !a.world.now.Before(a.crashedUntil) {
			a.minionEnded = true
			a.replaceMinion(departureDowntime, 1)
			a.refuseConnections(a.crashedUntil)
		}
	})
}

// replaceMinion ends the minion and all its runs, and starts the next incarnation
// after a time, with a number of new names.
func (a *agentNode) replaceMinion(downtime time.Duration, names int) {
	a.minion.Crash(a.world.now)
	a.waitingOrders, a.keepsOrders = nil, false
	if restart := a.world.now.Add(downtime); restart.After(a.crashedUntil) {
		a.crashedUntil = restart
	}
	a.world.after(downtime, func() {
		if !a.world.now.Before(a.crashedUntil) { // A later crash may last longer.
			a.minionNames += names
			a.startMinion()
			a.sendStatus() // A minion registers when it starts.
		}
	})
}

// refuseConnections makes the minion's port refuse connections until a time. Requests
// in flight fail at once; the minion and its runs are not affected.
func (a *agentNode) refuseConnections(until time.Time) {
	a.refusesUntil = laterOf(a.refusesUntil, until)
	a.resetConnections()
}

// resetConnections makes requests in flight fail at once.
func (a *agentNode) resetConnections() {
	a.resets++
	a.releaseDelayed()
}

// labels returns the labels of the agent's minion.
func (a *agentNode) labels() []string {
	if len(a.world.day.Labels) == 0 {
		return nil
	}
	return a.world.day.Labels[a.index%len(a.world.day.Labels)]
}

// scheduleNextEnd schedules the next end of a run at the minion. Only the
// latest timer counts; if the lease was extended meanwhile, it schedules the
// new end.
func (a *agentNode) scheduleNextEnd() {
	a.latestEndTimer++
	minion, timer := a.minion, a.latestEndTimer
	next, exists := minion.NextEnd()
	if !exists {
		return
	}
	a.world.after(max(next.Sub(a.world.now), 0), func() {
		if a.minion == minion && a.latestEndTimer == timer {
			minion.Advance(a.world.now)
			a.scheduleNextEnd()
		}
	})
}

// onRunChange sends the delayed response to a renewal and reschedules the next
// end.
func (a *agentNode) onRunChange() {
	a.world.after(0, func() {
		a.releaseDelayed()
		a.scheduleNextEnd()
	})
}

// releaseDelayed sends the response to the renewal that the minion delays, if any.
func (a *agentNode) releaseDelayed() {
	if release := a.releaseRenewal; release != nil {
		a.releaseRenewal = nil
		release()
	}
}
