// Package dialer makes the HTTP/2 clients for calls between agatevalve's own
// processes. A client owns a single connection and never dials a second one, so
// that the transport can't resend a request by itself, and an unresponsive
// connection is never reused.
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
	// DefaultConnectTimeout bounds the set-up of a connection.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultPingAfter is the time without received data after which the
	// transport sends a ping.
	DefaultPingAfter = 500 * time.Millisecond
	// DefaultPongTimeout bounds the wait for the reply to a ping.
	DefaultPongTimeout = 500 * time.Millisecond
)

// Options are the timeouts of a client's connection. Zero fields stand for the
// defaults.
type Options struct {
	ConnectTimeout time.Duration
	PingAfter      time.Duration
	PongTimeout    time.Duration
}

// Client is an HTTP client with one connection, for one or more calls.
type Client struct {
	*http.Client

	mu sync.Mutex
	// dialAttempted is set by the first dial; later ones are refused.
	dialAttempted bool
	// conn is nil until the connection is established.
	conn   net.Conn
	closed bool
	dialer net.Dialer
	// received counts the bytes read from the connection.
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
	c := &Client{dialer: net.Dialer{Timeout: o.ConnectTimeout}}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	c.Client = &http.Client{
		Transport: messageTransport{&http.Transport{
			DialContext: c.dial,
			Protocols:   protocols,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout:  o.PingAfter,
				PingTimeout:      o.PongTimeout,
				WriteByteTimeout: o.PongTimeout + o.PingAfter,
			},
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Received returns the number of bytes read from the connection.
func (c *Client) Received() uint64 { return c.received.Load() }

// Close closes the connection, which fails the calls in flight. It may be
// called more than once.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close() // An error changes nothing: the peer sees the connection end either way.
	}
}

// dial makes the only connection of the client.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := c.reserveDial(); err != nil {
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

// reserveDial returns an error unless this is the first dial of a client that
// is open.
func (c *Client) reserveDial() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return errClosed()
	}
	if c.dialAttempted {
		return fault.New(fault.Unavailable, "make a new client and ask about the outstanding work", "the connection is gone")
	}
	c.dialAttempted = true
	return nil
}

func errClosed() error {
	return fault.New(fault.Unavailable, "make a new client", "the client is closed")
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.PingAfter == 0 {
		o.PingAfter = DefaultPingAfter
	}
	if o.PongTimeout == 0 {
		o.PongTimeout = DefaultPongTimeout
	}
	return o
}
