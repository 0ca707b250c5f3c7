package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"agatevalve/common/work"
)

const (
	// evacuationBound is the time from the acknowledgement of an evacuation after
	// which nothing may start in the zone: a third of what the operators require.
	evacuationBound = 5 * time.Second / 3
	// maxEvacuationPause is the maximum pause before an evacuation, and
	// maxEvacuationExcess the maximum time by which it exceeds evacuationBound.
	maxEvacuationPause  = 1500 * time.Millisecond
	maxEvacuationExcess = 2 * time.Second
)

// zones are the zones of the agents, in turn.
var zones = []string{"a", "b", "c"}

// evacuateZones evacuates one zone after another until ctx is done, and takes the
// last one back.
func (h *harness) evacuateZones(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.options.Seed, 4))
	pause := func(limit time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(limit):
		}
	}
	for ctx.Err() == nil {
		pause(time.Duration(random.Int64N(int64(maxEvacuationPause))))
		zone := zones[random.IntN(min(len(zones), len(h.agents)))]
		duration := evacuationBound + time.Duration(random.Int64N(int64(maxEvacuationExcess)))
		h.logFault(fmt.Sprintf("evacuate zone %s, %s", zone, duration))
		h.store.Evacuate(zone)
		h.checker.setEvacuated(zone, time.Now())
		pause(duration)
		h.checker.setEvacuated(zone, time.Time{})
		h.store.Return(zone)
	}
}

// setEvacuated records that an evacuation was acknowledged, or with the zero time
// that the zone is taken back.
func (c *checker) setEvacuated(zone string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuatedAt[zone] = at
}

// checkZone checks that a run has not started in an evacuated zone. It can't if
// the decision has no way to the agent: the store, all entries or the agent itself
// were disturbed. The lock is held.
func (c *checker) checkZone(minion string, run work.Run, at time.Time) {
	for _, m := range c.minions {
		d := m.Describe()
		since := c.evacuatedAt[d.Zone]
		if d.Name != minion || since.IsZero() || at.Sub(since) <= evacuationBound {
			continue
		}
		var agent int
		_, _ = fmt.Sscanf(minion, minionNameFormat, &agent, new(int)) // The name has been made with this format.
		if !c.undisturbedSinceLocked(since, "store", fmt.Sprintf(agentNodeFormat, agent)) {
			return
		}
		for i := range c.entries {
			if c.undisturbedSinceLocked(since, fmt.Sprintf(entryNodeFormat, i)) {
				c.addViolationLocked("evacuated: %s started at %s, %s after the evacuation of its zone", run, minion, at.Sub(since))
				return
			}
		}
	}
}
