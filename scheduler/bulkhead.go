package scheduler

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"agatevalve/attributor"
)

const (
	// bulkheadShare is the least share of a service's minions that confined routes
	// may use. It is what the service can do without for a while.
	bulkheadShare = 1.0 / 3
	// releaseProofs is the number of jobs of a confined route that must succeed in
	// a row, at this entry, until it is free again.
	releaseProofs = 30
	// releaseTimeout frees a route on which nothing was proved for so long, either
	// way.
	releaseTimeout = 20 * time.Second
	// crashMemory is the time for which a minion that crashed is preferred for
	// confined routes. Minions of confined routes crash again and again, so other
	// routes keep the rest.
	crashMemory = 20 * time.Second
	// canaryGrace is the time in which work that was placed before its route was
	// confined says nothing of canaries.
	canaryGrace = time.Second
	// partitionInterval is the maximum age of a partition.
	partitionInterval = 20 * time.Millisecond
)

// bulkhead is the state of a confined route.
type bulkhead struct {
	// condemnedAt is the time of the latest crash that was attributed to the route.
	condemnedAt time.Time
	// share is the share of the minions that the route may use.
	share float64
	// successes counts the jobs that succeeded since the last verdict.
	successes int
	// confinedAt is the time since which the route is confined.
	confinedAt time.Time
	// canariesFail is true once work was proved deadly after a canary of its job
	// had survived. Whole jobs are then confined.
	canariesFail bool
}

// bulkheads confine routes with deadly work to a part of each service's minions,
// so that other routes keep the rest.
type bulkheads struct {
	// routes holds the confined routes.
	routes map[string]*bulkhead
	// partitions holds, by service, the minions that confined routes may use. It is
	// empty while none is confined.
	partitions    map[string]partition
	partitionedAt time.Time
	// demand is the rate of admitted work by route.
	demand arrivals[string]
}

// partition is the part of a service's minions that confined routes may use.
type partition struct {
	members map[*agent]bool
	// othersDown is true while no other minion accepts work. All routes may then
	// use the members.
	othersDown bool
}

// fits reports whether any member could ever hold a task of the job. Members may
// lack its label.
func (p partition) fits(j *job) bool {
	for a := range p.members {
		if a.fits(j) {
			return true
		}
	}
	return false
}

func newBulkheads() bulkheads {
	return bulkheads{routes: make(map[string]*bulkhead), demand: newArrivals[string](demandWindow)}
}

// confines reports whether a route is confined.
func (b *bulkheads) confines(route string) bool {
	return b.routes[route] != nil
}

// wantsCanary reports whether one task of a job is to be tried before the others.
func (b *bulkheads) wantsCanary(j *job) bool {
	r := b.routes[j.Route]
	return r != nil && !r.canariesFail && !j.cleared
}

// holds reports whether a job may use the minions of confined routes only.
func (c *Core) holds(j *job) bool {
	r := c.bulkheads.routes[j.Route]
	return r != nil && (r.canariesFail || !j.cleared || c.attributor.Probation(j.ID) > 0)
}

// opensTo reports whether an agent may be given work of a job, as far as the
// bulkheads are concerned.
func (c *Core) opensTo(a *agent, j *job) bool {
	p, partitioned := c.bulkheads.partitions[j.Service]
	if !partitioned {
		return true
	}
	if c.holds(j) {
		return p.members[a] || !p.fits(j)
	}
	return !p.members[a] || p.othersDown
}

// sameSide reports whether two jobs compete for the same minions.
func (c *Core) sameSide(j, o *job) bool {
	return j.Service == o.Service && (len(c.bulkheads.routes) == 0 || c.holds(j) == c.holds(o))
}

// observeVerdict confines the route of a task that crashed a minion, unless the
// crash is from long before this entry heard of it.
func (c *Core) observeVerdict(now, crashedAt time.Time, v attributor.Verdict) {
	if now.Sub(crashedAt) > releaseTimeout {
		return
	}
	b := &c.bulkheads
	r := b.routes[v.Route]
	if r == nil {
		r = &bulkhead{confinedAt: now, share: math.Max(bulkheadShare, b.demand.shareOf(now, v.Route))}
		b.routes[v.Route] = r
		b.partitionedAt = time.Time{}
		c.emit(RouteConfined{Route: v.Route, Share: r.share})
	}
	r.condemnedAt, r.successes = laterOf(r.condemnedAt, crashedAt), 0
	if !v.OnProbation && now.Sub(r.confinedAt) > canaryGrace {
		r.canariesFail = true
	}
}

// observeSuccess counts a job of a route that succeeded, and frees the route
// after enough of them.
func (c *Core) observeSuccess(now time.Time, route string) {
	if r := c.bulkheads.routes[route]; r != nil {
		if r.successes++; r.successes >= releaseProofs {
			c.release(now, route)
		}
	}
}

// release frees a route.
func (c *Core) release(now time.Time, route string) {
	b := &c.bulkheads
	successes := b.routes[route].successes
	delete(b.routes, route)
	b.partitionedAt = time.Time{}
	c.placementDue = true
	c.emit(RouteReleased{Route: route, Successes: successes})
	c.partition(now)
}

// partition divides the minions of each service while a route is confined.
func (c *Core) partition(now time.Time) {
	b := &c.bulkheads
	if len(b.routes) == 0 {
		b.partitions = nil
		return
	}
	if now.Sub(b.partitionedAt) < partitionInterval {
		return
	}
	b.partitionedAt = now
	share := 0.0
	for _, name := range slices.Sorted(maps.Keys(b.routes)) {
		r := b.routes[name]
		if now.Sub(r.condemnedAt) > releaseTimeout {
			c.release(now, name)
			return
		}
		share = math.Max(share, r.share)
	}
	byService := make(map[string][]*agent)
	for _, a := range c.sortedAgents {
		if a.link != 0 && !a.leaving && !a.minion.Draining && !a.evacuated {
			byService[a.minion.Service] = append(byService[a.minion.Service], a)
		}
	}
	b.partitions = make(map[string]partition)
	for service, agents := range byService {
		b.partitions[service] = divide(now, agents, share)
	}
}

// divide chooses the minions for confined routes: those that crashed lately, and
// then by a hash of the agent's name, so that entries choose alike.
func divide(now time.Time, agents []*agent, share float64) partition {
	slices.SortStableFunc(agents, func(x, y *agent) int {
		if crashedX, crashedY := x.crashedLately(now), y.crashedLately(now); crashedX != crashedY {
			if crashedX {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.rank, y.rank)
	})
	p := partition{members: make(map[*agent]bool), othersDown: true}
	size := max(1, int(share*float64(len(agents))))
	for i, a := range agents {
		if i < size {
			p.members[a] = true
		} else if a.acceptsWork() {
			p.othersDown = false
		}
	}
	return p
}

// crashedLately reports whether the minion has crashed within crashMemory.
func (a *agent) crashedLately(now time.Time) bool {
	return !a.crashedAt.IsZero() && now.Sub(a.crashedAt) < crashMemory
}

// rankOf returns the position of an agent among those of its service.
func rankOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // A hash returns no error.
	return h.Sum64()
}

// RouteConfined limits a route to a share of each service's minions, since its
// work crashes them.
type RouteConfined struct {
	Route string
	Share float64
}

// RouteReleased ends the limit, after so many jobs of the route succeeded.
type RouteReleased struct {
	Route     string
	Successes int
}

func (RouteConfined) command() {}
func (RouteReleased) command() {}

// demandOf returns the work of a job, in thousandths of a core times
// nanoseconds.
func demandOf(j *job) float64 {
	return float64(j.Count) * float64(j.Room.CPU) * float64(j.expectedWork)
}
