package commands

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"agatevalve/common/fault"
	"agatevalve/emulator"
	"agatevalve/loader"
)

const (
	// platformHeaderWithin bounds the time that a client takes to send a header.
	platformHeaderWithin = 10 * time.Second
	// platformStopWithin bounds a planned stop.
	platformStopWithin = 5 * time.Second
)

// PlatformCommand runs the stand-in of the platform's table service until it
// is interrupted. Its rows live in memory.
type PlatformCommand struct {
	Settings string `arg:"" help:"Settings file (JSON) with listen address, write time and rates." type:"existingfile"`
}

// Run serves the table.
func (c *PlatformCommand) Run() error {
	settings, err := loader.ReadPlatform(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return servePlatform(ctx, settings)
}

// servePlatform serves a table until ctx ends.
func servePlatform(ctx context.Context, settings loader.Platform) error {
	table := emulator.NewTable(emulator.Options{
		WriteTakes:      settings.WriteTakes,
		WritesPerSecond: settings.WritesPerSecond,
		ReadsPerSecond:  settings.ReadsPerSecond,
	})
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", settings.Listen.String())
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "choose a free address in the settings", "could not listen on %s", settings.Listen)
	}
	server := &http.Server{Handler: emulator.Handler(table), ReadHeaderTimeout: platformHeaderWithin}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	slog.Info("platform: Table service is ready", "address", listener.Addr().String())
	select {
	case err := <-served:
		return fault.Wrap(err, fault.Internal, "start it again", "the table service ended")
	case <-ctx.Done():
	}
	return stopPlatform(server)
}

// stopPlatform finishes the calls in flight, and cuts those that hang.
func stopPlatform(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), platformStopWithin)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		slog.Warn("platform: Calls were still hung at the stop")
		err = server.Close()
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "start it again", "the table service did not stop cleanly")
	}
	return nil
}
