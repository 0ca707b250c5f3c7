package entry_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP proxy that can stop forwarding without closing connections,
// like a network that drops all packets.
type relay struct {
	listener net.Listener
	target   string
	// mu guards dropNew, relayed and conns.
	mu sync.Mutex
	// dropNew makes new connections drop their data too.
	dropNew bool
	relayed []*relayedConn
	conns   []net.Conn
	copies  sync.WaitGroup
}

// relayedConn is one connection through a relay. It discards all data while
// dropping is true.
type relayedConn struct{ dropping atomic.Bool }

// newRelay starts a relay to the target.
func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	r.copies.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// blackholeOpen discards all data on the open connections, and returns their
// number. New connections work.
func (r *relay) blackholeOpen() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.relayed {
		p.dropping.Store(true)
	}
	return len(r.relayed)
}

// blackholeAll discards all data on the open and all later connections, and
// returns the number of the open ones.
func (r *relay) blackholeAll() int {
	r.mu.Lock()
	r.dropNew = true
	r.mu.Unlock()
	return r.blackholeOpen()
}

// accept relays connections until the listener is closed.
func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &relayedConn{}
		r.mu.Lock()
		p.dropping.Store(r.dropNew)
		r.relayed = append(r.relayed, p)
		r.conns = append(r.conns, near, far)
		r.mu.Unlock()
		r.copies.Go(func() { p.copy(far, near) })
		r.copies.Go(func() { p.copy(near, far) })
	}
}

// copy forwards one direction. A connection that drops its data is not closed
// either.
func (p *relayedConn) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !p.dropping.Load() {
				_ = to.Close()
			}
			return
		}
		if p.dropping.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.copies.Wait()
}
