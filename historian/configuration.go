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
	// Routes and Pools are sorted by name, and names are unique in each.
	Routes []router.Route
	Pools  []router.Pool
}

// NewConfiguration returns a configuration with sorted rows. It refuses
// doubled names; all other checks are left to router.Check.
func NewConfiguration(revision uint64, routes []router.Route, pools []router.Pool) (Configuration, error) {
	c := Configuration{Revision: revision}
	var err error
	if c.Routes, err = routeRows.sorted(routes); err != nil {
		return Configuration{}, err
	}
	if c.Pools, err = poolRows.sorted(pools); err != nil {
		return Configuration{}, err
	}
	return c, nil
}

// Compile checks the configuration and makes it ready for matching.
func (c Configuration) Compile() (*router.Table, error) {
	return router.Compile(c.Revision, c.Routes, c.Pools)
}

// Digest returns the SHA-256 sum of the rows. The revision number is not part
// of it.
func (c Configuration) Digest() [sha256.Size]byte {
	return sha256.Sum256(marshal(encodeConfiguration(c)))
}

// Route returns the route of the given name.
func (c Configuration) Route(name string) (router.Route, bool) { return routeRows.find(c.Routes, name) }

// Pool returns the pool of the given name.
func (c Configuration) Pool(name string) (router.Pool, bool) { return poolRows.find(c.Pools, name) }

// Change is an insert, update or delete of one row.
type Change[T any] struct {
	// Name is the name of the row.
	Name string
	// Before is nil for an insert, and in a change read from a revision row.
	Before *T
	// After is nil for a delete.
	After *T
}

// Changes lead from one configuration to another.
type Changes struct {
	// Routes and Pools are sorted by name, with one change per name.
	Routes []Change[router.Route]
	Pools  []Change[router.Pool]
}

// Len returns the number of rows changed.
func (c Changes) Len() int { return len(c.Routes) + len(c.Pools) }

// Diff returns the changes that lead from before to after.
func Diff(before, after Configuration) Changes {
	return Changes{
		Routes: routeRows.diff(before.Routes, after.Routes),
		Pools:  poolRows.diff(before.Pools, after.Pools),
	}
}

// Apply returns the configuration after the changes, numbered revision. Before
// in the changes is not looked at. It refuses to delete a row that is not there.
func (c Configuration) Apply(revision uint64, changes Changes) (Configuration, error) {
	next := Configuration{Revision: revision}
	var err error
	if next.Routes, err = routeRows.apply(c.Routes, changes.Routes); err != nil {
		return Configuration{}, err
	}
	if next.Pools, err = poolRows.apply(c.Pools, changes.Pools); err != nil {
		return Configuration{}, err
	}
	return next, nil
}

// rows holds what the two tables do alike.
type rows[T any] struct {
	// singular is the word for one row in errors.
	singular string
	name     func(T) string
	equal    func(a, b T) bool
}

var routeRows = rows[router.Route]{
	singular: "route",
	name:     func(r router.Route) string { return r.Name },
	equal:    func(a, b router.Route) bool { return a == b },
}

var poolRows = rows[router.Pool]{
	singular: "pool",
	name:     func(p router.Pool) string { return p.Name },
	equal:    equalPools,
}

func equalPools(a, b router.Pool) bool {
	return a.Name == b.Name && a.SlotsPerMinion == b.SlotsPerMinion &&
		a.QueueLimit == b.QueueLimit && slices.Equal(a.Quotas, b.Quotas)
}

func (r rows[T]) sorted(items []T) ([]T, error) {
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(r.name(a), r.name(b)) })
	for i := 1; i < len(items); i++ {
		if name := r.name(items[i]); name == r.name(items[i-1]) {
			return nil, fault.New(fault.Invalid, "rename or delete one of the two", "%s %q stands twice", r.singular, name)
		}
	}
	return items, nil
}

func (r rows[T]) search(items []T, name string) (int, bool) {
	return slices.BinarySearchFunc(items, name, func(item T, name string) int {
		return cmp.Compare(r.name(item), name)
	})
}

func (r rows[T]) find(items []T, name string) (T, bool) {
	i, ok := r.search(items, name)
	if !ok {
		var zero T
		return zero, false
	}
	return items[i], true
}

func (r rows[T]) diff(before, after []T) []Change[T] {
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

func (r rows[T]) apply(items []T, changes []Change[T]) ([]T, error) {
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
