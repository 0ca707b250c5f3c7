// Package waiter joins waiting callers to the replies of the core. Each ticket
// gets at most one reply, and a reply never reaches another ticket.
package waiter

import (
	"sync"

	"agatevalve/dispatcher"
)

// Registry holds the tickets that wait for a reply. It is safe for concurrent
// use.
type Registry struct {
	mu sync.Mutex
	// last is the newest ticket; tickets are never used twice.
	last dispatcher.Ticket
	// waiting holds one channel with room for one reply per open ticket.
	waiting map[dispatcher.Ticket]chan dispatcher.Reply
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{waiting: make(map[dispatcher.Ticket]chan dispatcher.Reply)}
}

// Open returns a new ticket and the channel that receives its only reply. The
// caller must Close the ticket.
func (r *Registry) Open() (dispatcher.Ticket, <-chan dispatcher.Reply) {
	reply := make(chan dispatcher.Reply, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	r.waiting[r.last] = reply
	return r.last, reply
}

// Close forgets a ticket; a later reply to it is dropped.
func (r *Registry) Close(ticket dispatcher.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, ticket)
}

// Deliver hands a reply to its ticket without blocking. It reports false when
// nobody waits for it, because the caller left or has had its reply.
func (r *Registry) Deliver(reply dispatcher.Reply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting, ok := r.waiting[reply.Ticket]
	if !ok {
		return false
	}
	delete(r.waiting, reply.Ticket)
	waiting <- reply
	return true
}

// Len returns the number of tickets without a reply.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting)
}
