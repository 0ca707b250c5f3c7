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
	// waitTimeout limits each wait for an expected event.
	waitTimeout = 20 * time.Second
	// pollInterval is the interval at which waitUntil checks its condition.
	pollInterval = time.Millisecond
	// readHeaderTimeout limits the time to read the header of a request.
	readHeaderTimeout = 5 * time.Second
	loopbackAddress   = "127.0.0.1:0"
)

// traffic counts bytes of TCP payload, in both directions.
type traffic struct {
	bytes atomic.Int64
}

// meteredConn counts the bytes that are read and written.
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

// server is an HTTP server that counts the bytes of its connections.
type server struct {
	traffic traffic
	address netip.AddrPort
	http    *http.Server
	done    chan struct{}
}

// startServer serves a handler on a free port of the loopback interface.
func startServer(ctx context.Context, handler http.Handler) (*server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", loopbackAddress)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free a port of the loopback interface", "the survey can't listen")
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &server{
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		http:    &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout},
		done:    make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(&meteredListener{Listener: listener, traffic: &s.traffic}) // It returns when close closes the server.
	}()
	return s, nil
}

func (s *server) close() {
	_ = s.http.Close() // Its connections may be cut.
	<-s.done
}

// relay is a TCP proxy in front of target that counts the bytes in both
// directions.
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

// newRelay listens on a free port of the loopback interface.
func newRelay(ctx context.Context, target netip.AddrPort) (*relay, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", loopbackAddress)
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
			r.connect(ctx, conn)
		}
	})
	return r, nil
}

// connect dials the target for an accepted connection, and forwards both
// directions.
func (r *relay) connect(ctx context.Context, in net.Conn) {
	var dialer net.Dialer
	out, err := dialer.DialContext(ctx, "tcp", r.target.String())
	if err != nil {
		_ = in.Close() // The client sees the connection close.
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, in, out)
	r.mu.Unlock()
	r.group.Go(func() { r.forward(out, in) })
	r.group.Go(func() { r.forward(in, out) })
}

// forward copies one direction of a connection and counts its bytes.
func (r *relay) forward(to, from net.Conn) {
	defer func() { _ = to.Close() }() // This ends the other direction too.
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
	_ = r.listener.Close() // This ends the accepting goroutine.
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close() // This ends the forwarding goroutines.
	}
	r.mu.Unlock()
	r.group.Wait()
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("surveyor: getrusage: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureProcessorTime returns the processor time that the process uses during f
// in microseconds.
func measureProcessorTime(f func() error) (float64, error) {
	before := processorTime()
	err := f()
	return float64(processorTime()-before) / float64(time.Microsecond), err
}

// memoryInUse returns the size of the live heap and the stacks in bytes.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // The first cycle may keep objects that have finalizers.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// measureMemory returns the bytes of memory that the result of build retains.
func measureMemory[T any](build func() (T, error)) (float64, error) {
	before := memoryInUse()
	kept, err := build()
	if err != nil {
		return 0, err
	}
	after := memoryInUse()
	runtime.KeepAlive(kept)
	return after - before, nil
}

// waitUntil polls condition until it returns true, for at most waitTimeout.
func waitUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), errWaitTimeout())
		case <-ticker.C:
		}
	}
	return nil
}

func errWaitTimeout() error {
	return fault.New(fault.Expired, "run it on an idle machine", "the survey waited in vain")
}
