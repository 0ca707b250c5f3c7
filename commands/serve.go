package commands

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"agatevalve/common/fault"
	"agatevalve/entry"
	"agatevalve/launcher"
	"agatevalve/loader"
)

// ServeCommand runs an entry.
type ServeCommand struct {
	Settings   string `arg:"" optional:"" help:"Settings file (JSON) of the entry; see examples/entry-1.json."`
	OnPlatform bool   `help:"Run jobs of leased tasks on the users' platform, which names the settings file."`
}

// Run serves callers until SIGINT or SIGTERM, and then stops the entry
// gracefully.
func (c *ServeCommand) Run(_ *console) error {
	if c.OnPlatform {
		return launcher.RunEntry()
	}
	if c.Settings == "" {
		return fault.New(fault.Invalid, "name the settings file, or use --on-platform", "the entry has no settings")
	}
	settings, err := loader.ReadEntry(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server, err := entry.New(entry.Options{Settings: settings, Log: slog.Default()})
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop() // Restores the default handling: a second signal kills the process.
	stopCtx, cancel := context.WithTimeout(context.Background(), settings.Limits.StopWithin)
	defer cancel()
	return server.Close(stopCtx)
}
