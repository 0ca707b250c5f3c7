package soaker

import "time"

const (
	// maxKillPause is the maximum time from SIGKILL to a minion's process until the
	// next one. Half of the pauses are below shortKillPause.
	maxKillPause   = 4 * time.Second
	shortKillPause = 100 * time.Millisecond
	// maxKillDelay is the time within which a minion ends a run that it is to stop, or
	// whose lease has expired.
	maxKillDelay = 50 * time.Millisecond
)

// childFaults holds faults of minions that are processes of their own.
var childFaults = []faultKind{
	{"stop a minion's process", 2, childFault(func(a *agent, _ time.Duration) func() {
		cmd := a.child.current()
		a.child.stop(cmd)
		return func() { a.child.resume(cmd) }
	})},
	{"kill a minion's process", 2, childFault(func(a *agent, _ time.Duration) func() {
		pause, keepName := a.harness.drawKillPause()
		a.markDisturbed(pause)
		a.child.kill(a.child.current(), pause, keepName)
		return nil
	})},
	{"stop, then kill a minion's process", 2, childFault(func(a *agent, duration time.Duration) func() {
		pause, _ := a.harness.drawKillPause()
		a.markDisturbed(duration + pause)
		cmd := a.child.current()
		a.child.stop(cmd)
		return func() { a.child.kill(cmd, pause, true) }
	})},
	{"stop, reset, then kill a minion's process", 2, childFault(func(a *agent, duration time.Duration) func() {
		pause, _ := a.harness.drawKillPause()
		a.markDisturbed(duration + pause)
		cmd := a.child.current()
		a.child.stop(cmd)
		a.proxy.reset() // What the agent sends from now on waits for the next incarnation.
		return func() { a.child.kill(cmd, pause, true) }
	})},
	{"kill runs late after their lease", 1, childFault(delayFault(func(d *killDelays, delay time.Duration) { d.Lapse = delay }))},
	{"kill runs late after their stop", 1, childFault(delayFault(func(d *killDelays, delay time.Duration) { d.Stop = delay }))},
}

// childFault returns an injector of a fault of a minion's process that it draws.
func childFault(inject func(a *agent, duration time.Duration) (end func())) func(*harness, time.Duration) (string, func()) {
	return func(h *harness, duration time.Duration) (string, func()) {
		a := h.agents[h.faultRandom.IntN(h.childCount())]
		return a.vm.Node, inject(a, duration)
	}
}

// delayFault returns a fault that delays the ends of runs.
func delayFault(set func(d *killDelays, delay time.Duration)) func(*agent, time.Duration) func() {
	return func(a *agent, _ time.Duration) func() {
		cmd := a.child.current()
		a.child.delayKills(cmd, func(d *killDelays) { set(d, maxKillDelay) })
		return func() { a.child.delayKills(cmd, func(d *killDelays) { set(d, 0) }) }
	}
}

// drawKillPause draws the pause between two incarnations, and whether they have the
// same name.
func (h *harness) drawKillPause() (pause time.Duration, keepName bool) {
	limit := maxKillPause
	if h.faultRandom.IntN(2) == 0 {
		limit = shortKillPause
	}
	return minRestartPause + time.Duration(h.faultRandom.Int64N(int64(limit-minRestartPause))), h.faultRandom.IntN(2) == 0
}
