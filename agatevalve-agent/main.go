// Command agatevalve-agent runs beside a minion and starts tasks at it.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"agatevalve/attendant"
	"agatevalve/connector"
	"agatevalve/loader"
)

type arguments struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of the agent, in JSON."`
}

func main() {
	var args arguments
	parsed := kong.Parse(&args, kong.Name("agatevalve-agent"),
		kong.Description("Start tasks at the minion beside it. Interrupt it for a graceful stop."))
	parsed.FatalIfErrorf(run(args.Settings))
}

func run(path string) error {
	settings, err := loader.ReadAgent(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a, err := attendant.New(attendant.Options{
		Settings: settings,
		Table:    connector.New(connector.Options{Store: settings.Store}),
		Logger:   slog.New(slog.NewTextHandler(os.Stderr, nil)),
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return a.Close(context.Background())
}
