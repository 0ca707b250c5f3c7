package surveyor

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"agatevalve/common/task"
	"agatevalve/follower"
	"agatevalve/historian"
	"agatevalve/publisher"
	"agatevalve/router"
	"agatevalve/tabler"
)

const (
	// routesPerPool is the number of routes that share a pool.
	routesPerPool = 4
	teamsPerPool  = 4
	// changesPerPoint is the number of changes that a point averages over.
	changesPerPoint = 16
	// maxInForceChanges is the number of changes measured at each size of
	// change-in-force; a scaled-down survey measures fewer.
	maxInForceChanges = 3
)

var author = publisher.Author{Who: "surveyor", Why: "measure a change"}

// publishCount numbers the publishes, to give each a unique token.
var publishCount atomic.Uint64

// publish publishes changes as the given revision. It doesn't pause between
// retries.
func publish(ctx context.Context, table tabler.Table, revision uint64, changes historian.Changes) error {
	p := publisher.New(publisher.Options{
		Table: table,
		Now:   time.Now,
		Token: func() historian.Token { return historian.Token(fmt.Sprintf("survey-%d", publishCount.Add(1))) },
		Pause: func(ctx context.Context) error { return ctx.Err() },
	})
	_, err := p.Publish(ctx, publisher.Edit{Author: author, Base: revision - 1, Changes: changes})
	return err
}

// newPoolChange returns a change that sets the slots per minion of one pool.
func newPoolChange(number int) historian.Changes {
	pool := router.Pool{Name: poolNameOf(0), SlotsPerMinion: number}
	return historian.Changes{Pools: []historian.Change[router.Pool]{{Name: pool.Name, After: &pool}}}
}

func poolNameOf(i int) string { return fmt.Sprintf("pool-%04d", i) }

// newRoutes returns n routes with varied settings.
func newRoutes(n int) []router.Route {
	routes := make([]router.Route, n)
	for i := range routes {
		routes[i] = router.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: fmt.Sprintf("desk-%d.example", i%40),
			PathPrefix: fmt.Sprintf("/service-%d/version-%d", i, i%5), Pool: poolNameOf(i / routesPerPool),
			WasteWeight: i % 100, AnswerWithin: time.Duration(1+i%9) * time.Second,
		}
	}
	return routes
}

// newPools returns n pools with teamsPerPool quotas each.
func newPools(n int) []router.Pool {
	pools := make([]router.Pool, n)
	for i := range pools {
		pools[i] = router.Pool{Name: poolNameOf(i), SlotsPerMinion: 8 + i%7, QueueLimit: 100 * i}
		for t := range teamsPerPool {
			quota := router.Quota{Team: task.Team(fmt.Sprintf("team-%02d", (i+5*t)%27)), Weight: 1 + (i+t)%9}
			pools[i].Quotas = append(pools[i].Quotas, quota)
		}
	}
	return pools
}

func newConfiguration(routes int) (historian.Configuration, error) {
	return historian.NewConfiguration(1, newRoutes(routes), newPools(routes/routesPerPool+1))
}

// tables measures the memory of the routes and pools that an entry keeps.
func (s *survey) tables(context.Context) ([]Slope, error) {
	shape := fmt.Sprintf("one pool with %d quotas for each %d routes", teamsPerPool, routesPerPool)
	slopes := []Slope{
		{
			Name: "route-memory", Unit: unitBytes, SizeUnit: "route",
			Method: "live heap of a configuration and its compiled table; " + shape,
		},
		{
			Name: "pool-memory", Unit: unitBytes, SizeUnit: "pool",
			Method: fmt.Sprintf("live heap of a compiled table of pools with %d quotas and no routes", teamsPerPool),
		},
	}
	type kept struct {
		configuration historian.Configuration
		table         *router.Table
	}
	return collect(slopes, s.scaleSizes(250, 500, 1000, 2000), func(n int) ([]float64, error) {
		routes, err := measureMemory(func() (*kept, error) {
			c, err := newConfiguration(n)
			if err != nil {
				return nil, err
			}
			table, err := c.Compile()
			return &kept{c, table}, err
		})
		if err != nil {
			return nil, err
		}
		pools, err := measureMemory(func() (*router.Table, error) { return router.Compile(1, nil, newPools(n)) })
		return []float64{routes, pools}, err
	})
}

// changes measures publishing a change of one pool, and adopting it at an entry's
// follower.
func (s *survey) changes(ctx context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "change-bytes", Unit: unitBytes, SizeUnit: "route",
			Method: "bytes both ways of one change of one row at one entry, over an open connection, with the poll that finds it",
		},
		{
			Name: "change-time", Unit: unitMicroseconds, SizeUnit: "route",
			Method: "processor time of one change at one entry: poll, read, digest, compile and swap, the stand-in's reads included",
		},
		{
			Name: "publish-bytes", Unit: unitBytes, SizeUnit: "route",
			Method: "bytes both ways of one publish of one row by the operators' command, snapshots included in their turn",
		},
	}
	return collect(slopes, s.scaleSizes(250, 500, 1000, 2000), func(n int) ([]float64, error) {
		st, err := newStore(ctx)
		if err != nil {
			return nil, err
		}
		defer st.close()
		c, err := newConfiguration(n)
		if err != nil {
			return nil, err
		}
		if err := publish(ctx, st.table, 1, historian.Diff(historian.Configuration{}, c)); err != nil {
			return nil, err
		}
		return measureChanges(ctx, st)
	})
}

// measureChanges publishes changesPerPoint changes, and returns the mean bytes and
// processor time of adopting one, and the mean bytes of publishing one.
func measureChanges(ctx context.Context, st *store) ([]float64, error) {
	f := follower.New(follower.Options{Source: historian.New(st.client), Interval: farFuture})
	defer f.Close()
	if err := waitUntil(ctx, func() bool { return f.Revision() == 1 }); err != nil {
		return nil, err
	}
	var changeBytes, changeTime, publishBytes float64
	for i := range changesPerPoint {
		revision := uint64(i) + 2
		bytes, _, err := st.measureCalls(1, func() error { return publish(ctx, st.client, revision, newPoolChange(i+100)) })
		if err != nil {
			return nil, err
		}
		publishBytes += bytes
		bytes, cpuTime, err := st.measureCalls(1, func() error {
			f.NotifyRevision(revision)
			return waitUntil(ctx, func() bool { return f.Revision() == revision })
		})
		if err != nil {
			return nil, err
		}
		changeBytes += bytes
		changeTime += cpuTime
	}
	return []float64{changeBytes / changesPerPoint, changeTime / changesPerPoint, publishBytes / changesPerPoint}, nil
}

// changesInForce measures the time from a publish until all of several entries
// have adopted the change by polling.
func (s *survey) changesInForce(ctx context.Context) ([]Slope, error) {
	slope := Slope{
		Name: "change-in-force", Unit: "milliseconds", SizeUnit: "entry",
		Method: fmt.Sprintf("longest of up to %d times from the end of a publish until all entries have the change in force, by polls alone", maxInForceChanges),
	}
	return collect([]Slope{slope}, s.scaleSizes(4, 8, 16, 32), func(n int) ([]float64, error) {
		table := fastTable()
		if err := publish(ctx, table, 1, newPoolChange(1)); err != nil {
			return nil, err
		}
		var followers []*follower.Follower
		defer func() {
			for _, f := range followers {
				f.Close()
			}
		}()
		for range n {
			followers = append(followers, follower.New(follower.Options{Source: historian.New(table)}))
		}
		longest := time.Duration(0)
		for round := range max(1, int(maxInForceChanges*s.scale)) {
			revision := uint64(round) + 2
			if err := publish(ctx, table, revision, newPoolChange(int(revision))); err != nil {
				return nil, err
			}
			began := time.Now()
			if err := awaitRevision(ctx, followers, revision); err != nil {
				return nil, err
			}
			longest = max(longest, time.Since(began))
		}
		return []float64{float64(longest) / float64(time.Millisecond)}, nil
	})
}

// awaitRevision waits until all followers have reached a revision.
func awaitRevision(ctx context.Context, followers []*follower.Follower, revision uint64) error {
	return waitUntil(ctx, func() bool {
		for _, f := range followers {
			if f.Revision() < revision {
				return false
			}
		}
		return true
	})
}
