// Package listener serves HTTP at one address, and stops in good order.
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
	// headerWithin bounds the transfer of a request's header.
	headerWithin = 10 * time.Second
	// idleFor bounds an idle connection.
	idleFor = 2 * time.Minute
	// peerSilence bounds the silence of an HTTP/2 connection.
	peerSilence = 5 * time.Second
)

// Listener is one open address and its HTTP server.
type Listener struct {
	name    string
	address netip.AddrPort
	socket  net.Listener
	// http is nil until Serve.
	http  *http.Server
	group sync.WaitGroup
}

// Open opens an address, which serves nothing yet. The name stands in errors
// and logs. A taken address is fault.Unavailable.
func Open(name string, at netip.AddrPort) (*Listener, error) {
	socket, err := net.Listen("tcp", at.String()) //nolint:noctx // Listening does not wait.
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free the address, or change it in the settings", "listen for %s on %s", name, at)
	}
	address, err := netip.ParseAddrPort(socket.Addr().String())
	if err != nil {
		return nil, errors.Join(fault.Wrap(err, fault.Internal, "report this", "read the address of %s", name), socket.Close())
	}
	return &Listener{name: name, address: address, socket: socket}, nil
}

// Address returns where it listens; the port is never 0.
func (l *Listener) Address() netip.AddrPort { return l.address }

// Close closes an address that serves nothing yet.
func (l *Listener) Close() error { return l.socket.Close() }

// Serve serves the address until Stop. Headers above headerBytes are refused.
func (l *Listener) Serve(handler http.Handler, headerBytes int, log *slog.Logger) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l.http = &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerWithin,
		IdleTimeout:       idleFor,
		MaxHeaderBytes:    headerBytes,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: peerSilence, PingTimeout: peerSilence},
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	l.group.Go(func() {
		if err := l.http.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
			log.Error("listener: An address failed", "name", l.name, "error", err)
		}
	})
}

// Stop waits for the requests in flight until ctx ends, and cuts the rest.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(fault.Wrap(err, fault.Expired, "raise stop-within", "requests to %s were still open", l.name), l.http.Close())
	}
	l.group.Wait()
	return err
}
