package entry_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay passes connections on to a target, until told to swallow what the
// present ones carry.
type relay struct {
	listener net.Listener
	target   string
	// mu guards muted, passages and conns.
	mu sync.Mutex
	// muted makes new connections silent too.
	muted    bool
	passages []*passage
	conns    []net.Conn
	copies   sync.WaitGroup
}

// passage is one connection through a relay.
type passage struct{ silent atomic.Bool }

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

// silence swallows all that the present connections carry, and returns their
// number. New ones work.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.passages {
		p.silent.Store(true)
	}
	return len(r.passages)
}

// mute swallows all that present and later connections carry, and returns the
// number of the present ones.
func (r *relay) mute() int {
	r.mu.Lock()
	r.muted = true
	r.mu.Unlock()
	return r.silence()
}

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
		p := &passage{}
		r.mu.Lock()
		p.silent.Store(r.muted)
		r.passages = append(r.passages, p)
		r.conns = append(r.conns, near, far)
		r.mu.Unlock()
		r.copies.Go(func() { p.copy(far, near) })
		r.copies.Go(func() { p.copy(near, far) })
	}
}

func (p *passage) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !p.silent.Load() {
				_ = to.Close()
			}
			return
		}
		if p.silent.Load() {
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
