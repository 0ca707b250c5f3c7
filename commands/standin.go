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
	// standInHeaderWithin bounds the time in which a client must send its header.
	standInHeaderWithin = 10 * time.Second
	// standInStopWithin bounds the wait for calls in flight at a graceful stop.
	standInStopWithin = 5 * time.Second
)

// standIn is a server that replaces a system outside agatevalve, for trials.
type standIn struct {
	// prefix starts its log messages.
	prefix  string
	listen  netip.AddrPort
	handler http.Handler
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
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: standInHeaderWithin}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	slog.Info(s.prefix+": Is ready", "address", listener.Addr().String())
	select {
	case err := <-served:
		return fault.Wrap(err, fault.Internal, "start it again", "the stand-in ended")
	case <-ctx.Done():
	}
	return s.stop(server)
}

// stop lets calls in flight finish, and closes the connections of those that are
// still running at the timeout.
func (s standIn) stop(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), standInStopWithin)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		slog.Warn(s.prefix + ": Closing connections with calls in flight, since the stop timed out")
		err = server.Close()
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "start it again", "the stand-in did not stop cleanly")
	}
	return nil
}
