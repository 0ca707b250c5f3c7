package scheduler

import (
	"time"

	"agatevalve/common/work"
)

// ZonesChanged is a newer decision on evacuated zones, as read from the store or
// received from another entry.
type ZonesChanged struct{ Zones work.Zones }

// AnnounceZones sends an agent a newer decision on evacuated zones.
type AnnounceZones struct {
	Agent AgentID
	Link  uint64
	Zones work.Zones
}

func (AnnounceZones) command() {}

func (ZonesChanged) apply(*Core, time.Time) {}
