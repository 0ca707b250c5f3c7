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

// fakeSource serves revision head, whose only pool is named after the revision.
type fakeSource struct {
	mu   sync.Mutex
	head uint64
	// down makes reads fail as unavailable.
	down bool
	// hung makes Head block until its context ends.
	hung bool
	// gate blocks the first read of the head until it is closed; nil for none.
	gate chan struct{}
	// invalid is the revision whose configuration doesn't compile, or 0.
	invalid uint64
	// polls counts the calls of Head.
	polls int
	// lastAdvanceRevision is the known revision given to the last call of Advance.
	lastAdvanceRevision uint64
}

func (s *fakeSource) Head(ctx context.Context) (historian.Head, error) {
	if s.gate != nil {
		<-s.gate
	}
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

func (s *fakeSource) Advance(_ context.Context, known historian.Configuration, head historian.Head) (historian.Configuration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return historian.Configuration{}, fault.New(fault.Unavailable, "retry later", "down")
	}
	s.lastAdvanceRevision = known.Revision
	c := configurationAt(head.Revision)
	if head.Revision == s.invalid {
		c.Pools[0].QueueLimit = -1
	}
	return c, nil
}

// configurationAt returns the configuration of a revision of a fakeSource.
func configurationAt(revision uint64) historian.Configuration {
	return historian.Configuration{
		Revision: revision, Pools: []router.Pool{{Name: "pool-" + strconv.FormatUint(revision, 10)}},
	}
}

// update changes the source under its lock.
func (s *fakeSource) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func start(s *fakeSource) *follower.Follower { return startWithLog(s, io.Discard) }

func startWithLog(s *fakeSource, log io.Writer) *follower.Follower {
	return follower.New(follower.Options{
		Source: s, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.NewTextHandler(log, nil)),
	})
}

// runWithFollower runs a test with a follower of the source in a synctest
// bubble.
func runWithFollower(t *testing.T, s *fakeSource, test func(is *is.I, s *fakeSource, f *follower.Follower)) {
	synctest.Test(t, func(t *testing.T) {
		f := start(s)
		defer f.Close()
		test(is.New(t), s, f)
	})
}

// advance lets d pass on the clock of the bubble, and waits until all
// goroutines block.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestFollowsHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeSource{head: 3, gate: make(chan struct{})}
		f := start(s)
		defer f.Close()
		synctest.Wait() // The first poll is under way.
		is.True(!f.Ready())
		is.Equal(f.Revision(), uint64(0))
		close(s.gate)
		synctest.Wait()
		is.True(f.Ready())
		is.Equal(f.Revision(), uint64(3))
		s.update(func() { s.head = 4 })
		advance(2 * time.Second)
		is.Equal(f.Revision(), uint64(4))
		is.True(s.polls <= 4)
	})
}

func TestIgnoresOlderHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		s := &fakeSource{head: 3}
		f := startWithLog(s, &log)
		defer f.Close()
		synctest.Wait()
		s.update(func() { s.head = 2 })
		advance(10 * time.Second)
		is.Equal(f.Revision(), uint64(3))
		is.True(strings.Contains(log.String(), "The store went back"))
		s.update(func() { s.head = 5 })
		advance(2 * time.Second)
		is.Equal(f.Revision(), uint64(5))
	})
}

func TestAnnouncedRevisionIsPolledAtOnce(t *testing.T) {
	runWithFollower(t, &fakeSource{head: 3}, func(is *is.I, s *fakeSource, f *follower.Follower) {
		synctest.Wait()
		s.update(func() { s.head = 4 })
		f.NotifyRevision(4)
		is.True(f.Ready())
		advance(100 * time.Millisecond)
		is.Equal(f.Revision(), uint64(4))
	})
}

func TestStoreOutage(t *testing.T) {
	runWithFollower(t, &fakeSource{head: 3}, func(is *is.I, s *fakeSource, f *follower.Follower) {
		synctest.Wait()
		s.update(func() { s.down = true })
		advance(10 * time.Second)
		is.Equal(f.Revision(), uint64(3))
		is.True(f.Ready())
		is.True(!f.Stale())
		is.True(!f.StoreReachable())
		f.NotifyRevision(4)
		advance(time.Second)
		is.True(f.Stale())
		is.True(f.Ready())
		advance(follower.GracePeriod)
		is.True(!f.Ready())
		s.update(func() { s.down, s.head = false, 4 })
		advance(2 * time.Second)
		is.True(f.Ready())
		is.True(!f.Stale())
		is.Equal(f.Revision(), uint64(4))
	})
}

func TestNewFollowerHasNoGracePeriod(t *testing.T) {
	runWithFollower(t, &fakeSource{head: 3, down: true}, func(is *is.I, s *fakeSource, f *follower.Follower) {
		f.NotifyRevision(3)
		synctest.Wait()
		is.True(!f.Ready())
		is.True(f.Stale())
		s.update(func() { s.down = false })
		advance(2 * time.Second)
		is.True(f.Ready())
	})
}

func TestRefusedRevisionIsNotActivated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		s := &fakeSource{head: 3}
		f := startWithLog(s, &log)
		defer f.Close()
		synctest.Wait()
		s.update(func() { s.head, s.invalid = 4, 4 })
		advance(10 * time.Second)
		is.Equal(strings.Count(log.String(), "A revision is refused here"), 1)
		is.Equal(f.Revision(), uint64(3))
		is.True(f.Stale())
		is.True(!f.Ready())
		s.update(func() { s.head = 5 })
		advance(2 * time.Second)
		is.Equal(f.Revision(), uint64(5))
		is.True(f.Ready())
	})
}

func TestAnnouncedRevisionMissingFromStore(t *testing.T) {
	runWithFollower(t, &fakeSource{head: 3}, func(is *is.I, s *fakeSource, f *follower.Follower) {
		synctest.Wait()
		f.NotifyRevision(900)
		advance(time.Second)
		is.True(f.Ready())
		is.Equal(f.KnownRevision(), uint64(3))
		polls := s.polls
		for range 100 {
			f.NotifyRevision(900)
			advance(10 * time.Millisecond)
		}
		is.True(s.polls-polls <= 2)
	})
}
