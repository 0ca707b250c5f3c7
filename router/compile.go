package router

import (
	"slices"

	"agatevalve/common/fault"
)

// Table is one compiled configuration revision. It is immutable and safe for
// concurrent use.
//
// Of the routes that match a request, the most specific one is chosen: a route
// that names the host is preferred over one for any host, then the longest path
// prefix wins, then a route that names the method is preferred. Compile refuses
// configurations in which this leaves a choice; CompileAccepted leaves out all
// but the first of such routes.
type Table struct {
	revision uint64
	routes   []Route
	pools    []Pool
	warnings []Finding
	// hosts holds the routes by host; "" stands for any host.
	hosts map[string]*hostRoutes
	// poolIndex holds the index in pools by name.
	poolIndex map[string]int
}

// Compile validates a configuration and builds the index for matching. When the
// configuration is refused, it returns a fault of kind Invalid that wraps a
// FindingsError.
func Compile(revision uint64, routes []Route, pools []Pool) (*Table, error) {
	var refused FindingsError
	var warnings []Finding
	for _, f := range Check(routes, pools) {
		if f.Warning {
			warnings = append(warnings, f)
			continue
		}
		refused = append(refused, f)
	}
	if len(refused) > 0 {
		return nil, fault.Wrap(refused, fault.Invalid, "mend each row named and apply again", "configuration refused")
	}
	return newTable(revision, slices.Clone(routes), clonePools(pools), warnings), nil
}

// newTable builds the index for matching. Each pool of a route is among the pools.
func newTable(revision uint64, routes []Route, pools []Pool, warnings []Finding) *Table {
	t := &Table{
		revision: revision, routes: routes, pools: pools, warnings: warnings,
		hosts: make(map[string]*hostRoutes), poolIndex: make(map[string]int, len(pools)),
	}
	for i, p := range pools {
		t.poolIndex[p.Name] = i
	}
	for _, r := range routes {
		h := t.hosts[r.Host]
		if h == nil {
			h = newHostRoutes()
			t.hosts[r.Host] = h
		}
		h.add(&Plan{Revision: revision, Route: r, Pool: pools[t.poolIndex[r.Pool]]})
	}
	return t
}

func clonePools(pools []Pool) []Pool {
	clones := slices.Clone(pools)
	for i := range clones {
		clones[i].Quotas = slices.Clone(clones[i].Quotas)
	}
	return clones
}

// Revision returns the number of the configuration revision.
func (t *Table) Revision() uint64 { return t.revision }

// Routes returns the routes in the order given to Compile. Callers must not
// modify them.
func (t *Table) Routes() []Route { return t.routes }

// Pools returns the pools in the order given to Compile. Callers must not
// modify them.
func (t *Table) Pools() []Pool { return t.pools }

// Warnings returns the findings for which the configuration was not refused.
func (t *Table) Warnings() []Finding { return t.warnings }

// Pool returns the pool of the given name.
func (t *Table) Pool(name string) (Pool, bool) {
	i, ok := t.poolIndex[name]
	if !ok {
		return Pool{}, false
	}
	return t.pools[i], true
}
