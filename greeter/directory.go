package greeter

import (
	"slices"
	"strings"
	"sync"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// agentDirectory stores the latest announcement of each agent, for operators.
type agentDirectory struct {
	mu sync.Mutex
	// latest holds one announcement for each incarnation of an agent.
	latest map[task.Process]dispatcher.Announcement
	// lastSweep is the time of the last removal of expired announcements.
	lastSweep time.Time
}

// sweepInterval is the minimum time between two removals of expired
// announcements.
const sweepInterval = 10 * time.Second

// store replaces the announcement of the same incarnation.
func (d *agentDirectory) store(a dispatcher.Announcement, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latest == nil {
		d.latest = make(map[task.Process]dispatcher.Announcement)
	}
	d.latest[a.Peer.Process] = a
	if now.Sub(d.lastSweep) < sweepInterval {
		return
	}
	d.lastSweep = now
	for process, old := range d.latest {
		if !old.Expires.After(now) {
			delete(d.latest, process)
		}
	}
}

// unexpired returns the announcements that haven't expired, sorted by the names
// of the agents.
func (d *agentDirectory) unexpired(now time.Time) []dispatcher.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	agents := make([]dispatcher.Announcement, 0, len(d.latest))
	for _, a := range d.latest {
		if a.Expires.After(now) {
			agents = append(agents, a)
		}
	}
	slices.SortFunc(agents, func(a, b dispatcher.Announcement) int {
		return strings.Compare(a.Peer.Process.Name, b.Peer.Process.Name)
	})
	return agents
}
