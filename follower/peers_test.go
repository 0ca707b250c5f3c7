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

// fakePeers are other entries that offer snapshots.
type fakePeers struct {
	// replyDelay is how long some of the peers leave a request unanswered. They
	// are asked alternately after and before the others.
	replyDelay time.Duration
	mu         sync.Mutex
	offers     []historian.Snapshot
	// calls counts the calls of Ask.
	calls int
}

// Ask implements follower.Peers.
func (p *fakePeers) Ask(ctx context.Context, _ func() uint64) iter.Seq[follower.Offer] {
	return func(yield func(follower.Offer) bool) {
		p.mu.Lock()
		p.calls++
		delayFirst := p.calls%2 == 0
		p.mu.Unlock()
		if delayFirst {
			p.delay(ctx)
		}
		p.mu.Lock()
		offers := p.offers
		p.mu.Unlock()
		for _, offer := range offers {
			if !yield(follower.Offer{From: "entry-2", Snapshot: offer}) {
				return
			}
		}
		if !delayFirst {
			p.delay(ctx)
		}
	}
}

// delay waits for the reply delay or the end of ctx.
func (p *fakePeers) delay(ctx context.Context) {
	if p.replyDelay == 0 {
		return
	}
	timer := time.NewTimer(p.replyDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// offer sets the snapshots that the peers offer from now on.
func (p *fakePeers) offer(offers ...historian.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offers = offers
}

// startWithPeers starts a follower that asks the given peers while it can't
// read the source.
func startWithPeers(s follower.Source, p *fakePeers, log *bytes.Buffer) *follower.Follower {
	return follower.New(follower.Options{
		Source: s, Peers: p, Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.NewTextHandler(log, nil)),
	})
}

// TestFollowerAdoptsFromPeersWhileStoreHangs publishes at many points of the
// polling cycle. The store hangs, no revision is announced to the follower, and
// some of its peers don't answer.
func TestFollowerAdoptsFromPeersWhileStoreHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := &fakeSource{head: 3}, &fakePeers{replyDelay: 750 * time.Millisecond}
		f := startWithPeers(s, p, &bytes.Buffer{})
		defer f.Close()
		synctest.Wait()
		is.Equal(p.calls, 0) // The store answers.
		s.update(func() { s.hung = true })
		revision := uint64(3)
		for range 500 {
			revision++
			p.offer(historian.NewSnapshot(configurationAt(revision)))
			advance(propagationLimit)
			is.Equal(f.Revision(), revision)
			is.Equal(f.KnownRevision(), revision)
			is.True(f.Ready())
			is.True(!f.StoreReachable())
			advance(31 * time.Millisecond)
		}
		is.True(p.calls <= s.polls) // At most one round of requests for each poll.

		s.update(func() { s.hung, s.head = false, revision+1 })
		advance(propagationLimit)
		is.Equal(f.Revision(), revision+1)
		is.Equal(s.lastAdvanceRevision, revision) // It started from the adopted revision.
		is.True(f.StoreReachable())
	})
}

func TestUnresponsivePeersDontBlockPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := &fakeSource{head: 3, down: true}, &fakePeers{replyDelay: time.Hour}
		f := startWithPeers(s, p, &bytes.Buffer{})
		defer f.Close()
		advance(time.Second)
		is.True(p.calls > 0)
		s.update(func() { s.down = false })
		advance(propagationLimit)
		is.Equal(f.Revision(), uint64(3))
	})
}

func TestNewFollowerAdoptsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := &fakeSource{down: true}, &fakePeers{}
		f := startWithPeers(s, p, &bytes.Buffer{})
		defer f.Close()
		f.NotifyRevision(4)
		p.offer(historian.NewSnapshot(configurationAt(3)))
		advance(propagationLimit)
		is.Equal(f.Revision(), uint64(3))
		is.True(!f.Ready()) // It knows that revision 4 exists.
		p.offer(historian.NewSnapshot(configurationAt(4)))
		advance(propagationLimit)
		is.True(f.Ready())
		is.Equal(f.Snapshot(), historian.NewSnapshot(configurationAt(4)))
	})
}

func TestInvalidOffersAreRefused(t *testing.T) {
	valid := historian.NewSnapshot(configurationAt(4))
	invalid := configurationAt(4)
	invalid.Pools[0].QueueLimit = -1
	modified := func(change func(s *historian.Snapshot)) historian.Snapshot {
		s := valid
		change(&s)
		return s
	}
	cases := []struct {
		name    string
		offer   historian.Snapshot
		wantLog string
	}{
		{"older", historian.NewSnapshot(configurationAt(2)), "revision 2 is not newer than 3"},
		{"the same revision", historian.NewSnapshot(configurationAt(3)), "revision 3 is not newer than 3"},
		{"not in the store", historian.NewSnapshot(configurationAt(900)), "revision 900 was not in the store"},
		{"empty", modified(func(s *historian.Snapshot) { s.Value = nil }), "can't be read"},
		{"truncated", modified(func(s *historian.Snapshot) { s.Value = s.Value[:len(s.Value)-1] }), "can't be read"},
		{"corrupt compression", modified(func(s *historian.Snapshot) { s.Value = []byte("\x01\xff\xff") }), "can't be unpacked"},
		{"too large", modified(func(s *historian.Snapshot) { s.Value = make([]byte, historian.MaxSnapshotBytes+1) }), "exceeds"},
		{"digest mismatch", modified(func(s *historian.Snapshot) { s.Digest[0]++ }), "the digest of the snapshot differs"},
		{"invalid content", historian.NewSnapshot(invalid), "queue limit"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var log bytes.Buffer
				s, p := &fakeSource{head: 3}, &fakePeers{}
				f := startWithPeers(s, p, &log)
				defer f.Close()
				synctest.Wait()
				f.NotifyRevision(900) // The store has no such revision.
				advance(time.Second)
				s.update(func() { s.down = true })
				before := f.Current()
				p.offer(tc.offer)
				advance(propagationLimit)
				is.True(p.calls > 0)
				is.True(f.Current() == before)
				is.Equal(f.KnownRevision(), uint64(3))
				is.True(strings.Contains(log.String(), "The configuration of another entry is refused"))
				is.True(strings.Contains(log.String(), tc.wantLog))
				p.offer(tc.offer, valid) // An invalid offer doesn't prevent a valid one.
				advance(propagationLimit)
				is.Equal(f.Revision(), uint64(4))
			})
		})
	}
}

// TestStoreOverridesPeers has another entry offer a first revision that differs
// from the one in the store.
func TestStoreOverridesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.NewTable(emulator.Options{})
		connection, p := &storeConnection{Table: store}, &fakePeers{}
		connection.cut.Store(true)
		f := startWithPeers(historian.New(connection), p, &bytes.Buffer{})
		defer f.Close()
		p.offer(historian.NewSnapshot(historian.Configuration{Revision: 1, Pools: []router.Pool{{Name: "other"}}}))
		advance(propagationLimit)
		is.Equal(f.Revision(), uint64(1))
		publishPool(t, store, 0, "a")
		publishPool(t, store, 1, "b")
		connection.cut.Store(false)
		advance(propagationLimit)
		is.Equal(f.Revision(), uint64(2))
		_, other := f.Current().Pool("other")
		_, first := f.Current().Pool("a")
		is.True(!other && first)
	})
}
