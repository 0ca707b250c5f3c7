package follower_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/fault"
	"agatevalve/emulator"
	"agatevalve/follower"
	"agatevalve/historian"
	"agatevalve/publisher"
	"agatevalve/router"
	"agatevalve/tabler"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const (
	// inForceWithin is the promise of an accepted configuration.
	inForceWithin = 5 * time.Second
	// operatorPatience bounds one publish.
	operatorPatience = 1500 * time.Millisecond
	// callPatience bounds one call of an operator, as a client's progress
	// deadline does.
	callPatience = 500 * time.Millisecond
)

// gate is a process's way to the store, which can be cut.
type gate struct {
	tabler.Table
	cut atomic.Bool
}

func (g *gate) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	if g.cut.Load() {
		return nil, fault.New(fault.Unavailable, "retry later", "cut off")
	}
	return g.Table.Read(ctx, keys)
}

func (g *gate) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	return g.Table.Commit(ctx, writes)
}

// member is a follower with what the oracle knows of it.
type member struct {
	*follower.Follower
	gate *gate
	// highest is the highest revision that was seen in force.
	highest uint64
}

// attempt is one publish.
type attempt struct {
	token   historian.Token
	base    uint64
	receipt publisher.Receipt
	err     error
}

// world races operators and followers over one store.
type world struct {
	store   *emulator.Table
	members []*member
	// mu guards attempts; operators joins their goroutines.
	mu        sync.Mutex
	attempts  []attempt
	operators sync.WaitGroup
	count     int
	seed      uint64
}

func (w *world) publish(t *rapid.T) {
	w.count++
	token := historian.Token(fmt.Sprintf("token-%d", w.count))
	base := w.base(t)
	changes := drawChanges(t, w.count)
	p := publisher.New(publisher.Options{
		Table: &gate{Table: w.store},
		Now:   time.Now,
		Token: func() historian.Token { return token },
		Pause: func(ctx context.Context) error {
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ctx.Done():
			}
			return ctx.Err()
		},
	})
	w.operators.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
		defer cancel()
		author := publisher.Author{Who: string(token), Why: "race"}
		receipt, err := p.Publish(ctx, publisher.Edit{Author: author, Base: base, Changes: changes})
		w.mu.Lock()
		defer w.mu.Unlock()
		w.attempts = append(w.attempts, attempt{token, base, receipt, err})
	})
}

// base draws a revision that an operator may have looked at.
func (w *world) base(t *rapid.T) uint64 {
	newest := uint64(0)
	for _, m := range w.members {
		newest = max(newest, m.Revision())
	}
	w.mu.Lock()
	for _, a := range w.attempts {
		newest = max(newest, a.receipt.Revision)
	}
	w.mu.Unlock()
	back := rapid.Uint64Range(0, 1).Draw(t, "back")
	return newest - min(newest, back)
}

// drawChanges draws an edit. The pools a and b always get the same queue limit,
// so that a mixture of two revisions shows.
func drawChanges(t *rapid.T, mark int) historian.Changes {
	pool := func(name string, limit int) historian.Change[router.Pool] {
		return historian.Change[router.Pool]{Name: name, After: &router.Pool{Name: name, QueueLimit: limit}}
	}
	route := router.Route{Name: "to-c", PathPrefix: "/c", Pool: "c"}
	switch rapid.IntRange(0, 9).Draw(t, "edit") {
	case 0:
		return historian.Changes{Pools: []historian.Change[router.Pool]{pool("c", mark)}}
	case 1:
		return historian.Changes{Pools: []historian.Change[router.Pool]{{Name: "c"}}}
	case 2:
		return historian.Changes{Routes: []historian.Change[router.Route]{{Name: route.Name, After: &route}}}
	case 3:
		return historian.Changes{Routes: []historian.Change[router.Route]{{Name: route.Name}}}
	}
	return historian.Changes{Pools: []historian.Change[router.Pool]{pool("a", mark), pool("b", mark)}}
}

func (w *world) start(t *rapid.T) {
	if len(w.members) >= 4 {
		t.Skip("enough followers")
	}
	w.seed++
	g := &gate{Table: w.store}
	f := follower.New(follower.Options{Source: historian.New(g), Random: rand.New(rand.NewPCG(w.seed, 1))})
	w.members = append(w.members, &member{Follower: f, gate: g})
}

func (w *world) draw(t *rapid.T) *member {
	if len(w.members) == 0 {
		t.Skip("no follower")
	}
	return rapid.SampledFrom(w.members).Draw(t, "member")
}

func (w *world) replace(t *rapid.T) {
	m := w.draw(t)
	m.Close()
	for i := range w.members {
		if w.members[i] == m {
			w.members = append(w.members[:i], w.members[i+1:]...)
			break
		}
	}
	w.start(t)
}

func (w *world) cut(t *rapid.T) {
	w.draw(t).gate.cut.Store(rapid.Bool().Draw(t, "cut"))
}

// gossip lets one follower hear of another's revision.
func (w *world) gossip(t *rapid.T) {
	w.draw(t).Hear(w.draw(t).Known())
}

func (w *world) fail(t *rapid.T) {
	kinds := []emulator.FaultKind{emulator.Down, emulator.Hung, emulator.Slow, emulator.LoseReplies}
	f := emulator.Fault{
		Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		On:    rapid.SampledFrom([]emulator.Operations{emulator.All, emulator.Reads, emulator.Writes}).Draw(t, "on"),
		Count: rapid.IntRange(0, 4).Draw(t, "count"),
		Delay: 700 * time.Millisecond,
	}
	if err := w.store.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

func (w *world) mend(*rapid.T) { w.store.ClearFaults() }

func (w *world) pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// settle ends all faults and expects the promise to hold.
func (w *world) settle(t *rapid.T) { w.expectInForce(t) }

// judge is told of a broken promise.
type judge interface {
	Fatalf(format string, args ...any)
}

func (w *world) expectInForce(t judge) {
	w.store.ClearFaults()
	w.operators.Wait()
	time.Sleep(inForceWithin)
	synctest.Wait()
	head, _, err := historian.New(w.store).Current(context.Background())
	if err != nil {
		t.Fatalf("the store holds no readable configuration: %v", err)
	}
	for i, m := range w.members {
		if m.gate.cut.Load() {
			continue
		}
		if m.Revision() != head.Revision || !m.Ready() || m.Stale() {
			t.Fatalf("follower %d: revision %d, head %d, ready %v, stale %v", i, m.Revision(), head.Revision, m.Ready(), m.Stale())
		}
	}
}

// check holds after every step.
func (w *world) check(t *rapid.T) { w.expectNoReturn(t) }

func (w *world) expectNoReturn(t judge) {
	synctest.Wait()
	for i, m := range w.members {
		table := m.Current()
		if table.Revision() < m.highest {
			t.Fatalf("follower %d went back from %d to %d", i, m.highest, table.Revision())
		}
		m.highest = table.Revision()
		a, _ := table.Pool("a")
		b, _ := table.Pool("b")
		if a.QueueLimit != b.QueueLimit {
			t.Fatalf("follower %d mixes revisions: %d and %d", i, a.QueueLimit, b.QueueLimit)
		}
		if m.Ready() && !m.gate.cut.Load() && m.Known() < m.Revision() {
			t.Fatalf("follower %d knows less than it has", i)
		}
	}
}

// judge compares what operators were told with the line of revisions.
func (w *world) judge(t *rapid.T) {
	ctx := context.Background()
	h := historian.New(w.store)
	head, err := h.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	revisions, err := h.Revisions(ctx, 1, head.Revision)
	if err != nil {
		t.Fatal(err)
	}
	audits, err := h.Publishes(ctx, 1, head.Revision+1)
	if err != nil {
		t.Fatal(err)
	}
	if uint64(len(revisions)) != head.Revision || len(audits) != len(revisions) {
		t.Fatalf("head %d, %d revisions, %d audit rows", head.Revision, len(revisions), len(audits))
	}
	places := map[historian.Token]uint64{}
	for i, r := range revisions {
		if places[r.Token] != 0 {
			t.Fatalf("%s was published twice", r.Token)
		}
		places[r.Token] = r.Number
		if audits[i].Token != r.Token || audits[i].Base != r.Number-1 {
			t.Fatalf("revision %d and its audit row differ", r.Number)
		}
		c, err := h.At(ctx, r.Number)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Compile(); err != nil {
			t.Fatalf("revision %d was accepted: %v", r.Number, err)
		}
	}
	for _, a := range w.attempts {
		w.judgeAttempt(t, a, places[a.token])
	}
}

func (w *world) judgeAttempt(t *rapid.T, a attempt, place uint64) {
	switch {
	case a.err == nil && a.receipt.Changes.Len() == 0:
		if place != 0 {
			t.Fatalf("%s changed nothing and is revision %d", a.token, place)
		}
	case a.err == nil:
		if place != a.receipt.Revision || place != a.base+1 {
			t.Fatalf("%s was told %d from %d and is revision %d", a.token, a.receipt.Revision, a.base, place)
		}
	case fault.KindOf(a.err) == fault.Uncertain:
		if place != 0 && place != a.base+1 {
			t.Fatalf("%s from %d is revision %d", a.token, a.base, place)
		}
	case place != 0:
		t.Fatalf("%s was refused (%v) and is revision %d", a.token, a.err, place)
	}
}

// bubble hides the deadline of a test, which can't be asked for in a bubble.
type bubble struct{ rapid.TB }

func TestRacingOperatorsAndFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			w := &world{store: emulator.NewTable(emulator.Options{})}
			defer func() {
				w.store.ClearFaults()
				for _, m := range w.members {
					m.Close()
				}
				w.operators.Wait()
			}()
			w.start(t)
			t.Repeat(map[string]func(*rapid.T){
				"publish": w.publish, "publish-again": w.publish, "start": w.start, "replace": w.replace,
				"cut": w.cut, "gossip": w.gossip, "fail": w.fail, "mend": w.mend, "pass": w.pass,
				"settle": w.settle, "": w.check,
			})
			for _, m := range w.members {
				m.gate.cut.Store(false)
			}
			w.settle(t)
			w.judge(t)
		})
	})
}
