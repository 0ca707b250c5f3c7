package rehearser

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

const (
	// evacuationGrace is the time from the decision to evacuate a zone until nothing
	// is started there any more. It is a third of what operators allow.
	evacuationGrace = 5 * time.Second / 3
	// storeDelay is the time in which an entry reads a decision from the store.
	storeDelay = 5 * time.Millisecond
	// coldSlowdown multiplies the duration of the runs of a cold minion.
	coldSlowdown = 3
)

// zoneStore is the operators' decision on evacuated zones.
type zoneStore struct {
	decision work.Zones
	// holds counts the faults that keep a zone evacuated, and decidedAt is the time
	// of the first of them.
	holds     map[string]int
	decidedAt map[string]time.Time
}

// zoneOf returns the zone of a minion; the minions take them in turn.
func (w *world) zoneOf(minion int) string {
	if w.day.Zones == 0 {
		return ""
	}
	return fmt.Sprintf("zone-%d", minion%w.day.Zones)
}

// evacuateZone evacuates the zone of a minion for a time. If the decision reaches
// one entry only, the others are cut off from the store a little longer.
func (w *world) evacuateZone(f Fault) {
	if w.day.Zones == 0 {
		return
	}
	zone := w.zoneOf(f.Minion)
	for _, e := range w.entries {
		if f.OneEntry && e.index != f.Entry%len(w.entries) {
			e.storeCutUntil = laterOf(e.storeCutUntil, w.now.Add(f.For+time.Second))
			w.after(f.For+time.Second, e.readZones)
		}
	}
	if w.zones.holds[zone]++; w.zones.holds[zone] == 1 {
		w.zones.decidedAt[zone] = w.now
		w.decideZones()
		w.watchTouch(zone)
	}
	w.after(f.For, func() {
		if w.zones.holds[zone]--; w.zones.holds[zone] > 0 {
			return
		}
		delete(w.zones.holds, zone)
		delete(w.zones.decidedAt, zone)
		w.coolDown(zone, f.Cold)
		w.decideZones()
	})
}

// decideZones writes the decision to the store, from which entries read it.
func (w *world) decideZones() {
	w.zones.decision = work.Zones{Version: w.zones.decision.Version + 1, Evacuated: slices.Sorted(maps.Keys(w.zones.holds))}
	for _, e := range w.entries {
		e.readZones()
	}
}

// coolDown makes the minions of a zone slow for a time, as they say in their
// status reports.
func (w *world) coolDown(zone string, duration time.Duration) {
	for _, a := range w.agents {
		if duration > 0 && w.zoneOf(a.index) == zone {
			a.minion.SetColdUntil(w.now.Add(duration))
			w.slowDown(a, coldSlowdown, duration)
			a.sendStatus()
		}
	}
}

// readZones delivers the decision to the entry, if it is in touch with the store.
func (e *entryNode) readZones() {
	incarnation := e.incarnation
	e.world.after(storeDelay, func() {
		if e.incarnation == incarnation && !e.world.now.Before(e.storeCutUntil) && e.world.zones.decision.Version > 0 {
			e.deliver(scheduler.ZonesChanged{Zones: e.world.zones.decision})
		}
	})
}

// watchTouch notes, while a zone is evacuated, which of its agents no entry that
// reads the store can reach, over links of other processes either.
func (w *world) watchTouch(zone string) {
	if w.zones.holds[zone] == 0 {
		return
	}
	for _, a := range w.agents {
		if w.zoneOf(a.index) == zone && !w.inTouch(a) {
			a.outOfTouchAt = w.now
		}
	}
	w.after(stepInterval, func() { w.watchTouch(zone) })
}

func (w *world) inTouch(a *agentNode) bool {
	reached := make(map[*entryNode]bool)
	for _, e := range w.entries {
		reached[e] = e.runs() && !w.now.Before(e.storeCutUntil)
	}
	for range w.entries { // Each pass reaches entries one agent further.
		for _, via := range w.agents {
			if via.runs() && via.hasLinkTo(reached) {
				for _, k := range via.links {
					reached[k.entry] = reached[k.entry] || !k.partitioned && k.entry.runs()
				}
			}
		}
	}
	return a.runs() && a.hasLinkTo(reached)
}

// hasLinkTo reports whether the agent has a sound link to one of the entries.
func (a *agentNode) hasLinkTo(entries map[*entryNode]bool) bool {
	for _, k := range a.links {
		if !k.partitioned && entries[k.entry] {
			return true
		}
	}
	return false
}

// checkZone checks that no agent in touch starts a run in an evacuated zone. Orders
// that the minion executes late don't count.
func (v *verifier) checkZone(a *agentNode, run work.Run) {
	w := v.world
	decidedAt, evacuated := w.zones.decidedAt[w.zoneOf(a.index)]
	if evacuated && !a.executesLate && w.now.Sub(laterOf(decidedAt, a.outOfTouchAt)) > evacuationGrace {
		v.violation("zone: %s started in %s, %s after it was evacuated", run, w.zoneOf(a.index), w.now.Sub(decidedAt))
	}
}

// Window is a period of a day; both ends are counted from the start of the day.
type Window struct{ From, To time.Duration }

// Served is what the callers got who arrived in a window and stayed.
type Served struct {
	Jobs, OnTime, Refused int
	// Work is the work of these jobs at minions of speed 1, in core seconds, and
	// OnTimeWork that of the jobs that were answered on time.
	Work, OnTimeWork float64
}

// countServed adds a job to the windows in which its caller arrived.
func (v *verifier) countServed(c *caller, add func(s *Served, coreSeconds float64)) {
	coreSeconds := 0.0
	for _, p := range c.profiles {
		coreSeconds += float64(p.Room.CPU) / 1000 * p.Work.Seconds()
	}
	for i, window := range v.world.day.Windows {
		if at := c.arrivedAt.Sub(v.world.start); at >= window.From && at < window.To {
			add(&v.result.Windows[i], coreSeconds)
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
