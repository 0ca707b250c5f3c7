package soaker

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

// faultKind is a kind of fault that can be injected.
type faultKind struct {
	name string
	// weight is the relative frequency of the fault.
	weight int
	// inject starts the fault at a target that it draws. It returns the target
	// that is disturbed, if any, and a function that ends the fault, if it needs
	// one.
	inject func(h *harness, duration time.Duration) (target string, end func())
}

const (
	// maxPauseShare is the maximum pause between the starts of two faults, as a share
	// of the longest duration. Faults overlap, as most last longer.
	maxPauseShare = 0.28
	// minDurationShare is the shortest duration of a fault as a share of the longest.
	minDurationShare = 0.04
	// defaultMaxFault is the longest duration of a fault if the options have none.
	defaultMaxFault = 2500 * time.Millisecond
	// plannedOnlyShare is the share of seeds with planned maintenance only. Other
	// faults suspend checks that these seeds make.
	plannedOnlyShare = 0.25
	// slowLinkDelay is the delay that a slow connection adds to each write.
	slowLinkDelay = 60 * time.Millisecond
)

// plannedMaintenance holds operations that must not break callers' connections.
var plannedMaintenance = []faultKind{
	{"stop an entry", 2, func(h *harness, _ time.Duration) (string, func()) {
		e := h.entries[h.faultRandom.IntN(len(h.entries))]
		go e.terminate()
		return "", nil
	}},
	{"stop an agent", 2, func(h *harness, _ time.Duration) (string, func()) {
		a := h.agents[h.faultRandom.IntN(len(h.agents))]
		go a.terminate()
		return "", nil
	}},
	{"change an entry's settings", 1, func(h *harness, _ time.Duration) (string, func()) {
		e := h.entries[h.faultRandom.IntN(len(h.entries))]
		e.vm.Seeds = append(e.vm.Seeds[1:], e.vm.Seeds[0])
		if err := e.writeSettings(); err != nil {
			h.checker.addViolation("settings: %v", err)
		}
		e.signal(syscall.SIGHUP)
		return "", nil
	}},
	{"drain a minion and replace it", 2, func(h *harness, _ time.Duration) (string, func()) {
		a := h.drawEmulated()
		a.mu.Lock()
		minion := a.minion
		a.mu.Unlock()
		minion.WithLock(func(l *emulator.LeasedMinion, _ time.Time) { l.Drain() })
		time.AfterFunc(reportInterval+drainGrace+time.Second, func() { a.replaceMinion(minion, false) })
		return "", nil
	}},
}

// unplannedFaults holds crashes, freezes, and faults of minions, the network and
// the store.
var unplannedFaults = []faultKind{
	{"kill an entry", 3, func(h *harness, _ time.Duration) (string, func()) {
		e := h.entries[h.faultRandom.IntN(len(h.entries))]
		e.signal(syscall.SIGKILL)
		return e.vm.Node, nil
	}},
	{"kill an agent", 3, func(h *harness, _ time.Duration) (string, func()) {
		a := h.agents[h.faultRandom.IntN(len(h.agents))]
		a.signal(syscall.SIGKILL)
		return a.vm.Node, nil
	}},
	{"freeze an entry", 3, func(h *harness, _ time.Duration) (string, func()) {
		e := h.entries[h.faultRandom.IntN(len(h.entries))]
		e.signal(syscall.SIGSTOP)
		return e.vm.Node, func() { e.signal(syscall.SIGCONT) }
	}},
	{"freeze an agent", 3, func(h *harness, _ time.Duration) (string, func()) {
		a := h.agents[h.faultRandom.IntN(len(h.agents))]
		a.signal(syscall.SIGSTOP)
		return a.vm.Node, func() { a.signal(syscall.SIGCONT) }
	}},
	{"kill all", 1, func(h *harness, _ time.Duration) (string, func()) {
		for _, e := range h.entries {
			e.signal(syscall.SIGKILL)
		}
		for _, a := range h.agents {
			a.signal(syscall.SIGKILL)
		}
		return allTargets, nil
	}},
	{"crash a minion", 2, func(h *harness, duration time.Duration) (string, func()) {
		a := h.drawEmulated()
		a.mu.Lock()
		a.downUntil = time.Now().Add(duration)
		minion := a.minion
		a.mu.Unlock()
		minion.Crash()
		return a.vm.Node, func() { a.replaceMinion(minion, false) }
	}},
	{"slow a minion", 2, minionFault(func(l *emulator.LeasedMinion, now time.Time, on bool) { l.SetSlowdown(now, pick(on, 5.0, 1.0)) })},
	{"stall a minion", 2, minionFault(func(l *emulator.LeasedMinion, now time.Time, on bool) { l.SetSlowdown(now, pick(on, 0.0, 1.0)) })},
	{"fail a minion's runs", 2, minionFault(func(l *emulator.LeasedMinion, now time.Time, on bool) { l.SetFailing(now, on) })},
	{"slow the orders to a minion", 1, proxyFault(minionProxy, func(p *proxy, on bool) { p.delay.Store(pick(on, int64(slowLinkDelay), 0)) })},
	{"cut a minion off", 2, proxyFault(minionProxy, func(p *proxy, on bool) { p.blocked.Store(on) })},
	{"reset a minion's connections", 2, proxyFault(minionProxy, func(p *proxy, on bool) { callIf(on, p.reset) })},
	{"silence a minion's connections", 2, proxyFault(minionProxy, func(p *proxy, on bool) { callIf(on, func() { p.blackhole(true) }) })},
	{"lose a minion's answers", 2, proxyFault(minionProxy, func(p *proxy, on bool) { callIf(on, func() { p.blackhole(false) }) })},
	{"refuse a minion's connections", 2, refuseConnections},
	{"leave a minion's orders unanswered", 2, loseAnswers},
	{"restart a minion under its name", 2, restartUnderName},
	{"remove a minion", 2, removeMinion},
	{"slow callers", 1, proxyFault(callerProxy, func(p *proxy, on bool) { p.delay.Store(pick(on, int64(slowLinkDelay), 0)) })},
	{"cut callers off", 1, proxyFault(callerProxy, func(p *proxy, on bool) { p.blocked.Store(on) })},
	{"reset callers", 2, proxyFault(callerProxy, func(p *proxy, on bool) { callIf(on, p.reset) })},
	{"silence callers", 1, proxyFault(callerProxy, func(p *proxy, on bool) { callIf(on, func() { p.blackhole(true) }) })},
	{"cut the links of an entry", 2, proxyFault(linkProxy, func(p *proxy, on bool) { p.blocked.Store(on) })},
	{"hold back what an entry sends over links", 2, proxyFault(linkProxy, func(p *proxy, on bool) { p.heldFromServer.Store(on) })},
	{"hold back what an entry gets over links", 2, proxyFault(linkProxy, func(p *proxy, on bool) { p.heldFromClient.Store(on) })},
	{"slow the links of an entry", 1, proxyFault(linkProxy, func(p *proxy, on bool) { p.delay.Store(pick(on, int64(slowLinkDelay), 0)) })},
	{"silence the links of an entry", 1, proxyFault(linkProxy, func(p *proxy, on bool) { callIf(on, func() { p.blackhole(true) }) })},
	{"lose what an entry sends over links", 1, proxyFault(linkProxy, func(p *proxy, on bool) { callIf(on, func() { p.blackhole(false) }) })},
	{"reset the links of an entry", 1, proxyFault(linkProxy, func(p *proxy, on bool) { callIf(on, p.reset) })},
	{"hold back what callers send", 1, proxyFault(callerProxy, func(p *proxy, on bool) { p.heldFromClient.Store(on) })},
	{"hold back what callers get", 1, proxyFault(callerProxy, func(p *proxy, on bool) { p.heldFromServer.Store(on) })},
	{"cut an entry off", 3, entryFault(func(e *entry, on bool) {
		e.proxy.blocked.Store(on)
		e.links.blocked.Store(on)
	})},
	{"power an entry off", 3, entryFault(func(e *entry, on bool) {
		e.proxy.blocked.Store(on)
		e.links.blocked.Store(on)
		e.signal(syscall.SIGKILL)
	})},
	{"slow an entry", 2, entryFault(func(e *entry, on bool) { e.slowed.Store(on) })},
	{"slow an agent", 2, func(h *harness, _ time.Duration) (string, func()) {
		a := h.agents[h.faultRandom.IntN(len(h.agents))]
		a.slowed.Store(true)
		return a.vm.Node, func() { a.slowed.Store(false) }
	}},
	{"kill all entries", 1, func(h *harness, _ time.Duration) (string, func()) {
		for _, e := range h.entries {
			e.signal(syscall.SIGKILL)
		}
		return allTargets, nil
	}},
	{"cut the store off", 1, proxyFault(storeProxy, func(p *proxy, on bool) { p.blocked.Store(on) })},
	{"silence the store's connections", 1, proxyFault(storeProxy, func(p *proxy, on bool) { callIf(on, func() { p.blackhole(true) }) })},
	{"stop the store", 2, storeFault(imitator.Unavailable)},
	{"slow the store", 1, storeFault(imitator.Slow)},
	{"lose the store's answers", 1, storeFault(imitator.LosingReplies)},
	{"drop the store's history", 1, storeFault(imitator.Compacted)},
}

// pick returns a if on, else b.
func pick[T any](on bool, a, b T) T {
	if on {
		return a
	}
	return b
}

// callIf calls do if on. It serves faults that need no end.
func callIf(on bool, do func()) {
	if on {
		do()
	}
}

// minionFault returns an injector that changes the state of a minion, and restores
// it at the end.
func minionFault(change func(l *emulator.LeasedMinion, now time.Time, on bool)) func(*harness, time.Duration) (string, func()) {
	return func(h *harness, _ time.Duration) (string, func()) {
		a := h.drawEmulated()
		a.mu.Lock()
		minion := a.minion
		a.mu.Unlock()
		minion.WithLock(func(l *emulator.LeasedMinion, now time.Time) { change(l, now, true) })
		return a.vm.Node, func() {
			minion.WithLock(func(l *emulator.LeasedMinion, now time.Time) { change(l, now, false) })
		}
	}
}

// minionProxy draws an agent, and returns the proxy of its minion and its name.
func minionProxy(h *harness) (*proxy, string) {
	a := h.agents[h.faultRandom.IntN(len(h.agents))]
	return a.proxy, a.vm.Node
}

// callerProxy draws an entry, and returns its proxy for callers and its name.
func callerProxy(h *harness) (*proxy, string) {
	e := h.entries[h.faultRandom.IntN(len(h.entries))]
	return e.proxy, e.vm.Node
}

// linkProxy draws an entry, and returns its proxy for links and its name.
func linkProxy(h *harness) (*proxy, string) {
	e := h.entries[h.faultRandom.IntN(len(h.entries))]
	return e.links, e.vm.Node
}

// entryFault returns an injector that changes the state of an entry, and restores
// it at the end.
func entryFault(change func(e *entry, on bool)) func(*harness, time.Duration) (string, func()) {
	return func(h *harness, _ time.Duration) (string, func()) {
		e := h.entries[h.faultRandom.IntN(len(h.entries))]
		change(e, true)
		return e.vm.Node, func() { change(e, false) }
	}
}

// storeProxy returns the proxy of the store and its target name.
func storeProxy(h *harness) (*proxy, string) { return h.storeProxy, "store" }

// proxyFault returns an injector that changes the state of a proxy, and restores
// it at the end.
func proxyFault(selectProxy func(*harness) (*proxy, string), change func(p *proxy, on bool)) func(*harness, time.Duration) (string, func()) {
	return func(h *harness, _ time.Duration) (string, func()) {
		p, target := selectProxy(h)
		change(p, true)
		return target, func() { change(p, false) }
	}
}

// storeFault returns an injector that changes how the store responds.
func storeFault(mode imitator.StoreMode) func(*harness, time.Duration) (string, func()) {
	return func(h *harness, _ time.Duration) (string, func()) {
		h.store.SetMode(mode)
		return "store", func() { h.store.SetMode(imitator.Serving) }
	}
}

// injectFaults injects random faults for the configured time, and waits until all
// have ended.
func (h *harness) injectFaults() {
	kinds := plannedMaintenance
	allKinds := slices.Concat(unplannedFaults, plannedMaintenance)
	if h.childCount() > 0 {
		allKinds = append(allKinds, childFaults...)
	}
	if h.faultRandom.Float64() >= plannedOnlyShare {
		kinds = allKinds
	}
	if h.options.FaultPattern != nil {
		kinds = slices.DeleteFunc(allKinds, func(kind faultKind) bool { return !h.options.FaultPattern.MatchString(kind.name) })
	}
	totalWeight := 0
	for _, kind := range kinds {
		totalWeight += kind.weight
	}
	startTime := time.Now()
	lastEnd := startTime
	minDuration, maxPause := share(minDurationShare, h.options.MaxFault), share(maxPauseShare, h.options.MaxFault)
	for totalWeight > 0 && time.Since(startTime) < h.options.FaultDuration {
		kind := chooseWeighted(kinds, h.faultRandom.IntN(totalWeight))
		duration := minDuration + time.Duration(h.faultRandom.Int64N(int64(h.options.MaxFault-minDuration)))
		h.logFault(fmt.Sprintf("%s, %s", kind.name, duration))
		target, end := kind.inject(h, duration)
		if until := time.Now().Add(duration); until.After(lastEnd) {
			lastEnd = until
		}
		if target != "" {
			h.checker.markDisturbed(target, time.Now().Add(duration))
			h.checker.markDisturbed(anyTarget, time.Now().Add(duration))
		}
		if end != nil {
			time.AfterFunc(duration, end)
		}
		time.Sleep(time.Duration(h.faultRandom.Int64N(int64(maxPause))))
	}
	time.Sleep(time.Until(lastEnd))
}

// share returns a share of a duration.
func share(fraction float64, of time.Duration) time.Duration {
	return time.Duration(fraction * float64(of))
}

// chooseWeighted returns the kind of fault for a number drawn below the total
// weight.
func chooseWeighted(kinds []faultKind, draw int) faultKind {
	for _, kind := range kinds {
		if draw -= kind.weight; draw < 0 {
			return kind
		}
	}
	return kinds[0]
}
