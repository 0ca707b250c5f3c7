package commands

import (
	"context"
	"slices"

	"agatevalve/historian"
)

// findUnjoined returns the pools of changed rows that have no minion. It returns
// none if no live entry answers, since nothing is known then.
func findUnjoined(ctx context.Context, s *store, changes historian.Changes) []string {
	wanted := changedPools(changes)
	if len(wanted) == 0 {
		return nil
	}
	views, err := askEntries(ctx, s, nil)
	if err != nil {
		return nil
	}
	answered := slices.ContainsFunc(views, func(v entryView) bool { return v.status != nil })
	if !answered {
		return nil
	}
	joined := make(map[string]bool)
	for _, a := range agents(views) {
		for _, name := range a.agent.GetPools() {
			joined[name] = true
		}
	}
	return slices.DeleteFunc(wanted, func(name string) bool { return joined[name] })
}

// changedPools returns the names of inserted and updated pools, and of the pools
// of inserted and updated routes, sorted and without duplicates.
func changedPools(changes historian.Changes) []string {
	var names []string
	for _, c := range changes.Pools {
		if c.After != nil {
			names = append(names, c.Name)
		}
	}
	for _, c := range changes.Routes {
		if c.After != nil {
			names = append(names, c.After.Pool)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
