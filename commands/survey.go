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

// surveyScenario is the scenario that measures the costs of agatevalve itself.
const surveyScenario = "slopes"

// runSurvey measures how the costs of agatevalve grow with the load, on the
// loopback interface and in real time. It ignores --deployment and --seed.
func (m *MeasureCommand) runSurvey(c *console) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	printProgress := func(name string) { _, _ = fmt.Fprintln(c.stderr, "measure: "+name) } // A lost progress message does no harm.
	report, err := surveyor.Run(ctx, surveyor.Options{Progress: printProgress})
	if err != nil {
		return err
	}
	if m.Plot != "" {
		if err := plotter.Draw(m.Plot, report); err != nil {
			return err
		}
	}
	write := report.WriteTable
	if c.wantsJSON() {
		write = report.WriteJSON
	}
	if err := write(c.stdout); err != nil {
		return fault.Wrap(err, fault.Internal, "write to another place", "the figures can't be written")
	}
	return nil
}
