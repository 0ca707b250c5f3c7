// Command agatevalve-agent is the agent, which runs beside one minion and starts
// tasks on it.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"agatevalve/attendant"
	"agatevalve/common/fault"
	"agatevalve/connector"
	"agatevalve/launcher"
	"agatevalve/loader"
)

// description precedes the flags in the output of --help.
const description = `Start tasks at the minion (back end) beside it. Interrupt it for a graceful stop.

Exit codes: 0 stopped in good order; 1 failed; 2 bad input; 5 stopped with tasks or results left, which the error counts.`

// commandLine holds the command line, parsed by kong.
type commandLine struct {
	Settings   string `arg:"" optional:"" help:"Settings file (JSON) of the agent; see examples/agent-1.json, and check it with agatevalve settings check."`
	OnPlatform bool   `help:"Run leased tasks on the users' platform, which names the settings file."`
}

func main() {
	var args commandLine
	app := kong.Must(&args, kong.Name("agatevalve-agent"), kong.Description(description))
	_, err := app.Parse(os.Args[1:])
	if err != nil {
		err = fault.New(fault.Invalid, "see agatevalve-agent --help", "%s", err)
	} else {
		err = run(args)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "agatevalve-agent: %s\n", err)
	}
	os.Exit(fault.ExitCode(err))
}

// run runs the agent until SIGINT or SIGTERM, and then stops it gracefully.
func run(args commandLine) error {
	if args.OnPlatform {
		return launcher.RunAgent()
	}
	if args.Settings == "" {
		return fault.New(fault.Invalid, "name the settings file, or use --on-platform", "the agent has no settings")
	}
	settings, err := loader.ReadAgent(args.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	agent, err := attendant.New(attendant.Options{
		Settings: settings,
		Table:    connector.New(connector.Options{Store: settings.Store}),
		Logger:   slog.New(slog.NewTextHandler(os.Stderr, nil)),
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop() // Restores the default handling: a second signal kills the process.
	return agent.Close(context.Background())
}
