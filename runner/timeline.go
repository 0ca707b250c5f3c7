package runner

import (
	"container/heap"
	"time"
)

// timeline holds keys by time, the earliest first. Its zero value is empty.
type timeline[K any] struct{ items moments[K] }

type moment[K any] struct {
	at  time.Time
	key K
}

func (t *timeline[K]) push(at time.Time, key K) {
	heap.Push(&t.items, moment[K]{at, key})
}

// next returns the earliest time, or zero when the timeline is empty.
func (t *timeline[K]) next() time.Time {
	if len(t.items) == 0 {
		return time.Time{}
	}
	return t.items[0].at
}

// due removes and returns the keys whose time is not after now.
func (t *timeline[K]) due(now time.Time) []K {
	var keys []K
	for len(t.items) > 0 && !t.items[0].at.After(now) {
		keys = append(keys, heap.Pop(&t.items).(moment[K]).key)
	}
	return keys
}

// moments is a min-heap by time.
type moments[K any] []moment[K]

func (m moments[K]) Len() int           { return len(m) }
func (m moments[K]) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m moments[K]) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }

// Push implements heap.Interface.
func (m *moments[K]) Push(x any) { *m = append(*m, x.(moment[K])) }

// Pop implements heap.Interface.
func (m *moments[K]) Pop() any {
	last := len(*m) - 1
	item := (*m)[last]
	var zero moment[K]
	(*m)[last] = zero
	*m = (*m)[:last]
	return item
}
