package follower_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/emulator"
	"agatevalve/follower"
	"agatevalve/historian"
	"agatevalve/publisher"
	"agatevalve/router"
	"agatevalve/tabler"
)

// failureRecorder records the failures that an oracle reports.
type failureRecorder struct{ failures []string }

// Fatalf implements failer.
func (r *failureRecorder) Fatalf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// staleTable reads from old once that is set, instead of from the current
// table.
type staleTable struct {
	tabler.Table
	old atomic.Pointer[emulator.Table]
}

// Read implements tabler.Table.
func (s *staleTable) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	if old := s.old.Load(); old != nil {
		return old.Read(ctx, keys)
	}
	return s.Table.Read(ctx, keys)
}

// addFollower adds a follower of the table to the world.
func addFollower(w *world, table tabler.Table) *trackedFollower {
	connection := &storeConnection{Table: table}
	f := follower.New(follower.Options{Source: historian.New(connection), Random: rand.New(rand.NewPCG(1, 1))})
	tracked := &trackedFollower{Follower: f, connection: connection}
	w.followers = append(w.followers, tracked)
	return tracked
}

// publishPool publishes a revision that adds a pool.
func publishPool(t *testing.T, table tabler.Table, base uint64, name string) {
	t.Helper()
	p := publisher.New(publisher.Options{
		Table: table,
		Now:   time.Now,
		Token: func() historian.Token { return historian.Token(name) },
		Pause: func(ctx context.Context) error { return ctx.Err() },
	})
	pool := historian.Change[router.Pool]{Name: name, After: &router.Pool{Name: name}}
	_, err := p.Publish(context.Background(), publisher.Edit{
		Author: publisher.Author{Who: "ana", Why: "plant"}, Base: base,
		Changes: historian.Changes{Pools: []historian.Change[router.Pool]{pool}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestOracleDetectsStaleFollower has one of two followers read an old head for
// ever, and expects expectConverged to report it.
func TestOracleDetectsStaleFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{store: emulator.NewTable(emulator.Options{})}
		old := emulator.NewTable(emulator.Options{})
		stale := &staleTable{Table: w.store}
		defer addFollower(w, w.store).Close()
		defer addFollower(w, stale).Close()
		publishPool(t, w.store, 0, "a")
		publishPool(t, old, 0, "a")
		var before failureRecorder
		w.expectConverged(&before)
		is.Equal(before.failures, nil)

		stale.old.Store(old)
		publishPool(t, w.store, 1, "b")
		var after failureRecorder
		w.expectConverged(&after)
		is.Equal(len(after.failures), 1)
		is.True(strings.Contains(after.failures[0], "follower 1: revision 1, head 2"))
	})
}

// TestOracleDetectsOlderRevision replaces an up-to-date follower by one that is
// behind, and expects expectConsistent to report it.
func TestOracleDetectsOlderRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{store: emulator.NewTable(emulator.Options{})}
		ahead, behind := addFollower(w, w.store), addFollower(w, w.store)
		defer ahead.Close()
		defer behind.Close()
		publishPool(t, w.store, 0, "a")
		w.expectConverged(t)
		behind.connection.cut.Store(true)
		publishPool(t, w.store, 1, "b")
		time.Sleep(propagationLimit)
		var before failureRecorder
		w.expectConsistent(&before)
		is.Equal(before.failures, nil)

		w.followers[0] = &trackedFollower{Follower: behind.Follower, connection: behind.connection, highest: ahead.highest}
		var after failureRecorder
		w.expectConsistent(&after)
		is.Equal(len(after.failures), 1)
		is.True(strings.Contains(after.failures[0], "went back from 2 to 1"))
	})
}
