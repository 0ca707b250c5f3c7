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
	// poolsPerRoute is the inverse of the pools for each route.
	poolsPerRoute = 4
	teamsPerPool  = 4
	// changesTimed is how many changes one figure covers.
	changesTimed = 16
	// roundsInForce is how many changes are waited for at each size.
	roundsInForce = 3
)

var author = publisher.Author{Who: "surveyor", Why: "measure a change"}

// tokens makes the token of each publish its own.
var tokens atomic.Uint64

func publish(ctx context.Context, table tabler.Table, base uint64, changes historian.Changes) error {
	p := publisher.New(publisher.Options{
		Table: table,
		Now:   time.Now,
		Token: func() historian.Token { return historian.Token(fmt.Sprintf("survey-%d", tokens.Add(1))) },
		Pause: func(ctx context.Context) error { return ctx.Err() },
	})
	_, err := p.Publish(ctx, publisher.Edit{Author: author, Base: base - 1, Changes: changes})
	return err
}

// changeOf changes one pool.
func changeOf(number int) historian.Changes {
	pool := router.Pool{Name: poolNameOf(0), SlotsPerMinion: number}
	return historian.Changes{Pools: []historian.Change[router.Pool]{{Name: pool.Name, After: &pool}}}
}

func poolNameOf(i int) string { return fmt.Sprintf("pool-%04d", i) }

func routesOf(n int) []router.Route {
	routes := make([]router.Route, n)
	for i := range routes {
		routes[i] = router.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: fmt.Sprintf("desk-%d.example", i%40),
			PathPrefix: fmt.Sprintf("/service-%d/version-%d", i, i%5), Pool: poolNameOf(i / poolsPerRoute),
			WasteWeight: i % 100, AnswerWithin: time.Duration(1+i%9) * time.Second,
		}
	}
	return routes
}

func poolsOf(n int) []router.Pool {
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

func configurationOf(routes int) (historian.Configuration, error) {
	return historian.NewConfiguration(1, routesOf(routes), poolsOf(routes/poolsPerRoute+1))
}

// tables measures the routes and pools that an entry keeps.
func (s *survey) tables(context.Context) ([]Slope, error) {
	shape := fmt.Sprintf("one pool with %d quotas for each %d routes", teamsPerPool, poolsPerRoute)
	slopes := []Slope{
		{
			Name: "route-memory", Unit: unitBytes, Per: "route",
			Method: "live heap of a configuration and its compiled table; " + shape,
		},
		{
			Name: "pool-memory", Unit: unitBytes, Per: "pool",
			Method: fmt.Sprintf("live heap of a compiled table of pools with %d quotas and no routes", teamsPerPool),
		},
	}
	type kept struct {
		configuration historian.Configuration
		table         *router.Table
	}
	return collect(slopes, s.sizes(250, 500, 1000, 2000), func(n int) ([]float64, error) {
		routes, err := held(func() (*kept, error) {
			c, err := configurationOf(n)
			if err != nil {
				return nil, err
			}
			table, err := c.Compile()
			return &kept{c, table}, err
		})
		if err != nil {
			return nil, err
		}
		pools, err := held(func() (*router.Table, error) { return router.Compile(1, nil, poolsOf(n)) })
		return []float64{routes, pools}, err
	})
}

// changes measures a change of one pool at an entry that follows.
func (s *survey) changes(ctx context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "change-bytes", Unit: unitBytes, Per: "route",
			Method: "bytes both ways of one change of one row at one entry, over an open connection, with the poll that finds it",
		},
		{
			Name: "change-time", Unit: unitTime, Per: "route",
			Method: "processor time of one change at one entry: poll, read, digest, compile and swap, the stand-in's reads included",
		},
		{
			Name: "publish-bytes", Unit: unitBytes, Per: "route",
			Method: "bytes both ways of one publish of one row by the operators' command, snapshots included in their turn",
		},
	}
	return collect(slopes, s.sizes(250, 500, 1000, 2000), func(n int) ([]float64, error) {
		st, err := newStore(ctx)
		if err != nil {
			return nil, err
		}
		defer st.close()
		c, err := configurationOf(n)
		if err != nil {
			return nil, err
		}
		if err := publish(ctx, st.table, 1, historian.Diff(historian.Configuration{}, c)); err != nil {
			return nil, err
		}
		return measureChanges(ctx, st)
	})
}

func measureChanges(ctx context.Context, st *store) ([]float64, error) {
	f := follower.New(follower.Options{Source: historian.New(st.client), Interval: farAhead})
	defer f.Close()
	if err := await(ctx, func() bool { return f.Revision() == 1 }); err != nil {
		return nil, err
	}
	var changeBytes, changeTime, publishBytes float64
	for i := range changesTimed {
		revision := uint64(i) + 2
		bytes, _, err := st.measured(1, func() error { return publish(ctx, st.client, revision, changeOf(i+100)) })
		if err != nil {
			return nil, err
		}
		publishBytes += bytes
		bytes, spent, err := st.measured(1, func() error {
			f.NotifyRevision(revision)
			return await(ctx, func() bool { return f.Revision() == revision })
		})
		if err != nil {
			return nil, err
		}
		changeBytes += bytes
		changeTime += spent
	}
	return []float64{changeBytes / changesTimed, changeTime / changesTimed, publishBytes / changesTimed}, nil
}

// changesInForce measures how long a change takes to be in force at all of
// several entries that poll.
func (s *survey) changesInForce(ctx context.Context) ([]Slope, error) {
	slope := Slope{
		Name: "change-in-force", Unit: "milliseconds", Per: "entry",
		Method: fmt.Sprintf("longest of up to %d times from the end of a publish until all entries have the change in force, by polls alone", roundsInForce),
	}
	return collect([]Slope{slope}, s.sizes(4, 8, 16, 32), func(n int) ([]float64, error) {
		table := fastTable()
		if err := publish(ctx, table, 1, changeOf(1)); err != nil {
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
		for round := range max(1, int(roundsInForce*s.scale)) {
			revision := uint64(round) + 2
			if err := publish(ctx, table, revision, changeOf(int(revision))); err != nil {
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

func awaitRevision(ctx context.Context, followers []*follower.Follower, revision uint64) error {
	return await(ctx, func() bool {
		for _, f := range followers {
			if f.Revision() < revision {
				return false
			}
		}
		return true
	})
}
