package historian

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"agatevalve/common/fault"
	"agatevalve/router"
)

// Configuration is the content of one revision.
type Configuration struct {
	// Revision is 0 for the empty configuration before the first publish.
	Revision uint64
	// Routes and Pools are sorted by name, and names are unique within each.
	Routes []router.Route
	Pools  []router.Pool
}

// NewConfiguration returns a configuration with sorted rows. It refuses
// duplicate names; all other checks are left to router.Check.
func NewConfiguration(revision uint64, routes []router.Route, pools []router.Pool) (Configuration, error) {
	c := Configuration{Revision: revision}
	var err error
	if c.Routes, err = routeOps.sorted(routes); err != nil {
		return Configuration{}, err
	}
	if c.Pools, err = poolOps.sorted(pools); err != nil {
		return Configuration{}, err
	}
	return c, nil
}

// Compile checks the configuration and builds the table that matches requests
// to its routes.
func (c Configuration) Compile() (*router.Table, error) {
	return router.Compile(c.Revision, c.Routes, c.Pools)
}

// Digest returns the SHA-256 sum of the rows. It doesn't cover the revision
// number.
func (c Configuration) Digest() [sha256.Size]byte {
	return sha256.Sum256(marshal(encodeConfiguration(c)))
}

// Route returns the route with the given name.
func (c Configuration) Route(name string) (router.Route, bool) { return routeOps.find(c.Routes, name) }

// Pool returns the pool with the given name.
func (c Configuration) Pool(name string) (router.Pool, bool) { return poolOps.find(c.Pools, name) }

// Change is an insert, update or delete of one row.
type Change[T any] struct {
	// Name is the name of the row.
	Name string
	// Before is nil for an insert, and in a change read from a revision row.
	Before *T
	// After is nil for a delete.
	After *T
}

// Changes are the difference between two configurations.
type Changes struct {
	// Routes and Pools are sorted by name, with one change per name.
	Routes []Change[router.Route]
	Pools  []Change[router.Pool]
}

// Len returns the number of rows changed.
func (c Changes) Len() int { return len(c.Routes) + len(c.Pools) }

// Diff returns the changes that turn before into after.
func Diff(before, after Configuration) Changes {
	return Changes{
		Routes: routeOps.diff(before.Routes, after.Routes),
		Pools:  poolOps.diff(before.Pools, after.Pools),
	}
}

// Apply returns the configuration after the changes, with the given revision
// number. It ignores the Before of changes, and refuses to delete a row that
// doesn't exist.
func (c Configuration) Apply(revision uint64, changes Changes) (Configuration, error) {
	next := Configuration{Revision: revision}
	var err error
	if next.Routes, err = routeOps.apply(c.Routes, changes.Routes); err != nil {
		return Configuration{}, err
	}
	if next.Pools, err = poolOps.apply(c.Pools, changes.Pools); err != nil {
		return Configuration{}, err
	}
	return next, nil
}

// rowOps implements sorting, lookup, diff and apply for rows of one kind,
// routes or pools.
type rowOps[T any] struct {
	// singular is the word for one row in error messages.
	singular string
	name     func(T) string
	equal    func(a, b T) bool
}

var routeOps = rowOps[router.Route]{
	singular: "route",
	name:     func(r router.Route) string { return r.Name },
	equal:    func(a, b router.Route) bool { return a == b },
}

var poolOps = rowOps[router.Pool]{
	singular: "pool",
	name:     func(p router.Pool) string { return p.Name },
	equal:    equalPools,
}

// equalPools compares pools, which == can't since they hold a slice.
func equalPools(a, b router.Pool) bool {
	return a.Name == b.Name && a.SlotsPerMinion == b.SlotsPerMinion &&
		a.QueueLimit == b.QueueLimit && slices.Equal(a.Quotas, b.Quotas)
}

// sorted returns a copy of the rows sorted by name. It refuses duplicate names.
func (r rowOps[T]) sorted(items []T) ([]T, error) {
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(r.name(a), r.name(b)) })
	for i := 1; i < len(items); i++ {
		if name := r.name(items[i]); name == r.name(items[i-1]) {
			return nil, fault.New(fault.Invalid, "rename or delete one of the two", "%s %q stands twice", r.singular, name)
		}
	}
	return items, nil
}

// search returns the index of the row with a name, or where it would be
// inserted. The rows are sorted by name.
func (r rowOps[T]) search(items []T, name string) (int, bool) {
	return slices.BinarySearchFunc(items, name, func(item T, name string) int {
		return cmp.Compare(r.name(item), name)
	})
}

// find returns the row with a name.
func (r rowOps[T]) find(items []T, name string) (T, bool) {
	i, ok := r.search(items, name)
	if !ok {
		var zero T
		return zero, false
	}
	return items[i], true
}

// diff returns the changes that turn before into after, sorted by name.
func (r rowOps[T]) diff(before, after []T) []Change[T] {
	var changes []Change[T]
	for i := range before {
		name := r.name(before[i])
		if _, ok := r.search(after, name); !ok {
			changes = append(changes, Change[T]{Name: name, Before: &before[i]})
		}
	}
	for i := range after {
		name := r.name(after[i])
		old, ok := r.search(before, name)
		if !ok {
			changes = append(changes, Change[T]{Name: name, After: &after[i]})
			continue
		}
		if !r.equal(before[old], after[i]) {
			changes = append(changes, Change[T]{Name: name, Before: &before[old], After: &after[i]})
		}
	}
	slices.SortFunc(changes, func(a, b Change[T]) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// apply returns a copy of the rows with the changes made.
func (r rowOps[T]) apply(items []T, changes []Change[T]) ([]T, error) {
	items = slices.Clone(items)
	for _, c := range changes {
		i, ok := r.search(items, c.Name)
		switch {
		case c.After == nil && !ok:
			return nil, fault.New(fault.NotFound, "show the table to see its rows", "no %s %q to delete", r.singular, c.Name)
		case c.After == nil:
			items = slices.Delete(items, i, i+1)
		case ok:
			items[i] = *c.After
		default:
			items = slices.Insert(items, i, *c.After)
		}
	}
	return items, nil
}
