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

// largeSource serves revisions of many routes, each with a change of one pool.
type largeSource struct {
	*source

	routes []router.Route
}

func (s *largeSource) Advance(ctx context.Context, known historian.Configuration, head historian.Head) (historian.Configuration, error) {
	c, err := s.source.Advance(ctx, known, head)
	for i := range s.routes {
		s.routes[i].Pool = c.Pools[0].Name
	}
	c.Routes = s.routes
	return c, err
}

// BenchmarkCurrent reads the table in force, as each job does once.
func BenchmarkCurrent(b *testing.B) {
	f := start(&source{head: 1})
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

// BenchmarkChange brings one change among many routes into force. Its time
// includes the pause that a follower makes between two polls; its allocations
// are the figure.
func BenchmarkChange(b *testing.B) {
	for _, routes := range []int{10, 100, 2000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			s := &largeSource{source: &source{head: 1}, routes: make([]router.Route, routes)}
			for i := range s.routes {
				s.routes[i] = router.Route{Name: fmt.Sprintf("route-%d", i), PathPrefix: fmt.Sprintf("/service-%d", i)}
			}
			f := follower.New(follower.Options{Source: s})
			defer f.Close()
			b.ReportAllocs()
			for revision := uint64(2); b.Loop(); revision++ {
				s.set(func() { s.head = revision })
				f.Hear(revision)
				for f.Revision() < revision {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
}
