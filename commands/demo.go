package commands

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"agatevalve/common/fault"
	"agatevalve/demonstrator"
)

const (
	// demoStartTimeout bounds the start of all parts of the demonstration.
	demoStartTimeout = 20 * time.Second
	// demoCheckTimeout bounds the requests and the job of --check.
	demoCheckTimeout = 2 * time.Minute
	// demoStopTimeout bounds the graceful stop.
	demoStopTimeout = 30 * time.Second
)

// DemoCommand runs an entry, three agents and three minions in one process.
type DemoCommand struct {
	Callers     netip.AddrPort `help:"Address for requests and jobs; port 0 takes a free one." default:"127.0.0.1:8010" placeholder:"IP:PORT"`
	MeanService time.Duration  `help:"Mean time that a task takes at the minion of middle speed." default:"100ms"`
	Check       bool           `help:"Send requests and a job, compare what ran with what is promised, and exit with 0 or 1."`
	Verbose     bool           `help:"Log what the parts do."`
}

// Run runs the demonstration until it is interrupted, or until its check ends.
func (d *DemoCommand) Run(c *console) error {
	if d.MeanService <= 0 {
		return fault.New(fault.Invalid, "use a duration above 0s", "--mean-service %s is out of range", d.MeanService)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if d.Check {
		d.Callers = netip.AddrPortFrom(d.Callers.Addr(), 0)
	}
	options := demonstrator.Options{Callers: d.Callers, MeanService: d.MeanService, Log: slog.New(slog.DiscardHandler)}
	if d.Verbose {
		options.Log = slog.Default()
	}
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	system, err := demonstrator.New(startCtx, options)
	if err != nil {
		return err
	}
	if d.Check {
		err = d.runCheck(ctx, c, system)
	} else if err = d.printInstructions(c, system); err == nil {
		<-ctx.Done()
		c.printToStderr("demo: Stops")
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	if closeErr := system.Close(stopCtx); err == nil {
		err = closeErr
	}
	return err
}

// runCheck compares what ran with what is promised, for --check, and prints its
// findings.
func (d *DemoCommand) runCheck(ctx context.Context, c *console, s *demonstrator.System) error {
	ctx, cancel := context.WithTimeout(ctx, demoCheckTimeout)
	defer cancel()
	return s.Check(ctx, c.stdout)
}

// printInstructions prints requests to try, with the addresses of the
// demonstration.
func (d *DemoCommand) printInstructions(c *console, s *demonstrator.System) error {
	callers, operators := s.Entry().Callers(), s.Entry().Operators()
	return c.print(`One entry, three agents and three minions of different speed are ready.

A request, which runs one task:
  curl -i -X POST -d '{"climber":"Ana"}' http://%[1]s/holds

A job of three tasks; send it twice, and each task still starts once:
  curl -i http://%[1]s/holds -H 'Content-Type: application/vnd.agatevalve.job+json' -H 'Idempotency-Key: "first-job"' \
    -d '{"tasks":[{"body":"one"},{"body":"two"},{"method":"GET","path":"/holds/3"}]}'

A refusal, which proves that nothing ran:
  curl -i http://%[1]s/elsewhere

What operators see:
  curl http://%[2]s/readyz
  curl http://%[2]s/metrics

Interrupt to stop.
`, callers, operators)
}
