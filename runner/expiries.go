package runner

import (
	"time"

	"agatevalve/common/heap"
)

// expiryQueue is a priority queue of keys, ordered by the time at which they
// expire.
type expiryQueue[K any] struct{ items *heap.Heap[expiryItem[K]] }

type expiryItem[K any] struct {
	at  time.Time
	key K
}

func newExpiryQueue[K any]() expiryQueue[K] {
	return expiryQueue[K]{heap.New(func(a, b expiryItem[K]) bool { return a.at.Before(b.at) })}
}

func (q expiryQueue[K]) push(at time.Time, key K) { q.items.Push(expiryItem[K]{at, key}) }

// next returns the earliest time, or zero when the queue is empty.
func (q expiryQueue[K]) next() time.Time {
	if q.items.Len() == 0 {
		return time.Time{}
	}
	return q.items.Top().at
}

// due removes and returns the keys whose expiry time is not after now.
func (q expiryQueue[K]) due(now time.Time) []K {
	var keys []K
	for q.items.Len() > 0 && !q.items.Top().at.After(now) {
		keys = append(keys, q.items.Pop().key)
	}
	return keys
}
