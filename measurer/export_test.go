package measurer

import (
	"time"

	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// Plant is a fault in the wiring of the cores, to be seen by the verifier.
type Plant struct {
	EntryCommands    func([]dispatcher.Command) []dispatcher.Command
	AgentCommands    func([]runner.Command) []runner.Command
	ReplyDelay       time.Duration
	DeafToDrain      bool
	DeafToWithdrawal bool
}

// RunPlanted runs the product's own policy through the first trial of a
// scenario with a fault planted.
func RunPlanted(o Options, p Plant) (Figures, error) {
	d, err := FindDeployment(o.Deployment)
	if err != nil {
		return Figures{}, err
	}
	found, err := findScenarios(o.Scenario)
	if err != nil {
		return Figures{}, err
	}
	t := found[0].trials[0].shortened(o.Length)
	w := newWorld(d, t, contenders()[0], o, tamper{
		entryCommands: p.EntryCommands, agentCommands: p.AgentCommands, replyDelay: p.ReplyDelay,
		deafToDrain: p.DeafToDrain, deafToWithdrawal: p.DeafToWithdrawal,
	})
	return w.run(), nil
}
