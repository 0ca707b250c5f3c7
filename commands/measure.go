package commands

import (
	"agatevalve/common/fault"
	"agatevalve/measurer"
	"agatevalve/measurer/plotter"
)

// MeasureCommand runs scenarios that measure task placement under load and
// faults in virtual time, or the survey of the costs of agatevalve itself.
type MeasureCommand struct {
	Scenario   string `help:"Scenario to run, or all." default:"all"`
	Deployment string `help:"Sizes and latencies to use." enum:"campanario,reed-office" default:"campanario"`
	Seed       uint64 `help:"Seed of all random numbers; the same seed gives the same figures." default:"1"`
	Plot       string `help:"Directory for plots of answer times and goodput." type:"path" placeholder:"DIR"`
	EntryQueue *int   `help:"Tasks beyond its slots that an entry lets wait at a minion, instead of what ships." placeholder:"TASKS"`
	AgentQueue *int   `help:"Tasks that wait at an agent for a slot, instead of what ships." placeholder:"TASKS"`
}

// Help describes the method and lists the scenarios.
func (*MeasureCommand) Help() string {
	help := "The shipped deciding code runs under virtual time against emulated callers, minions, latencies, faults and table service, beside three simpler policies. The exit code is 1 if a promise to callers was broken.\n\nScenarios:\n"
	for _, name := range measurer.ScenarioNames() {
		help += "  " + name + "\n"
	}
	return help + "  " + surveyScenario + " (not among all: what agatevalve itself costs, in real time)\n"
}

// Run runs the scenarios and prints their report.
func (m *MeasureCommand) Run(c *console) error {
	if m.Scenario == surveyScenario {
		return m.runSurvey(c)
	}
	report, err := measurer.Run(measurer.Options{
		Scenario: m.Scenario, Deployment: m.Deployment, Seed: m.Seed,
		Tuning: m.queueTuning(),
	})
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
	if n := report.Violations(); n > 0 {
		return fault.New(fault.Internal, "read the traces above and report them with the seed", "%d promises were broken", n)
	}
	return nil
}

// queueTuning returns the queue lengths: the defaults, or those of the flags.
func (m *MeasureCommand) queueTuning() measurer.Tuning {
	t := measurer.DefaultTuning()
	if m.EntryQueue != nil {
		t.EntryQueue = *m.EntryQueue
	}
	if m.AgentQueue != nil {
		t.AgentQueue = *m.AgentQueue
	}
	return t
}
