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

// record keeps what a judge is told.
type record struct{ broken []string }

// Fatalf implements judge.
func (r *record) Fatalf(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// staleTable answers reads with what the store held when it went stale.
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

func join(w *world, table tabler.Table) *member {
	g := &gate{Table: table}
	f := follower.New(follower.Options{Source: historian.New(g), Random: rand.New(rand.NewPCG(1, 1))})
	m := &member{Follower: f, gate: g}
	w.members = append(w.members, m)
	return m
}

// publishOne brings one pool into the configuration.
func publishOne(t *testing.T, table tabler.Table, base uint64, name string) {
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

// TestOracleCatchesAConfigurationNotInForce has a store that serves an old head
// to one follower for ever.
func TestOracleCatchesAConfigurationNotInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{store: emulator.NewTable(emulator.Options{})}
		old := emulator.NewTable(emulator.Options{})
		stale := &staleTable{Table: w.store}
		defer join(w, w.store).Close()
		defer join(w, stale).Close()
		publishOne(t, w.store, 0, "a")
		publishOne(t, old, 0, "a")
		var honest record
		w.expectInForce(&honest)
		is.Equal(honest.broken, nil)

		stale.old.Store(old)
		publishOne(t, w.store, 1, "b")
		var caught record
		w.expectInForce(&caught)
		is.Equal(len(caught.broken), 1)
		is.True(strings.Contains(caught.broken[0], "follower 1: revision 1, head 2"))
	})
}

// TestOracleCatchesAConfigurationThatReverts puts a follower that is behind in
// the place of one that isn't.
func TestOracleCatchesAConfigurationThatReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{store: emulator.NewTable(emulator.Options{})}
		ahead, behind := join(w, w.store), join(w, w.store)
		defer ahead.Close()
		defer behind.Close()
		publishOne(t, w.store, 0, "a")
		w.expectInForce(t)
		behind.gate.cut.Store(true)
		publishOne(t, w.store, 1, "b")
		time.Sleep(inForceWithin)
		var honest record
		w.expectNoReturn(&honest)
		is.Equal(honest.broken, nil)

		w.members[0] = &member{Follower: behind.Follower, gate: behind.gate, highest: ahead.highest}
		var caught record
		w.expectNoReturn(&caught)
		is.Equal(len(caught.broken), 1)
		is.True(strings.Contains(caught.broken[0], "went back from 2 to 1"))
	})
}
