// Package waiter passes the replies of the dispatcher's core to the callers
// that wait for them. A caller's ticket gets at most one reply, and a reply
// never reaches the wrong ticket.
package waiter

import (
	"sync"

	"agatevalve/dispatcher"
)

// Registry holds the tickets that wait for a reply. It is safe for concurrent
// use.
type Registry struct {
	mu sync.Mutex
	// lastTicket is the last ticket issued; a ticket is never reused.
	lastTicket dispatcher.Ticket
	// replies holds a channel with capacity 1 for each ticket without a reply.
	replies map[dispatcher.Ticket]chan dispatcher.Reply
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{replies: make(map[dispatcher.Ticket]chan dispatcher.Reply)}
}

// Open issues a ticket and returns it with the channel for its reply. The
// caller must Close the ticket.
func (r *Registry) Open() (dispatcher.Ticket, <-chan dispatcher.Reply) {
	replies := make(chan dispatcher.Reply, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTicket++
	r.replies[r.lastTicket] = replies
	return r.lastTicket, replies
}

// Close removes a ticket. A later reply to it is dropped.
func (r *Registry) Close(ticket dispatcher.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.replies, ticket)
}

// Deliver sends a reply to its ticket without blocking. It reports false if the
// ticket was closed or has had its reply.
func (r *Registry) Deliver(reply dispatcher.Reply) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	replies, ok := r.replies[reply.Ticket]
	if !ok {
		return false
	}
	delete(r.replies, reply.Ticket)
	replies <- reply
	return true
}

// Len returns the number of tickets without a reply.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.replies)
}
