package supervisor

import (
	"slices"
	"strings"
	"time"

	"agatevalve/common/work"
)

// adoptZones adopts a decision on evacuated zones if it is newer than the one in
// force, and tells the linked entries that may not know it.
func (c *Core) adoptZones(now time.Time, decision work.Zones) {
	if !decision.NewerThan(c.zones) {
		return
	}
	previous, wasEvacuated := c.zones, c.evacuated()
	decision.Evacuated = slices.Clone(decision.Evacuated)
	c.zones = decision
	if slices.Equal(decision.Evacuated, previous.Evacuated) && previous.Version > 0 {
		return // A newer read of the same; each entry has its own.
	}
	for _, e := range c.sortedEntries {
		if e.link != 0 && e.zonesVersion < decision.Version {
			e.zonesVersion = decision.Version
			c.emit(ReportZones{Entry: e.name, Zones: decision})
		}
	}
	switch {
	case c.evacuated() && !wasEvacuated:
		c.emit(LogMessage{Text: "The zone of the minion was evacuated", Reason: strings.Join(decision.Evacuated, ", "), Count: len(c.runs), Minion: c.minion.Minion})
	case wasEvacuated && !c.evacuated():
		c.beginSlowStart(now, c.minion.ColdUntil)
		c.emit(LogMessage{Text: "The zone of the minion was taken back", Minion: c.minion.Minion})
	}
}

// evacuated reports whether the minion's zone is evacuated. Nothing is started
// then; what runs may end.
func (c *Core) evacuated() bool { return c.minion.Name != "" && c.zones.Evacuates(c.minion.Zone) }

// refuseEvacuated gives the queued runs back to their entries while the minion's
// zone is evacuated.
func (c *Core) refuseEvacuated(now time.Time) {
	if c.evacuated() {
		c.refuseQueued(now, work.ReasonEvacuated)
	}
}
