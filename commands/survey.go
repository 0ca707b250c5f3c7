package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"agatevalve/common/fault"
	"agatevalve/surveyor"
	"agatevalve/surveyor/plotter"
)

// surveyScenario names the scenario that measures what agatevalve costs.
const surveyScenario = "slopes"

// survey measures what agatevalve costs as it grows, on the loopback interface
// and in real time. Deployment and seed play no part.
func (m *MeasureCommand) survey(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	note := func(name string) { _, _ = fmt.Fprintln(c.stderr, "measure: "+name) } // Progress only.
	report, err := surveyor.Run(ctx, surveyor.Options{Progress: note})
	if err != nil {
		return err
	}
	if m.Plot != "" {
		if err := plotter.Draw(m.Plot, report); err != nil {
			return err
		}
	}
	write := report.WriteTable
	if c.json() {
		write = report.WriteJSON
	}
	if err := write(c.stdout); err != nil {
		return fault.Wrap(err, fault.Internal, "write to another place", "the figures can't be written")
	}
	return nil
}
