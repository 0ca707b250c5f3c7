package commands

import (
	"context"
	"strings"
	"sync"

	"agatevalve/common/fault"
	"agatevalve/historian"
)

// target holds the flags of drain and undrain, which select minions by agent or
// by worker.
type target struct {
	author
	entryFlags
	Agent  string `arg:"" optional:"" help:"Name of the agent beside the minion, as agatevalve status shows it."`
	Worker string `help:"Name of a worker, for all its minions." placeholder:"NAME"`
	// Unrecorded lets operators drain while the store can't be written.
	Unrecorded bool `help:"Go on when the audit trail can't be written; keep a note of your own."`
}

// DrainCommand makes agents refuse new tasks.
type DrainCommand struct{ target }

// UndrainCommand makes drained agents accept tasks again.
type UndrainCommand struct{ target }

// Run drains the selected agents.
func (d *DrainCommand) Run(c *console) error { return d.act(c, historian.Drained) }

// Run ends the drain of the selected agents.
func (u *UndrainCommand) Run(c *console) error { return u.act(c, historian.Undrained) }

// wireAct is the JSON output of drain and undrain for one agent. Error is set if
// the agent did not confirm it; the fields below are then unset.
type wireAct struct {
	Agent   string `json:"agent"`
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	Running int32  `json:"running"`
	Queued  int32  `json:"queued"`
	Leaving bool   `json:"leaving"`
}

// act records the action and sends it to every selected agent.
func (t *target) act(c *console, kind historian.ActionKind) error {
	if (t.Agent == "") == (t.Worker == "") {
		return fault.New(fault.Invalid, "name an agent, or a worker with --worker", "one of agent and worker is needed, and not both")
	}
	return c.withStore(func(ctx context.Context, s *store) error {
		views, err := askEntries(ctx, s, t.Entry)
		if err != nil {
			return err
		}
		found := t.find(views)
		if len(found) == 0 {
			return fault.New(fault.NotFound, "see agatevalve status for the names", "no live entry knows %s", t.subject())
		}
		if err := t.record(ctx, c, s, kind); err != nil {
			return err
		}
		acts := drainAll(ctx, found, t.Who, kind == historian.Drained)
		return c.reportActs(acts, kind)
	})
}

// subject names the selected agent or worker in the audit trail.
func (t *target) subject() string {
	if t.Worker != "" {
		return "worker " + t.Worker
	}
	return "agent " + t.Agent
}

// find returns the agents that the flags select.
func (t *target) find(views []entryView) []*agentView {
	var found []*agentView
	for _, a := range agents(views) {
		if t.Agent != "" && a.agent.GetAgent().GetName() == t.Agent || t.Worker != "" && a.agent.GetWorker() == t.Worker {
			found = append(found, a)
		}
	}
	return found
}

// record writes the audit row before any agent is called, so that no drain goes
// unrecorded. With --unrecorded, a failure to write it is only a warning.
func (t *target) record(ctx context.Context, c *console, s *store, kind historian.ActionKind) error {
	err := s.publisher.RecordAction(ctx, t.author.author(), kind, t.subject())
	if err != nil && t.Unrecorded && fault.KindOf(err) != fault.Invalid {
		c.note("warning: not recorded: %s", err)
		return nil
	}
	return err
}

// drainAll calls the agents concurrently. The results have the order of the
// agents.
func drainAll(ctx context.Context, found []*agentView, who string, leave bool) []wireAct {
	acts := make([]wireAct, len(found))
	var mu sync.Mutex
	forEach(len(found), func(i int) {
		a := found[i].agent
		act := wireAct{Agent: a.GetAgent().GetName(), Address: a.GetAddress()}
		load, err := askDrain(ctx, a.GetAddress(), who, leave)
		if err != nil {
			act.Error = err.Error()
		}
		act.Running, act.Queued, act.Leaving = load.GetRunning(), load.GetQueued(), load.GetLeaving()
		mu.Lock()
		defer mu.Unlock()
		acts[i] = act
	})
	return acts
}

// reportActs prints the results. Its error names the agents that did not confirm.
func (c *console) reportActs(acts []wireAct, kind historian.ActionKind) error {
	var silent []string
	for _, a := range acts {
		if a.Error != "" {
			silent = append(silent, a.Agent)
		}
	}
	if err := c.printActs(acts, kind); err != nil {
		return err
	}
	if len(silent) == 0 {
		return nil
	}
	return fault.New(fault.Uncertain, "run it again; a silent agent is forgotten once its announcement expires",
		"%s is not confirmed by %s", kind, strings.Join(silent, ", "))
}

// printActs prints the results as JSON or as one line each.
func (c *console) printActs(acts []wireAct, kind historian.ActionKind) error {
	if c.json() {
		return c.encode(acts)
	}
	for _, a := range acts {
		if a.Error != "" {
			c.note("%s at %s: %s", a.Agent, a.Address, a.Error)
			continue
		}
		if err := c.print("%s of %s is done: %d running, %d queued\n", kind, a.Agent, a.Running, a.Queued); err != nil {
			return err
		}
	}
	return nil
}
