package follower_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/follower"
	"agatevalve/historian"
	"agatevalve/router"
)

// source serves the revision head, with one pool that names it.
type source struct {
	mu   sync.Mutex
	head uint64
	down bool
	// hung makes the source wait until it is given up.
	hung  bool
	bad   uint64
	polls int
	// from is what the last Advance began with.
	from uint64
}

func (s *source) Head(ctx context.Context) (historian.Head, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls++
	if s.hung {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return historian.Head{}, ctx.Err()
	}
	if s.down {
		return historian.Head{}, fault.New(fault.Unavailable, "retry later", "down")
	}
	return historian.Head{Revision: s.head}, nil
}

func (s *source) Advance(_ context.Context, known historian.Configuration, head historian.Head) (historian.Configuration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return historian.Configuration{}, fault.New(fault.Unavailable, "retry later", "down")
	}
	s.from = known.Revision
	c := contentOf(head.Revision)
	if head.Revision == s.bad {
		c.Pools[0].QueueLimit = -1
	}
	return c, nil
}

// contentOf returns the configuration of a revision.
func contentOf(revision uint64) historian.Configuration {
	return historian.Configuration{
		Revision: revision, Pools: []router.Pool{{Name: "pool-" + strconv.FormatUint(revision, 10)}},
	}
}

// set changes the source under its lock.
func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func start(s *source) *follower.Follower { return startLogged(s, io.Discard) }

func startLogged(s *source, log io.Writer) *follower.Follower {
	return follower.New(follower.Options{
		Source: s, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.NewTextHandler(log, nil)),
	})
}

// following runs a test in a bubble with a follower of a source.
func following(t *testing.T, s *source, test func(is *is.I, s *source, f *follower.Follower)) {
	synctest.Test(t, func(t *testing.T) {
		f := start(s)
		defer f.Close()
		test(is.New(t), s, f)
	})
}

func after(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestFollows(t *testing.T) {
	following(t, &source{head: 3}, func(is *is.I, s *source, f *follower.Follower) {
		is.True(!f.Ready())
		is.Equal(f.Revision(), uint64(0))
		synctest.Wait()
		is.True(f.Ready())
		is.Equal(f.Revision(), uint64(3))
		s.set(func() { s.head = 4 })
		after(2 * time.Second)
		is.Equal(f.Revision(), uint64(4))
		is.True(s.polls <= 4)
	})
}

func TestNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		s := &source{head: 3}
		f := startLogged(s, &log)
		defer f.Close()
		synctest.Wait()
		s.set(func() { s.head = 2 })
		after(10 * time.Second)
		is.Equal(f.Revision(), uint64(3))
		is.True(strings.Contains(log.String(), "The store went back"))
		s.set(func() { s.head = 5 })
		after(2 * time.Second)
		is.Equal(f.Revision(), uint64(5))
	})
}

func TestHearingPollsAtOnce(t *testing.T) {
	following(t, &source{head: 3}, func(is *is.I, s *source, f *follower.Follower) {
		synctest.Wait()
		s.set(func() { s.head = 4 })
		f.Hear(4)
		is.True(f.Ready())
		after(100 * time.Millisecond)
		is.Equal(f.Revision(), uint64(4))
	})
}

func TestOutage(t *testing.T) {
	following(t, &source{head: 3}, func(is *is.I, s *source, f *follower.Follower) {
		synctest.Wait()
		s.set(func() { s.down = true })
		after(10 * time.Second)
		is.Equal(f.Revision(), uint64(3))
		is.True(f.Ready())
		is.True(!f.Stale())
		is.True(!f.Reachable())
		f.Hear(4)
		after(time.Second)
		is.True(f.Stale())
		is.True(f.Ready())
		after(follower.Grace)
		is.True(!f.Ready())
		s.set(func() { s.down, s.head = false, 4 })
		after(2 * time.Second)
		is.True(f.Ready())
		is.True(!f.Stale())
		is.Equal(f.Revision(), uint64(4))
	})
}

func TestNewFollowerHasNoGrace(t *testing.T) {
	following(t, &source{head: 3, down: true}, func(is *is.I, s *source, f *follower.Follower) {
		f.Hear(3)
		synctest.Wait()
		is.True(!f.Ready())
		is.True(f.Stale())
		s.set(func() { s.down = false })
		after(2 * time.Second)
		is.True(f.Ready())
	})
}

func TestRefusedRevisionIsNotSwappedIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		s := &source{head: 3}
		f := startLogged(s, &log)
		defer f.Close()
		synctest.Wait()
		s.set(func() { s.head, s.bad = 4, 4 })
		after(10 * time.Second)
		is.Equal(strings.Count(log.String(), "A revision is refused here"), 1)
		is.Equal(f.Revision(), uint64(3))
		is.True(f.Stale())
		is.True(!f.Ready())
		s.set(func() { s.head = 5 })
		after(2 * time.Second)
		is.Equal(f.Revision(), uint64(5))
		is.True(f.Ready())
	})
}

func TestRevisionThatIsNotInTheStore(t *testing.T) {
	following(t, &source{head: 3}, func(is *is.I, s *source, f *follower.Follower) {
		synctest.Wait()
		f.Hear(900)
		after(time.Second)
		is.True(f.Ready())
		is.Equal(f.Known(), uint64(3))
		polls := s.polls
		for range 100 {
			f.Hear(900)
			after(10 * time.Millisecond)
		}
		is.True(s.polls-polls <= 2)
	})
}
