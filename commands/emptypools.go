package commands

import (
	"context"
	"slices"

	"agatevalve/historian"
)

// findEmptyPools returns the pools of changed rows that have no minion. It returns
// none if no live entry answers, since nothing is known then.
func findEmptyPools(ctx context.Context, s *store, changes historian.Changes) []string {
	candidates := poolsOfChangedRows(changes)
	if len(candidates) == 0 {
		return nil
	}
	views, err := queryEntries(ctx, s, nil)
	if err != nil {
		return nil
	}
	answered := slices.ContainsFunc(views, func(v entryView) bool { return v.status != nil })
	if !answered {
		return nil
	}
	served := make(map[string]bool)
	for _, a := range mergeAgents(views) {
		for _, name := range a.agent.GetPools() {
			served[name] = true
		}
	}
	return slices.DeleteFunc(candidates, func(name string) bool { return served[name] })
}

// poolsOfChangedRows returns the names of inserted and updated pools, and of the
// pools of inserted and updated routes, sorted and without duplicates.
func poolsOfChangedRows(changes historian.Changes) []string {
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
