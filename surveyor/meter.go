package surveyor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"agatevalve/common/fault"
)

const (
	// patience bounds the wait for what must happen.
	patience = 20 * time.Second
	// pollPause is the pause between two looks at what has happened.
	pollPause = time.Millisecond
	// headerWithin bounds the header of one call.
	headerWithin = 5 * time.Second
	loopback     = "127.0.0.1:0"
)

// traffic counts the bytes of connections, as a process hands them to TCP.
type traffic struct {
	bytes atomic.Int64
}

// meteredConn counts what is read and written.
type meteredConn struct {
	net.Conn

	traffic *traffic
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	return n, err
}

// meteredListener counts the bytes of the connections that it accepts.
type meteredListener struct {
	net.Listener

	traffic *traffic
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, traffic: l.traffic}, nil
}

// server serves a handler whose traffic is counted.
type server struct {
	traffic traffic
	address netip.AddrPort
	http    *http.Server
	done    chan struct{}
}

func serve(ctx context.Context, handler http.Handler) (*server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", loopback)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free a port of the loopback interface", "the survey can't listen")
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &server{
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		http:    &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: headerWithin},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(&meteredListener{Listener: listener, traffic: &s.traffic}) // It ends in close.
	}()
	return s, nil
}

func (s *server) close() {
	_ = s.http.Close() // Nothing waits for its connections.
	<-s.done
}

// relay passes connections on to an address and counts their bytes.
type relay struct {
	traffic  traffic
	address  netip.AddrPort
	target   netip.AddrPort
	listener net.Listener
	group    sync.WaitGroup

	mu sync.Mutex
	// conns holds the open connections of both sides.
	conns []net.Conn
}

func newRelay(ctx context.Context, target netip.AddrPort) (*relay, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", loopback)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free a port of the loopback interface", "the survey can't listen")
	}
	r := &relay{target: target, listener: listener, address: listener.Addr().(*net.TCPAddr).AddrPort()}
	r.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.join(ctx, conn)
		}
	})
	return r, nil
}

func (r *relay) join(ctx context.Context, in net.Conn) {
	var dialer net.Dialer
	out, err := dialer.DialContext(ctx, "tcp", r.target.String())
	if err != nil {
		_ = in.Close() // The caller sees that it is gone.
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, in, out)
	r.mu.Unlock()
	r.group.Go(func() { r.pass(out, in) })
	r.group.Go(func() { r.pass(in, out) })
}

func (r *relay) pass(to, from net.Conn) {
	defer func() { _ = to.Close() }() // The other direction ends with this one.
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		r.traffic.bytes.Add(int64(n))
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) close() {
	_ = r.listener.Close() // It ends the accepting goroutine.
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close() // It ends the passing goroutines.
	}
	r.mu.Unlock()
	r.group.Wait()
}

// processorTime returns the time that this process has used, in the kernel too.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("surveyor: getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// used returns the processor time of f in microseconds.
func used(f func() error) (float64, error) {
	before := processorTime()
	err := f()
	return float64(processorTime()-before) / float64(time.Microsecond), err
}

// memory returns the live heap and the stacks in bytes.
func memory() float64 {
	runtime.GC()
	runtime.GC() // The first may leave finalizers' objects.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// held returns the bytes that the result of build holds.
func held[T any](build func() (T, error)) (float64, error) {
	before := memory()
	kept, err := build()
	if err != nil {
		return 0, err
	}
	after := memory()
	runtime.KeepAlive(kept)
	return after - before, nil
}

// await waits until holds returns true.
func await(ctx context.Context, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	ticker := time.NewTicker(pollPause)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), errPatience())
		case <-ticker.C:
		}
	}
	return nil
}

func errPatience() error {
	return fault.New(fault.Expired, "run it on an idle machine", "the survey waited in vain")
}
