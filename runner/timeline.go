package runner

import (
	"time"

	"agatevalve/common/heap"
)

// timeline holds keys by time, the earliest first.
type timeline[K any] struct{ moments *heap.Heap[moment[K]] }

type moment[K any] struct {
	at  time.Time
	key K
}

func newTimeline[K any]() timeline[K] {
	return timeline[K]{heap.New(func(a, b moment[K]) bool { return a.at.Before(b.at) })}
}

func (t timeline[K]) push(at time.Time, key K) { t.moments.Push(moment[K]{at, key}) }

// next returns the earliest time, or zero when the timeline is empty.
func (t timeline[K]) next() time.Time {
	if t.moments.Len() == 0 {
		return time.Time{}
	}
	return t.moments.Top().at
}

// due removes and returns the keys whose time is not after now.
func (t timeline[K]) due(now time.Time) []K {
	var keys []K
	for t.moments.Len() > 0 && !t.moments.Top().at.After(now) {
		keys = append(keys, t.moments.Pop().key)
	}
	return keys
}
