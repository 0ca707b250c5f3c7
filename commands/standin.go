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
	// standInHeaderWithin bounds the time that a client takes to send a header.
	standInHeaderWithin = 10 * time.Second
	// standInStopWithin bounds a planned stop.
	standInStopWithin = 5 * time.Second
)

// standIn is a server for trials that takes the place of something outside
// agatevalve.
type standIn struct {
	// prefix begins the lines of its log.
	prefix  string
	listen  netip.AddrPort
	handler http.Handler
}

// run serves until an interrupt.
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

// stop finishes the calls in flight, and cuts those that hang.
func (s standIn) stop(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), standInStopWithin)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		slog.Warn(s.prefix + ": Calls were still hung at the stop")
		err = server.Close()
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "start it again", "the stand-in did not stop cleanly")
	}
	return nil
}
