package commands

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"agatevalve/common/fault"
)

const (
	// standInHeaderTimeout bounds the time in which a client must send its header.
	standInHeaderTimeout = 10 * time.Second
	// standInStopTimeout bounds the wait for calls in flight at a graceful stop.
	standInStopTimeout = 5 * time.Second
)

// standIn is a server that replaces a system outside agatevalve, for trials.
type standIn struct {
	// logPrefix starts its log messages.
	logPrefix string
	listen    netip.AddrPort
	handler   http.Handler
}

// run serves until SIGINT or SIGTERM, and then stops gracefully.
func (s standIn) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.listen.String())
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "end what uses the address, or choose a free one", "could not listen on %s", s.listen)
	}
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: standInHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	slog.Info(s.logPrefix+": Is ready", "address", listener.Addr().String())
	select {
	case err := <-serveErr:
		return fault.Wrap(err, fault.Internal, "start it again", "the stand-in ended")
	case <-ctx.Done():
	}
	return s.shutdown(server)
}

// shutdown lets calls in flight finish, and closes the connections of those that
// are still running at the timeout.
func (s standIn) shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), standInStopTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		slog.Warn(s.logPrefix + ": Closing connections with calls in flight, since the stop timed out")
		err = server.Close()
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "start it again", "the stand-in did not stop cleanly")
	}
	return nil
}
