package soaker

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// bufferSize is the maximum number of bytes that a proxy forwards at once.
const bufferSize = 32 << 10

// roundTrip is the time between the arrival of data that was held back and that of
// what follows it, such as the end of the connection: TCP repeats lost data first,
// and sends more once it is acknowledged.
const roundTrip = 6 * time.Millisecond

// proxy forwards TCP connections to one address and injects network faults.
type proxy struct {
	// target is the address to which connections are forwarded.
	target   netip.AddrPort
	listener net.Listener
	// delay is a delay in nanoseconds before each write, in both directions.
	delay atomic.Int64
	// blocked holds back all data in both directions, as a network partition does.
	// heldFromClient and heldFromServer hold back that of one direction.
	blocked, heldFromClient, heldFromServer atomic.Bool

	mu          sync.Mutex
	connections map[*connection]bool
}

// connection is a connection through a proxy.
type connection struct {
	client, server net.Conn
	// dropFromClient and dropFromServer discard all further data that the client
	// or the target sends.
	dropFromClient, dropFromServer atomic.Bool
}

// newProxy returns a proxy that listens at an address.
func newProxy(address, target netip.AddrPort) (*proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener, connections: make(map[*connection]bool)}
	go p.accept()
	return p, nil
}

// accept accepts connections until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect connects a client to the target, and forwards until either closes.
func (p *proxy) connect(client net.Conn) {
	wasHeld := false
	for p.blocked.Load() || p.heldFromClient.Load() || p.heldFromServer.Load() {
		wasHeld = true
		time.Sleep(blockedPollInterval)
	}
	var sent []byte
	if wasHeld {
		var connected bool
		if sent, connected = readAvailable(client); !connected {
			abort(client)
			return
		}
	}
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		abort(client) // As if nothing listened at the port.
		return
	}
	if _, err := server.Write(sent); err != nil {
		abort(client)
		return
	}
	c := &connection{client: client, server: server}
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	go p.forward(c, server, client, &c.dropFromClient, &p.heldFromClient)
	p.forward(c, client, server, &c.dropFromServer, &p.heldFromServer)
}

// readAvailable reads what a client has sent while it waited for its connection. It
// reports false if the client has given up, as no connection is made then.
func readAvailable(client net.Conn) (sent []byte, connected bool) {
	defer func() { _ = client.SetReadDeadline(time.Time{}) }() // Reading reports a closed connection.
	buffer := make([]byte, bufferSize)
	for {
		_ = client.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err := client.Read(buffer)
		sent = append(sent, buffer[:n]...)
		if err != nil {
			return sent, errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}

// forward copies data in one direction until either end closes.
func (p *proxy) forward(c *connection, to, from net.Conn, drop, held *atomic.Bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if delay := p.delay.Load(); delay > 0 {
			time.Sleep(time.Duration(delay))
		}
		wasHeld := false
		for p.blocked.Load() || held.Load() {
			wasHeld = true
			time.Sleep(blockedPollInterval)
		}
		if n > 0 && !drop.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
			if wasHeld {
				time.Sleep(roundTrip)
			}
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
	_ = c.client.Close() // Both ends may be closed already.
	_ = c.server.Close()
}

// forEach calls do for each open connection.
func (p *proxy) forEach(do func(*connection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		do(c)
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.forEach(func(c *connection) {
		abort(c.client)
		abort(c.server)
	})
}

// blackhole discards all further data from the target on the open connections,
// and with bothWays also the data to it. New connections are not affected.
func (p *proxy) blackhole(bothWays bool) {
	p.forEach(func(c *connection) {
		c.dropFromServer.Store(true)
		c.dropFromClient.Store(bothWays)
	})
}

// close stops listening and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close() // The soak test has ended.
	p.blocked.Store(false)
	p.reset()
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close sends RST instead of FIN.
	}
	_ = c.Close()
}
