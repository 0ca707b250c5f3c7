package follower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"agatevalve/follower"
	"agatevalve/historian"
	"agatevalve/router"
)

// largeSource serves revisions with many routes. Each revision renames the only
// pool, and with it the pool of every route.
type largeSource struct {
	*fakeSource

	routes []router.Route
}

func (s *largeSource) Advance(ctx context.Context, known historian.Configuration, head historian.Head) (historian.Configuration, error) {
	c, err := s.fakeSource.Advance(ctx, known, head)
	for i := range s.routes {
		s.routes[i].Pool = c.Pools[0].Name
	}
	c.Routes = s.routes
	return c, err
}

// BenchmarkCurrent reads the table in force, which happens once for each job.
func BenchmarkCurrent(b *testing.B) {
	f := start(&fakeSource{head: 1})
	defer f.Close()
	for _, tasks := range []int{1, 10, 100, 1300} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if f.Current() == nil {
					b.Fatal("no table")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tasks), "ns/start")
		})
	}
}

// BenchmarkChange brings a revision with many routes into force. Its time
// includes the minimum delay between two polls, so only its allocations count.
func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{10, 100, 2000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			s := &largeSource{fakeSource: &fakeSource{head: 1}, routes: make([]router.Route, routes)}
			for i := range s.routes {
				s.routes[i] = router.Route{Name: fmt.Sprintf("route-%d", i), PathPrefix: fmt.Sprintf("/service-%d", i)}
			}
			f := follower.New(follower.Options{Source: s})
			defer f.Close()
			b.ReportAllocs()
			for revision := uint64(2); b.Loop(); revision++ {
				s.update(func() { s.head = revision })
				f.NotifyRevision(revision)
				for f.Revision() < revision {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
}
