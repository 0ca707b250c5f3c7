package soaker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// chunk is how many bytes a proxy passes on at once.
const chunk = 32 << 10

// proxy passes TCP connections on to one address, and spoils them on demand.
type proxy struct {
	target   netip.AddrPort
	listener net.Listener
	// delay is added to each chunk in each direction.
	delay atomic.Int64
	// blocked holds back both directions, as a partition does.
	blocked atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is one connection through a proxy.
type pair struct {
	near, far net.Conn
	// muteNear and muteFar lose what comes from the one who connected, and from
	// the target, for good.
	muteNear, muteFar atomic.Bool
}

func newProxy(at, target netip.AddrPort) (*proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, pairs: make(map[*pair]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(near)
	}
}

func (p *proxy) join(near net.Conn) {
	for p.blocked.Load() {
		time.Sleep(blockedStep)
	}
	dialer := net.Dialer{Timeout: time.Second}
	far, err := dialer.DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		abort(near) // As a port without a listener does.
		return
	}
	k := &pair{near: near, far: far}
	p.mu.Lock()
	p.pairs[k] = true
	p.mu.Unlock()
	go p.pass(k, far, near, &k.muteNear)
	p.pass(k, near, far, &k.muteFar)
}

// pass copies one direction until either end closes.
func (p *proxy) pass(k *pair, to, from net.Conn, mute *atomic.Bool) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if delay := p.delay.Load(); delay > 0 {
			time.Sleep(time.Duration(delay))
		}
		for p.blocked.Load() {
			time.Sleep(blockedStep)
		}
		if n > 0 && !mute.Load() {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.pairs, k)
	p.mu.Unlock()
	_ = k.near.Close() // Both ends may have closed before.
	_ = k.far.Close()
}

// each spoils the connections that are open now.
func (p *proxy) each(spoil func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.pairs {
		spoil(k)
	}
}

// reset breaks all connections off.
func (p *proxy) reset() {
	p.each(func(k *pair) {
		abort(k.near)
		abort(k.far)
	})
}

// silence loses all that comes back over the open connections, and all that goes
// out where both directions are meant; new ones work.
func (p *proxy) silence(both bool) {
	p.each(func(k *pair) {
		k.muteFar.Store(true)
		k.muteNear.Store(both)
	})
}

func (p *proxy) close() {
	_ = p.listener.Close() // Nothing connects any more.
	p.blocked.Store(false)
	p.reset()
}

// abort closes a connection by a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Only for the reset.
	}
	_ = c.Close()
}
