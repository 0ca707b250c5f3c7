package router

import (
	"slices"
	"strings"

	"agatevalve/common/fault"
)

// Table is one compiled configuration revision. It is immutable and safe for
// concurrent use.
//
// Of the routes that match a request, the most specific wins: first one that
// names the host, then the one with the longest path prefix, then one that
// names the method. Compile refuses tables in which this leaves a choice.
type Table struct {
	revision uint64
	routes   []Route
	pools    []Pool
	warnings []Finding
	// hosts maps each host that a route names to its routes; "" is any host.
	hosts map[string]*hostRoutes
	// byPool maps the name of a pool to its index in pools.
	byPool map[string]int
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	// deepest is the largest number of segments of a prefix in prefixes.
	deepest int
	// prefixes maps a path prefix to its routes; "" stands for "/".
	prefixes map[string]*prefixRoutes
}

// prefixRoutes holds the routes of one host and prefix.
type prefixRoutes struct {
	// plans holds the routes that name a method.
	plans []methodPlan
	// any is the route for any method, or nil.
	any *Plan
}

type methodPlan struct {
	method string
	plan   *Plan
}

// Compile checks a configuration and makes it ready for matching. It returns a
// fault of kind Invalid that wraps FindingsError when the configuration is refused.
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
	t := &Table{
		revision: revision,
		routes:   slices.Clone(routes),
		pools:    clonePools(pools),
		warnings: warnings,
		hosts:    make(map[string]*hostRoutes),
		byPool:   make(map[string]int, len(pools)),
	}
	t.index()
	return t, nil
}

func clonePools(pools []Pool) []Pool {
	clones := slices.Clone(pools)
	for i := range clones {
		clones[i].Quotas = slices.Clone(clones[i].Quotas)
	}
	return clones
}

func (t *Table) index() {
	for i, p := range t.pools {
		t.byPool[p.Name] = i
	}
	for _, r := range t.routes {
		h := t.hosts[r.Host]
		if h == nil {
			h = &hostRoutes{prefixes: make(map[string]*prefixRoutes)}
			t.hosts[r.Host] = h
		}
		h.add(&Plan{Revision: t.revision, Route: r, Pool: t.pools[t.byPool[r.Pool]]})
	}
}

func (h *hostRoutes) add(plan *Plan) {
	prefix := strings.TrimSuffix(plan.Route.PathPrefix, "/")
	h.deepest = max(h.deepest, strings.Count(prefix, "/"))
	p := h.prefixes[prefix]
	if p == nil {
		p = &prefixRoutes{}
		h.prefixes[prefix] = p
	}
	if plan.Route.Method == "" {
		p.any = plan
		return
	}
	p.plans = append(p.plans, methodPlan{plan.Route.Method, plan})
}

// Revision returns the number of the configuration revision.
func (t *Table) Revision() uint64 { return t.revision }

// Routes returns the routes in the order given to Compile. They must not be
// changed.
func (t *Table) Routes() []Route { return t.routes }

// Pools returns the pools in the order given to Compile. They must not be
// changed.
func (t *Table) Pools() []Pool { return t.pools }

// Warnings returns the findings that did not keep the table from compiling.
func (t *Table) Warnings() []Finding { return t.warnings }

// Pool returns the pool of the given name.
func (t *Table) Pool(name string) (Pool, bool) {
	i, ok := t.byPool[name]
	if !ok {
		return Pool{}, false
	}
	return t.pools[i], true
}
