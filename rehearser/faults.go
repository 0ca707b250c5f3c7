package rehearser

import (
	"cmp"
	"time"

	"agatevalve/common/work"
)

// injectFault starts a fault and schedules its end.
func (w *world) injectFault(f Fault) {
	e := w.entries[f.Entry%len(w.entries)]
	a := w.agents[f.Minion%len(w.agents)]
	switch f.Kind {
	case KillEntry:
		w.killEntry(e)
	case KillAgent:
		w.killAgent(a)
	case FreezeEntry:
		e.freeze(f.For)
		w.after(silenceTimeout, func() { w.closeLinks(func(k *link) bool { return k.entry == e && w.now.Before(e.frozenUntil) }) })
	case FreezeAgent:
		a.freeze(f.For)
		w.after(silenceTimeout, func() { w.closeLinks(func(k *link) bool { return k.agent == a && w.now.Before(a.frozenUntil) }) })
	case CutLink:
		w.partitionLink(e, a, f.For)
	case EvacuateZone:
		w.evacuateZone(f)
	default:
		w.injectMinionFault(f, a)
	}
}

// injectMinionFault starts a fault of a minion and schedules its end.
func (w *world) injectMinionFault(f Fault, a *agentNode) {
	switch f.Kind {
	case CrashMinion:
		a.crash(f.For)
	case SlowMinion:
		w.slowDown(a, 5, f.For)
	case StallMinion:
		w.slowDown(a, 0, f.For)
	case FailMinion:
		m := a.minion
		m.SetFailing(w.now, true)
		w.after(f.For, func() { m.SetFailing(w.now, false) })
	case DrainMinion:
		a.minion.Drain()
	case ShrinkMinion:
		m, full := a.minion, w.day.Room
		m.SetRoom(w.now, work.Room{CPU: full.CPU / 2, Memory: full.Memory / 2, Accelerators: full.Accelerators / 2})
		w.after(f.For, func() { m.SetRoom(w.now, full) })
	case CutMinion:
		a.unreachableUntil = w.now.Add(f.For)
	case RefuseMinion:
		a.refuseConnections(w.now.Add(f.For))
	case RestartMinion:
		a.restartMinion(f)
	case FreezeMinion:
		a.freezeMinion(f.For)
	case DepartMinion:
		a.departMinion(f.For)
	}
}

// slowDown multiplies the duration of a minion's runs for a time; a slowdown of
// 0 suspends them.
func (w *world) slowDown(a *agentNode, slowdown float64, duration time.Duration) {
	m := a.minion
	m.SetSlowdown(w.now, slowdown)
	a.scheduleNextEnd()
	w.after(duration, func() {
		m.SetSlowdown(w.now, 1)
		if a.minion == m {
			a.scheduleNextEnd()
		}
	})
}

// killEntry kills an entry process, which restarts after restartDelay. Its
// callers lose their connections.
func (w *world) killEntry(e *entryNode) {
	if e.down {
		return
	}
	e.down = true
	w.closeLinksGone(func(k *link) bool { return k.entry == e })
	for _, c := range w.sortedCallers() {
		if c.entry == e && !c.finished {
			c.connectionLost()
		}
	}
	w.after(restartDelay, e.startProcess)
}

// killAgent kills an agent process, which restarts after restartDelay or the
// delay of the day.
func (w *world) killAgent(a *agentNode) {
	if a.down {
		return
	}
	a.down = true
	w.closeLinks(func(k *link) bool { return k.agent == a })
	w.after(cmp.Or(w.day.AgentRestartDelay, restartDelay), a.startProcess)
}

// partitionLink loses all frames between two processes for a time.
func (w *world) partitionLink(e *entryNode, a *agentNode, duration time.Duration) {
	p := partition{entry: e, agent: a, until: w.now.Add(duration)}
	w.verifier.partitions = append(w.verifier.partitions, p)
	for _, k := range e.links {
		if k.agent != a {
			continue
		}
		k.partitioned = true
		w.after(silenceTimeout, func() { k.close(false) })
	}
}

// partition is a network partition between two processes.
type partition struct {
	entry *entryNode
	agent *agentNode
	until time.Time
}

func (w *world) isPartitioned(e *entryNode, a *agentNode) bool {
	for _, p := range w.verifier.partitions {
		if p.entry == e && p.agent == a && w.now.Before(p.until) {
			return true
		}
	}
	return false
}

// closeLinks closes the matching links of processes that may be alive.
// closeLinksGone closes those to entries that no longer listen; see
// supervisor.LinkClosed.
func (w *world) closeLinks(matches func(*link) bool)     { w.closeMatching(matches, false) }
func (w *world) closeLinksGone(matches func(*link) bool) { w.closeMatching(matches, true) }

func (w *world) closeMatching(matches func(*link) bool, gone bool) {
	for _, a := range w.agents {
		for _, e := range w.entries {
			for _, k := range a.links {
				if k.entry == e && matches(k) {
					k.close(gone)
				}
			}
		}
	}
}
