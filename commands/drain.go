package commands

import (
	"context"
	"strings"
	"sync"

	"agatevalve/common/fault"
	"agatevalve/historian"
)

// drainFlags holds the flags of drain and undrain, which select minions by agent
// or by worker.
type drainFlags struct {
	authorFlags
	entryFlags
	Agent  string `arg:"" optional:"" help:"Name of the agent beside the minion, as agatevalve status shows it."`
	Worker string `help:"Name of a worker, for all its minions." placeholder:"NAME"`
	// Unrecorded lets operators drain while the store can't be written.
	Unrecorded bool `help:"Go on when the audit trail can't be written; keep a note of your own."`
}

// DrainCommand makes agents refuse new tasks.
type DrainCommand struct{ drainFlags }

// UndrainCommand makes drained agents accept tasks again.
type UndrainCommand struct{ drainFlags }

// Run drains the selected agents.
func (d *DrainCommand) Run(c *console) error { return d.execute(c, historian.Drained) }

// Run ends the drain of the selected agents.
func (u *UndrainCommand) Run(c *console) error { return u.execute(c, historian.Undrained) }

// wireDrainResult is the JSON output of drain and undrain for one agent. Error is
// set if the agent did not confirm it; the fields below are then unset.
type wireDrainResult struct {
	Agent   string `json:"agent"`
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	Running int32  `json:"running"`
	Queued  int32  `json:"queued"`
	Leaving bool   `json:"leaving"`
}

// execute records the action and sends it to every selected agent.
func (f *drainFlags) execute(c *console, kind historian.ActionKind) error {
	if (f.Agent == "") == (f.Worker == "") {
		return fault.New(fault.Invalid, "name an agent, or a worker with --worker", "one of agent and worker is needed, and not both")
	}
	return c.withStore(func(ctx context.Context, s *store) error {
		views, err := queryEntries(ctx, s, f.Entry)
		if err != nil {
			return err
		}
		selected := f.selectAgents(views)
		if len(selected) == 0 {
			return fault.New(fault.NotFound, "see agatevalve status for the names", "no live entry knows %s", f.auditSubject())
		}
		if err := f.recordAction(ctx, c, s, kind); err != nil {
			return err
		}
		results := callDrainAll(ctx, selected, f.Who, kind == historian.Drained)
		return c.reportDrainResults(results, kind)
	})
}

// auditSubject names the selected agent or worker in the audit trail.
func (f *drainFlags) auditSubject() string {
	if f.Worker != "" {
		return "worker " + f.Worker
	}
	return "agent " + f.Agent
}

// selectAgents returns the agents that the flags select.
func (f *drainFlags) selectAgents(views []entryView) []*agentView {
	var selected []*agentView
	for _, a := range mergeAgents(views) {
		if f.Agent != "" && a.agent.GetAgent().GetName() == f.Agent || f.Worker != "" && a.agent.GetWorker() == f.Worker {
			selected = append(selected, a)
		}
	}
	return selected
}

// recordAction writes the audit row before any agent is called, so that no drain
// goes unrecorded. With --unrecorded, a failure to write it is only a warning.
func (f *drainFlags) recordAction(ctx context.Context, c *console, s *store, kind historian.ActionKind) error {
	err := s.publisher.RecordAction(ctx, f.author(), kind, f.auditSubject())
	if err != nil && f.Unrecorded && fault.KindOf(err) != fault.Invalid {
		c.printToStderr("warning: not recorded: %s", err)
		return nil
	}
	return err
}

// callDrainAll calls the agents concurrently. The results have the order of the
// agents.
func callDrainAll(ctx context.Context, selected []*agentView, operator string, draining bool) []wireDrainResult {
	results := make([]wireDrainResult, len(selected))
	var mu sync.Mutex
	forEachConcurrently(len(selected), func(i int) {
		a := selected[i].agent
		result := wireDrainResult{Agent: a.GetAgent().GetName(), Address: a.GetAddress()}
		load, err := callDrain(ctx, a.GetAddress(), operator, draining)
		if err != nil {
			result.Error = err.Error()
		}
		result.Running, result.Queued, result.Leaving = load.GetRunning(), load.GetQueued(), load.GetLeaving()
		mu.Lock()
		defer mu.Unlock()
		results[i] = result
	})
	return results
}

// reportDrainResults prints the results. Its error names the agents that did not
// confirm.
func (c *console) reportDrainResults(results []wireDrainResult, kind historian.ActionKind) error {
	var unconfirmed []string
	for _, a := range results {
		if a.Error != "" {
			unconfirmed = append(unconfirmed, a.Agent)
		}
	}
	if err := c.printDrainResults(results, kind); err != nil {
		return err
	}
	if len(unconfirmed) == 0 {
		return nil
	}
	return fault.New(fault.Uncertain, "run it again; a silent agent is forgotten once its announcement expires",
		"%s is not confirmed by %s", kind, strings.Join(unconfirmed, ", "))
}

// printDrainResults prints the results as JSON or as one line each.
func (c *console) printDrainResults(results []wireDrainResult, kind historian.ActionKind) error {
	if c.wantsJSON() {
		return c.printJSON(results)
	}
	for _, a := range results {
		if a.Error != "" {
			c.printToStderr("%s at %s: %s", a.Agent, a.Address, a.Error)
			continue
		}
		if err := c.print("%s of %s is done: %d running, %d queued\n", kind, a.Agent, a.Running, a.Queued); err != nil {
			return err
		}
	}
	return nil
}
