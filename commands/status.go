package commands

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"agatevalve/historian"
)

// StatusCommand prints the state of the store, the entries and the agents.
type StatusCommand struct{ entryFlags }

// wireStatus is the JSON output of status.
type wireStatus struct {
	Store   wireStore   `json:"store"`
	Entries []wireEntry `json:"entries"`
	Agents  []wireAgent `json:"agents"`
}

// wireStore is the state of the table service.
type wireStore struct {
	Address  string `json:"address"`
	Revision uint64 `json:"revision"`
	// Error is set if the store could not be read; Revision is then unset.
	Error string `json:"error,omitempty"`
}

// wireEntry is the state of an entry.
type wireEntry struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Revision uint64 `json:"revision"`
	// Error is set if the entry did not answer; Revision is then the one in the
	// membership list, and the fields below are unset.
	Error          string `json:"error,omitempty"`
	Ready          bool   `json:"ready"`
	StoreReachable bool   `json:"store-reachable"`
	Queued         int32  `json:"queued"`
	Running        int32  `json:"running"`
}

// wireAgent is the state of an agent and its minion, as the entries report it.
type wireAgent struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Worker   string   `json:"worker"`
	Rack     string   `json:"rack"`
	Address  string   `json:"address"`
	Pools    []string `json:"pools"`
	Slots    int32    `json:"slots"`
	Running  int32    `json:"running"`
	Queued   int32    `json:"queued"`
	Leaving  bool     `json:"leaving"`
	Revision uint64   `json:"revision"`
	// Outstanding is the number of tasks in flight from the entries that answered.
	Outstanding int32    `json:"outstanding"`
	EjectedBy   []string `json:"ejected-by"`
	MeanSeconds float64  `json:"mean-seconds"`
}

// Run queries the store and every live entry. If entries are named by address, a
// store that can't be read is reported in the output.
func (u *StatusCommand) Run(c *console) error {
	return c.withStore(func(ctx context.Context, s *store) error {
		head, headErr := s.historian.Head(ctx)
		if headErr != nil && len(u.Entry) == 0 {
			return headErr
		}
		views, err := queryEntries(ctx, s, u.Entry)
		if err != nil {
			return err
		}
		status := encodeStatus(c.flags.Store.String(), head, views)
		if headErr != nil {
			status.Store.Error = messageWithoutRemedy(headErr)
		}
		if c.wantsJSON() {
			return c.printJSON(status)
		}
		return c.printStatus(status)
	})
}

// encodeStatus merges the answers, and sorts entries and agents by name.
func encodeStatus(store string, head historian.Head, views []entryView) wireStatus {
	status := wireStatus{
		Store:   wireStore{Address: store, Revision: head.Revision},
		Entries: make([]wireEntry, 0, len(views)),
		Agents:  []wireAgent{},
	}
	for _, v := range views {
		status.Entries = append(status.Entries, encodeEntry(v))
	}
	for _, a := range mergeAgents(views) {
		status.Agents = append(status.Agents, encodeAgent(a))
	}
	slices.SortFunc(status.Entries, func(a, b wireEntry) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(status.Agents, func(a, b wireAgent) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

// encodeEntry converts the answer of an entry, or its error.
func encodeEntry(v entryView) wireEntry {
	e := wireEntry{
		Name: v.member.Process.Name, Zone: v.member.Zone,
		Address: v.member.Address.String(), Revision: v.member.Revision,
	}
	if v.status == nil {
		e.Error = messageWithoutRemedy(v.err)
		return e
	}
	e.Revision = v.status.GetRevision()
	e.Ready = v.status.GetReady()
	e.StoreReachable = v.status.GetStoreReachable()
	e.Queued, e.Running = v.status.GetQueued(), v.status.GetRunning()
	return e
}

// encodeAgent converts the merged reports about an agent.
func encodeAgent(v *agentView) wireAgent {
	a, load := v.agent, v.agent.GetLoad()
	return wireAgent{
		Name: a.GetAgent().GetName(), Zone: a.GetZone(), Worker: a.GetWorker(), Rack: a.GetRack(),
		Address: a.GetAddress(), Pools: append([]string{}, a.GetPools()...),
		Slots: load.GetSlots(), Running: load.GetRunning(), Queued: load.GetQueued(),
		Leaving: load.GetLeaving(), Revision: load.GetRevision(), Outstanding: v.outstanding,
		EjectedBy: append([]string{}, v.ejectedBy...), MeanSeconds: a.GetMeanSeconds(),
	}
}

// printStatus prints the status as text and tables.
func (c *console) printStatus(status wireStatus) error {
	state := fmt.Sprintf("revision %d in force", status.Store.Revision)
	if status.Store.Revision == 0 {
		state = "no configuration is published yet"
	}
	if status.Store.Error != "" {
		state = "can't be read: " + status.Store.Error
	}
	if err := c.print("store %s: %s\n\n", status.Store.Address, state); err != nil {
		return err
	}
	if err := c.printTable(entryTable(status)); err != nil {
		return err
	}
	if err := c.print("\n"); err != nil {
		return err
	}
	return c.printTable(agentTable(status.Agents))
}

// entryTable formats the entries as a table.
func entryTable(status wireStatus) [][]string {
	table := [][]string{{"ENTRY", "ZONE", "ADDRESS", "REVISION", "STATE", "QUEUED", "RUNNING"}}
	for _, e := range status.Entries {
		table = append(table, []string{
			e.Name, e.Zone, e.Address, strconv.FormatUint(e.Revision, 10), entryState(e, status.Store.Revision),
			strconv.Itoa(int(e.Queued)), strconv.Itoa(int(e.Running)),
		})
	}
	return table
}

// entryState formats the state of an entry; head is the revision in force.
func entryState(e wireEntry, head uint64) string {
	if e.Error != "" {
		return "silent: " + e.Error
	}
	states := []string{"ready"}
	if !e.Ready {
		states[0] = "not ready"
	}
	if e.Revision < head {
		states = append(states, "behind")
	}
	if !e.StoreReachable {
		states = append(states, "without store")
	}
	return strings.Join(states, ", ")
}

// agentTable formats the agents as a table.
func agentTable(agents []wireAgent) [][]string {
	table := [][]string{{"AGENT", "ZONE", "WORKER", "RACK", "ADDRESS", "POOLS", "RUNNING/SLOTS", "QUEUED", "MEAN", "REVISION", "STATE"}}
	for _, a := range agents {
		table = append(table, []string{
			a.Name, a.Zone, a.Worker, a.Rack, a.Address, strings.Join(a.Pools, ","),
			fmt.Sprintf("%d/%d", a.Running, a.Slots), strconv.Itoa(int(a.Queued)),
			formatMeanTime(a.MeanSeconds), strconv.FormatUint(a.Revision, 10), agentState(a),
		})
	}
	return table
}

// formatMeanTime formats a mean service time, which is 0 until it was measured.
func formatMeanTime(seconds float64) string {
	if seconds == 0 {
		return "unknown"
	}
	return fmt.Sprintf("%.3fs", seconds)
}

// agentState formats the state of an agent.
func agentState(a wireAgent) string {
	switch {
	case a.Leaving:
		return "leaving"
	case len(a.EjectedBy) > 0:
		return "ejected by " + strings.Join(a.EjectedBy, ", ")
	}
	return "serving"
}
