// Package listener serves HTTP at one address and shuts down gracefully.
package listener

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"agatevalve/common/fault"
)

const (
	// headerTimeout bounds the time to receive the header of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// pingTimeout is both the silence after which an HTTP/2 connection is
	// pinged and the time allowed for the reply to the ping.
	pingTimeout = 5 * time.Second
)

// Listener is one TCP socket that listens and its HTTP server.
type Listener struct {
	name    string
	address netip.AddrPort
	socket  net.Listener
	// connContext is called for each new connection, as http.Server.ConnContext; nil
	// for nothing.
	connContext func(context.Context, net.Conn) context.Context
	// http is nil until Serve is called.
	http  *http.Server
	group sync.WaitGroup
}

// Open listens at an address; requests aren't served before Serve. The name
// identifies the listener in errors and logs. If the address is in use, the
// error has the kind fault.Unavailable.
func Open(name string, wanted netip.AddrPort) (*Listener, error) {
	socket, err := net.Listen("tcp", wanted.String()) //nolint:noctx // Listening does not wait.
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free the address, or change it in the settings", "listen for %s on %s", name, wanted)
	}
	address, err := netip.ParseAddrPort(socket.Addr().String())
	if err != nil {
		return nil, errors.Join(fault.Wrap(err, fault.Internal, "report this", "read the address of %s", name), socket.Close())
	}
	return &Listener{name: name, address: address, socket: socket}, nil
}

// Address returns the address with the actual port, which is never 0.
func (l *Listener) Address() netip.AddrPort { return l.address }

// Close closes the socket. It is for a listener that doesn't serve yet.
func (l *Listener) Close() error { return l.socket.Close() }

// SetConnContext sets a function that extends the context of each new connection. It
// must be called before Serve.
func (l *Listener) SetConnContext(extend func(context.Context, net.Conn) context.Context) {
	l.connContext = extend
}

// Serve serves the address until Stop. Requests with more than headerBytes of
// headers are refused.
func (l *Listener) Serve(handler http.Handler, headerBytes int, log *slog.Logger) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l.http = &http.Server{
		Handler:           handler,
		ConnContext:       l.connContext,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	l.group.Go(func() {
		if err := l.http.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
			log.Error("listener: Could not serve an address", "name", l.name, "error", err)
		}
	})
}

// Stop shuts the server down. It waits for the requests in flight until ctx
// ends, and then closes their connections.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(fault.Wrap(err, fault.Expired, "raise stop-within", "requests to %s were still open", l.name), l.http.Close())
	}
	l.group.Wait()
	return err
}
