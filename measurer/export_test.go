package measurer

import (
	"time"

	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// InjectedFaults are faults in the wiring of the cores that the verifier must
// detect.
type InjectedFaults struct {
	EntryCommands    func([]dispatcher.Command) []dispatcher.Command
	AgentCommands    func([]runner.Command) []runner.Command
	ReplyDelay       time.Duration
	IgnoreDrain      bool
	IgnoreWithdrawal bool
}

// RunWithFaults runs the shipped policy through the first trial of a scenario
// with injected faults.
func RunWithFaults(o Options, p InjectedFaults) (Figures, error) {
	d, err := FindDeployment(o.Deployment)
	if err != nil {
		return Figures{}, err
	}
	found, err := findScenarios(o.Scenario)
	if err != nil {
		return Figures{}, err
	}
	t := found[0].trials[0].withDuration(o.Duration)
	w := newWorld(d, t, allPolicies()[0], o, injectedFaults{
		entryCommands: p.EntryCommands, agentCommands: p.AgentCommands, replyDelay: p.ReplyDelay,
		ignoreDrain: p.IgnoreDrain, ignoreWithdrawal: p.IgnoreWithdrawal,
	})
	return w.run(), nil
}
