package waiter_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"agatevalve/dispatcher"
	"agatevalve/waiter"
)

func TestEachTicketGetsItsOwnReplyOnce(t *testing.T) {
	is := is.New(t)
	r := waiter.New()
	const callers = 100
	var group sync.WaitGroup
	opened := make(chan dispatcher.Ticket, callers)
	for range callers {
		group.Go(func() {
			ticket, replies := r.Open()
			defer r.Close(ticket)
			opened <- ticket
			if reply := <-replies; reply.Ticket != ticket {
				t.Errorf("ticket %d got the reply of %d", ticket, reply.Ticket)
			}
		})
	}
	seen := make(map[dispatcher.Ticket]bool)
	for range callers {
		ticket := <-opened
		is.True(!seen[ticket])
		seen[ticket] = true
		is.True(r.Deliver(dispatcher.Reply{Ticket: ticket}))
		is.True(!r.Deliver(dispatcher.Reply{Ticket: ticket}))
	}
	group.Wait()
	is.Equal(r.Len(), 0)
}

func TestClosedTicketGetsNoReply(t *testing.T) {
	is := is.New(t)
	r := waiter.New()
	ticket, replies := r.Open()
	r.Close(ticket)
	is.True(!r.Deliver(dispatcher.Reply{Ticket: ticket}))
	is.Equal(len(replies), 0)
}
