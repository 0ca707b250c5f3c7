package greeter

import (
	"slices"
	"strings"
	"sync"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// directory keeps the last announcement of each agent, for operators.
type directory struct {
	mu sync.Mutex
	// latest holds at most one row per run of an agent.
	latest map[task.Process]dispatcher.Announcement
	// swept is when expired rows were last removed.
	swept time.Time
}

// sweepEvery is the pause between two removals of expired rows.
const sweepEvery = 10 * time.Second

func (d *directory) keep(a dispatcher.Announcement, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.latest == nil {
		d.latest = make(map[task.Process]dispatcher.Announcement)
	}
	d.latest[a.Peer.Process] = a
	if now.Sub(d.swept) < sweepEvery {
		return
	}
	d.swept = now
	for process, old := range d.latest {
		if !old.Expires.After(now) {
			delete(d.latest, process)
		}
	}
}

func (d *directory) live(now time.Time) []dispatcher.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	live := make([]dispatcher.Announcement, 0, len(d.latest))
	for _, a := range d.latest {
		if a.Expires.After(now) {
			live = append(live, a)
		}
	}
	slices.SortFunc(live, func(a, b dispatcher.Announcement) int {
		return strings.Compare(a.Peer.Process.Name, b.Peer.Process.Name)
	})
	return live
}
