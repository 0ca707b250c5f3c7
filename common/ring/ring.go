// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded FIFO queue, safe for concurrent use.
type Ring[T any] struct {
	mu sync.Mutex
	// items grows by doubling up to size, so that an idle ring takes little
	// memory.
	items []T
	size  int
	// head is the index of the oldest item, and count the number of items.
	head, count int
	closed      bool
	// ready holds at most one token, present when count > 0 or closed.
	ready chan struct{}
	// space holds at most one token, added when items are taken or the ring is
	// closed.
	space chan struct{}
}

// initialCapacity is the capacity of items in a new ring.
const initialCapacity = 8

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{
		items: make([]T, min(size, initialCapacity)),
		size:  size,
		ready: make(chan struct{}, 1),
		space: make(chan struct{}, 1),
	}
}

// Offer adds an item. It returns false if the ring is full or closed.
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

// grow ensures that items has space for one more item.
func (r *Ring[T]) grow() {
	if r.count < len(r.items) {
		return
	}
	items := make([]T, min(2*len(r.items), r.size))
	n := copy(items, r.items[r.head:])
	copy(items[n:], r.items[:r.head])
	r.items, r.head = items, 0
}

// Put adds an item, and waits while the ring is full. It returns false if ctx
// ends first or the ring is closed.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	for {
		if r.Offer(item) {
			r.wakeNextPut()
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

// Ready returns a channel that receives a token when the ring has items or is
// closed. Taking only some of the items adds a new token.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// TakeAll removes all items and appends them to buf without blocking. It
// returns false if the ring is closed and empty.
func (r *Ring[T]) TakeAll(buf []T) ([]T, bool) { return r.TakeUpTo(buf, r.size) }

// TakeUpTo removes at most limit items and appends them to buf without
// blocking. It returns false if the ring is closed and empty.
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
	} else {
		// The token of an item that was added after the taker had received one.
		unsignal(r.ready)
	}
	signal(r.space)
	return buf, true
}

// Close makes the ring refuse new items. Items in it can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	signal(r.ready)
	signal(r.space)
}

// Len returns the number of items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// isClosed reports whether the ring is closed, and then wakes the next waiting
// Put.
func (r *Ring[T]) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		signal(r.space)
	}
	return r.closed
}

// wakeNextPut wakes another waiting Put if one take freed space for several
// items.
func (r *Ring[T]) wakeNextPut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count < r.size {
		signal(r.space)
	}
}

// unsignal removes the token of a channel if it holds one.
func unsignal(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// signal adds a token to a channel unless it holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
