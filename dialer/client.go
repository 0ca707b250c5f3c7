// Package dialer makes the HTTP/2 clients that agatevalve's own processes use
// towards each other. A client owns a single connection and never dials a
// second one, so that nothing is resent behind the back of its user, and a
// silent connection is never reused.
package dialer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agatevalve/common/fault"
)

const (
	// DefaultConnectWithin bounds the set-up of a connection.
	DefaultConnectWithin = 500 * time.Millisecond
	// DefaultPingAfter is how long a connection may stay silent before the
	// transport probes it.
	DefaultPingAfter = 500 * time.Millisecond
	// DefaultPongWithin bounds the wait for the answer to a probe.
	DefaultPongWithin = 500 * time.Millisecond
)

// Options bound the silence of one connection. Zero fields take the defaults.
type Options struct {
	ConnectWithin time.Duration
	PingAfter     time.Duration
	PongWithin    time.Duration
}

// Client is an HTTP client with one connection, for one or more calls.
type Client struct {
	*http.Client

	mu sync.Mutex
	// dialed is set by the first dial; every later one fails.
	dialed bool
	// conn is nil until connected.
	conn   net.Conn
	closed bool
	dialer net.Dialer
	// received counts the bytes that the connection brought.
	received atomic.Uint64
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn

	received *atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// New returns a client that connects at its first call.
func New(o Options) *Client {
	o = o.withDefaults()
	c := &Client{dialer: net.Dialer{Timeout: o.ConnectWithin}}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	c.Client = &http.Client{
		Transport: &http.Transport{
			DialContext: c.dial,
			Protocols:   protocols,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout:  o.PingAfter,
				PingTimeout:      o.PongWithin,
				WriteByteTimeout: o.PongWithin + o.PingAfter,
			},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Received returns how many bytes the connection has brought.
func (c *Client) Received() uint64 { return c.received.Load() }

// Close cuts the connection and all calls on it. It may be called twice.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close() // The peer sees the reset either way.
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := c.reserve(); err != nil {
		return nil, err
	}
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "check that the process at "+address+" runs and is reachable", "connect to %s", address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close() // Nothing was sent over it.
		return nil, errClosed()
	}
	c.conn = conn
	return &countingConn{Conn: conn, received: &c.received}, nil
}

func (c *Client) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClosed()
	}
	if c.dialed {
		return fault.New(fault.Unavailable, "make a new client and ask about the outstanding work", "the connection is gone")
	}
	c.dialed = true
	return nil
}

func errClosed() error {
	return fault.New(fault.Unavailable, "make a new client", "the client is closed")
}

func (o Options) withDefaults() Options {
	if o.ConnectWithin == 0 {
		o.ConnectWithin = DefaultConnectWithin
	}
	if o.PingAfter == 0 {
		o.PingAfter = DefaultPingAfter
	}
	if o.PongWithin == 0 {
		o.PongWithin = DefaultPongWithin
	}
	return o
}
