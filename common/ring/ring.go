// Package ring provides the bounded queue that joins two duties of a process.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue, safe for concurrent use.
type Ring[T any] struct {
	mu sync.Mutex
	// items grows by doubling up to size, so that an idle ring holds little.
	items []T
	size  int
	// head and count describe the live part of items; count <= len(items).
	head, count int
	closed      bool
	// ready holds at most one token, present when count > 0 or closed.
	ready chan struct{}
	// space holds at most one token, offered after a take.
	space chan struct{}
}

// firstItems is the room of a ring that has held little so far.
const firstItems = 8

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{
		items: make([]T, min(size, firstItems)),
		size:  size,
		ready: make(chan struct{}, 1),
		space: make(chan struct{}, 1),
	}
}

// Offer adds an item and reports false when the ring is full or closed.
func (r *Ring[T]) Offer(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.count == r.size {
		return false
	}
	r.grow()
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	signal(r.ready)
	return true
}

// grow makes room for one more item.
func (r *Ring[T]) grow() {
	if r.count < len(r.items) {
		return
	}
	items := make([]T, min(2*len(r.items), r.size))
	n := copy(items, r.items[r.head:])
	copy(items[n:], r.items[:r.head])
	r.items, r.head = items, 0
}

// Put adds an item, waiting for space. It reports false when ctx ends first
// or the ring is closed.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	for {
		if r.Offer(item) {
			r.passSpace()
			return true
		}
		if r.isClosed() {
			return false
		}
		select {
		case <-r.space:
		case <-ctx.Done():
			return false
		}
	}
}

// Ready returns a channel that yields a token when TakeAll may return items.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// TakeAll appends all waiting items to buf without blocking. It reports false
// when the ring is closed and empty.
func (r *Ring[T]) TakeAll(buf []T) ([]T, bool) { return r.TakeUpTo(buf, r.size) }

// TakeUpTo appends at most limit items to buf without blocking. It reports
// false when the ring is closed and empty.
func (r *Ring[T]) TakeUpTo(buf []T, limit int) ([]T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return buf, !r.closed
	}
	var zero T
	for range min(limit, r.count) {
		buf = append(buf, r.items[r.head])
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
		r.count--
	}
	if r.count > 0 || r.closed {
		signal(r.ready)
	}
	signal(r.space)
	return buf, true
}

// Close lets takers drain the ring and refuses new items.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	signal(r.ready)
	signal(r.space)
}

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

func (r *Ring[T]) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		signal(r.space)
	}
	return r.closed
}

// passSpace wakes a second waiter when one take freed several places.
func (r *Ring[T]) passSpace() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count < r.size {
		signal(r.space)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
