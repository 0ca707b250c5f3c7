package work

import (
	"math"
	"time"
)

const (
	// maxAmount bounds each amount of capacity, so that sums don't overflow.
	maxAmount = 1 << 40
	// maxDuration bounds the durations that other processes and callers state.
	maxDuration = time.Hour
	// maxSlowness bounds the logarithm of a minion's slowness; it is a factor of
	// about 150.
	maxSlowness = 5
)

// Bounded returns the room with each amount between 0 and a maximum that no
// machine has.
func (r Room) Bounded() Room {
	return Room{CPU: boundedAmount(r.CPU), Memory: boundedAmount(r.Memory), Accelerators: boundedAmount(r.Accelerators)}
}

// Bounded returns the load with each value in a range for which estimates don't
// overflow. Values outside come from a malformed message.
func (l Load) Bounded() Load {
	l.Running, l.Queued, l.QueuedWork = l.Running.Bounded(), l.Queued.Bounded(), BoundedDuration(l.QueuedWork)
	if math.IsNaN(l.Slowness) {
		l.Slowness = 0
	}
	l.Slowness = math.Max(-maxSlowness, math.Min(maxSlowness, l.Slowness))
	return l
}

// BoundedDuration returns the duration, between 0 and an hour.
func BoundedDuration(d time.Duration) time.Duration { return min(max(d, 0), maxDuration) }

func boundedAmount(n int64) int64 { return min(max(n, 0), maxAmount) }
