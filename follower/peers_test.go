package follower_test

import (
	"bytes"
	"context"
	"iter"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/emulator"
	"agatevalve/follower"
	"agatevalve/historian"
	"agatevalve/router"
)

// peers are other entries, each with what it offers.
type peers struct {
	// silence is the time that some give no answer. They are asked after the
	// others and before them in turn.
	silence time.Duration
	mu      sync.Mutex
	offers  []historian.Snapshot
	asked   int
}

// Ask implements follower.Peers.
func (p *peers) Ask(ctx context.Context, _ func() uint64) iter.Seq[follower.Offer] {
	return func(yield func(follower.Offer) bool) {
		p.mu.Lock()
		p.asked++
		last := p.asked%2 == 0
		p.mu.Unlock()
		if last {
			p.wait(ctx)
		}
		p.mu.Lock()
		offers := p.offers
		p.mu.Unlock()
		for _, offer := range offers {
			if !yield(follower.Offer{From: "entry-2", Snapshot: offer}) {
				return
			}
		}
		if !last {
			p.wait(ctx)
		}
	}
}

func (p *peers) wait(ctx context.Context) {
	if p.silence == 0 {
		return
	}
	silence := time.NewTimer(p.silence)
	defer silence.Stop()
	select {
	case <-silence.C:
	case <-ctx.Done():
	}
}

func (p *peers) offer(offers ...historian.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offers = offers
}

func startBeside(s follower.Source, p *peers, log *bytes.Buffer) *follower.Follower {
	return follower.New(follower.Options{
		Source: s, Peers: p, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.NewTextHandler(log, nil)),
	})
}

// TestCutOffFollowerTakesFromPeers publishes at many moments of the poll, to a
// follower whose store hangs, to which nobody mentions a revision, and some of
// whose peers are silent.
func TestCutOffFollowerTakesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := &source{head: 3}, &peers{silence: 750 * time.Millisecond}
		f := startBeside(s, p, &bytes.Buffer{})
		defer f.Close()
		synctest.Wait()
		is.Equal(p.asked, 0) // The store answers.
		s.set(func() { s.hung = true })
		revision := uint64(3)
		for range 500 {
			revision++
			p.offer(historian.NewSnapshot(contentOf(revision)))
			after(inForceWithin)
			is.Equal(f.Revision(), revision)
			is.Equal(f.Known(), revision)
			is.True(f.Ready())
			is.True(!f.Reachable())
			after(31 * time.Millisecond)
		}
		is.True(p.asked <= s.polls) // One round of questions a poll at most.

		s.set(func() { s.hung, s.head = false, revision+1 })
		after(inForceWithin)
		is.Equal(f.Revision(), revision+1)
		is.Equal(s.from, revision) // It went on from what it took.
		is.True(f.Reachable())
	})
}

func TestSilentPeersDontHoldTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := &source{head: 3, down: true}, &peers{silence: time.Hour}
		f := startBeside(s, p, &bytes.Buffer{})
		defer f.Close()
		after(time.Second)
		is.True(p.asked > 0)
		s.set(func() { s.down = false })
		after(inForceWithin)
		is.Equal(f.Revision(), uint64(3))
	})
}

func TestNewFollowerTakesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := &source{down: true}, &peers{}
		f := startBeside(s, p, &bytes.Buffer{})
		defer f.Close()
		f.Hear(4)
		p.offer(historian.NewSnapshot(contentOf(3)))
		after(inForceWithin)
		is.Equal(f.Revision(), uint64(3))
		is.True(!f.Ready()) // It knows that it is behind.
		p.offer(historian.NewSnapshot(contentOf(4)))
		after(inForceWithin)
		is.True(f.Ready())
		is.Equal(f.Snapshot(), historian.NewSnapshot(contentOf(4)))
	})
}

func TestUnsoundOffersAreRefused(t *testing.T) {
	sound := historian.NewSnapshot(contentOf(4))
	broken := contentOf(4)
	broken.Pools[0].QueueLimit = -1
	changed := func(change func(s *historian.Snapshot)) historian.Snapshot {
		s := sound
		change(&s)
		return s
	}
	cases := []struct {
		name  string
		offer historian.Snapshot
		says  string
	}{
		{"older", historian.NewSnapshot(contentOf(2)), "revision 2 is not newer than 3"},
		{"the same", historian.NewSnapshot(contentOf(3)), "revision 3 is not newer than 3"},
		{"not in the store", historian.NewSnapshot(contentOf(900)), "revision 900 was not in the store"},
		{"empty", changed(func(s *historian.Snapshot) { s.Value = nil }), "can't be read"},
		{"truncated", changed(func(s *historian.Snapshot) { s.Value = s.Value[:len(s.Value)-1] }), "can't be read"},
		{"not unpacked", changed(func(s *historian.Snapshot) { s.Value = []byte("\x01\xff\xff") }), "can't be unpacked"},
		{"too large", changed(func(s *historian.Snapshot) { s.Value = make([]byte, historian.MostSnapshotBytes+1) }), "exceeds"},
		{"another content", changed(func(s *historian.Snapshot) { s.Digest[0]++ }), "the digest of the snapshot differs"},
		{"not sound", historian.NewSnapshot(broken), "queue limit"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var log bytes.Buffer
				s, p := &source{head: 3}, &peers{}
				f := startBeside(s, p, &log)
				defer f.Close()
				synctest.Wait()
				f.Hear(900) // The store has no such revision.
				after(time.Second)
				s.set(func() { s.down = true })
				before := f.Current()
				p.offer(tc.offer)
				after(inForceWithin)
				is.True(p.asked > 0)
				is.True(f.Current() == before)
				is.Equal(f.Known(), uint64(3))
				is.True(strings.Contains(log.String(), "The configuration of another entry is refused"))
				is.True(strings.Contains(log.String(), tc.says))
				p.offer(tc.offer, sound) // One bad entry hides no good one.
				after(inForceWithin)
				is.Equal(f.Revision(), uint64(4))
			})
		})
	}
}

// TestStoreSettlesWhatPeersSaid has another entry offer a first revision that
// is not the store's.
func TestStoreSettlesWhatPeersSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.NewTable(emulator.Options{})
		g, p := &gate{Table: store}, &peers{}
		g.cut.Store(true)
		f := startBeside(historian.New(g), p, &bytes.Buffer{})
		defer f.Close()
		p.offer(historian.NewSnapshot(historian.Configuration{Revision: 1, Pools: []router.Pool{{Name: "other"}}}))
		after(inForceWithin)
		is.Equal(f.Revision(), uint64(1))
		publishOne(t, store, 0, "a")
		publishOne(t, store, 1, "b")
		g.cut.Store(false)
		after(inForceWithin)
		is.Equal(f.Revision(), uint64(2))
		_, other := f.Current().Pool("other")
		_, first := f.Current().Pool("a")
		is.True(!other && first)
	})
}
