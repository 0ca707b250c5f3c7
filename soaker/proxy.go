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
	// address is where the proxy listens, and target the address to which connections
	// are forwarded.
	address, target netip.AddrPort
	// delay is a delay in nanoseconds before each write, in both directions.
	delay atomic.Int64
	// blocked holds back all data in both directions, as a network partition does.
	// heldFromClient and heldFromServer hold back that of one direction.
	blocked, heldFromClient, heldFromServer atomic.Bool

	mu          sync.Mutex
	listener    net.Listener
	connections map[*connection]bool
	// refusals counts the calls of refuse, and returns those of listenAgain. There is
	// no listener while they differ.
	refusals, returns int
	// closed prevents a further listener.
	closed bool
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
	p := &proxy{address: address, target: target, connections: make(map[*connection]bool)}
	if err := p.listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// listen opens the listener. The lock is held, or nobody else has the proxy yet.
func (p *proxy) listen() error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", p.address.String())
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// accept accepts connections until the listener is closed.
func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect connects a client to the target, and forwards until either closes.
func (p *proxy) connect(client net.Conn) {
	p.mu.Lock()
	refusals := p.refusals
	p.mu.Unlock()
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
	c := &connection{client: client, server: server}
	p.mu.Lock()
	refused := p.refusals != refusals || p.refusals != p.returns
	if !refused {
		p.connections[c] = true
	}
	p.mu.Unlock()
	if refused { // It was not open yet when refuse reset the others.
		abort(client)
		abort(server)
		return
	}
	if _, err := server.Write(sent); err != nil {
		p.remove(c)
		abort(client)
		abort(server)
		return
	}
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
	p.remove(c)
	_ = c.client.Close() // Both ends may be closed already.
	_ = c.server.Close()
}

// remove forgets a connection that ends.
func (p *proxy) remove(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
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

// refuse closes the listener, so that new connections are refused, and resets all
// open connections. The target goes on.
func (p *proxy) refuse() {
	p.mu.Lock()
	p.refusals++
	_ = p.listener.Close() // It may be closed already.
	p.mu.Unlock()
	p.reset()
}

// listenAgain ends one call of refuse. The proxy listens once all have ended.
func (p *proxy) listenAgain() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returns++
	if p.closed || p.returns != p.refusals {
		return nil
	}
	return p.listen()
}

// close stops listening and resets all connections.
func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close() // The soak test has ended.
	p.mu.Unlock()
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
