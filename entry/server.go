package entry

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

// server is one listener and its HTTP server.
type server struct {
	name     string
	address  netip.AddrPort
	listener net.Listener
	// http is nil until serve.
	http  *http.Server
	group sync.WaitGroup
}

// open opens a listener, which serves nothing yet.
func open(name string, at netip.AddrPort) (*server, error) {
	listener, err := net.Listen("tcp", at.String()) //nolint:noctx // Listening does not wait.
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free the address, or change it in the settings", "listen for %s on %s", name, at)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, errors.Join(fault.Wrap(err, fault.Internal, "report this", "read the address of %s", name), listener.Close())
	}
	return &server{name: name, address: address, listener: listener}, nil
}

// serve serves the listener until stop.
func (s *server) serve(handler http.Handler, headerBytes int, log *slog.Logger) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerWithin,
		IdleTimeout:       idleFor,
		MaxHeaderBytes:    headerBytes,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: peerSilence, PingTimeout: peerSilence},
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.group.Go(func() {
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("entry: A listener failed", "listener", s.name, "error", err)
		}
	})
}

// stop waits for the requests in flight until ctx ends, and cuts the rest.
func (s *server) stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(fault.Wrap(err, fault.Expired, "raise stop-within", "requests to %s were still open", s.name), s.http.Close())
	}
	s.group.Wait()
	return err
}
