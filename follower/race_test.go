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

// TestMain fixes the seed of rapid unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const (
	// propagationLimit is the promised maximum time from the acceptance of a
	// configuration until every entry that reaches the store has it in force.
	propagationLimit = 5 * time.Second
	// publishTimeout bounds one publish of an operator.
	publishTimeout = 1500 * time.Millisecond
	// commitTimeout bounds one commit of an operator, as the progress deadline
	// of a client does.
	commitTimeout = 500 * time.Millisecond
)

// storeConnection is the connection of one process to the store; reads fail
// while it is cut.
type storeConnection struct {
	tabler.Table
	cut atomic.Bool
}

func (c *storeConnection) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	if c.cut.Load() {
		return nil, fault.New(fault.Unavailable, "retry later", "cut off")
	}
	return c.Table.Read(ctx, keys)
}

func (c *storeConnection) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return c.Table.Commit(ctx, writes)
}

// trackedFollower is a follower with what the oracle has observed of it.
type trackedFollower struct {
	*follower.Follower
	connection *storeConnection
	// highest is the highest revision observed in force.
	highest uint64
}

// attempt is one publish by an operator, with its outcome.
type attempt struct {
	token   historian.Token
	base    uint64
	receipt publisher.Receipt
	err     error
}

// world holds one store with the operators and followers that race over it.
type world struct {
	store     *emulator.Table
	followers []*trackedFollower
	// mu guards attempts; operators waits for the goroutines that append to it.
	mu        sync.Mutex
	attempts  []attempt
	operators sync.WaitGroup
	// count numbers the publishes.
	count int
	// seed is the seed of the newest follower.
	seed uint64
}

// publish starts an operator that publishes an edit.
func (w *world) publish(t *rapid.T) {
	w.count++
	token := historian.Token(fmt.Sprintf("token-%d", w.count))
	base := w.drawBase(t)
	changes := drawChanges(t, w.count)
	p := publisher.New(publisher.Options{
		Table: &storeConnection{Table: w.store},
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
		ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
		defer cancel()
		author := publisher.Author{Who: string(token), Why: "race"}
		receipt, err := p.Publish(ctx, publisher.Edit{Author: author, Base: base, Changes: changes})
		w.mu.Lock()
		defer w.mu.Unlock()
		w.attempts = append(w.attempts, attempt{token, base, receipt, err})
	})
}

// drawBase draws the base of an edit: the newest revision that is in force or
// was published, or the one before it.
func (w *world) drawBase(t *rapid.T) uint64 {
	newest := uint64(0)
	for _, f := range w.followers {
		newest = max(newest, f.Revision())
	}
	w.mu.Lock()
	for _, a := range w.attempts {
		newest = max(newest, a.receipt.Revision)
	}
	w.mu.Unlock()
	behind := rapid.Uint64Range(0, 1).Draw(t, "back")
	return newest - min(newest, behind)
}

// drawChanges draws the changes of an edit. The pools a and b always get the
// same queue limit, so that a table that mixes two revisions is noticed.
func drawChanges(t *rapid.T, queueLimit int) historian.Changes {
	pool := func(name string, limit int) historian.Change[router.Pool] {
		return historian.Change[router.Pool]{Name: name, After: &router.Pool{Name: name, QueueLimit: limit}}
	}
	route := router.Route{Name: "to-c", PathPrefix: "/c", Pool: "c"}
	switch rapid.IntRange(0, 9).Draw(t, "edit") {
	case 0:
		return historian.Changes{Pools: []historian.Change[router.Pool]{pool("c", queueLimit)}}
	case 1:
		return historian.Changes{Pools: []historian.Change[router.Pool]{{Name: "c"}}}
	case 2:
		return historian.Changes{Routes: []historian.Change[router.Route]{{Name: route.Name, After: &route}}}
	case 3:
		return historian.Changes{Routes: []historian.Change[router.Route]{{Name: route.Name}}}
	}
	return historian.Changes{Pools: []historian.Change[router.Pool]{pool("a", queueLimit), pool("b", queueLimit)}}
}

// startFollower starts a follower, up to four.
func (w *world) startFollower(t *rapid.T) {
	if len(w.followers) >= 4 {
		t.Skip("enough followers")
	}
	w.seed++
	connection := &storeConnection{Table: w.store}
	f := follower.New(follower.Options{Source: historian.New(connection), Random: rand.New(rand.NewPCG(w.seed, 1))})
	w.followers = append(w.followers, &trackedFollower{Follower: f, connection: connection})
}

// drawFollower draws one of the followers.
func (w *world) drawFollower(t *rapid.T) *trackedFollower {
	if len(w.followers) == 0 {
		t.Skip("no follower")
	}
	return rapid.SampledFrom(w.followers).Draw(t, "member")
}

// replaceFollower closes a follower and starts a new one.
func (w *world) replaceFollower(t *rapid.T) {
	f := w.drawFollower(t)
	f.Close()
	for i := range w.followers {
		if w.followers[i] == f {
			w.followers = append(w.followers[:i], w.followers[i+1:]...)
			break
		}
	}
	w.startFollower(t)
}

// setConnection cuts or restores the connection of a follower to the store.
func (w *world) setConnection(t *rapid.T) {
	w.drawFollower(t).connection.cut.Store(rapid.Bool().Draw(t, "cut"))
}

// gossip announces the known revision of one follower to another.
func (w *world) gossip(t *rapid.T) {
	w.drawFollower(t).NotifyRevision(w.drawFollower(t).KnownRevision())
}

// injectFault makes the store fail in a drawn way.
func (w *world) injectFault(t *rapid.T) {
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

// clearFaults ends all faults of the store.
func (w *world) clearFaults(*rapid.T) { w.store.ClearFaults() }

// advanceTime lets up to three seconds pass.
func (w *world) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
}

// settle ends all faults and expects the followers to converge.
func (w *world) settle(t *rapid.T) { w.expectConverged(t) }

// failer reports a violated invariant; rapid.T and failureRecorder implement
// it.
type failer interface {
	Fatalf(format string, args ...any)
}

// expectConverged ends all faults, waits for propagationLimit and expects each
// connected follower to be ready with the revision at the head.
func (w *world) expectConverged(t failer) {
	w.store.ClearFaults()
	w.operators.Wait()
	time.Sleep(propagationLimit)
	synctest.Wait()
	head, _, err := historian.New(w.store).Current(context.Background())
	if err != nil {
		t.Fatalf("the store holds no readable configuration: %v", err)
	}
	for i, f := range w.followers {
		if f.connection.cut.Load() {
			continue
		}
		if f.Revision() != head.Revision || !f.Ready() || f.Stale() {
			t.Fatalf("follower %d: revision %d, head %d, ready %v, stale %v", i, f.Revision(), head.Revision, f.Ready(), f.Stale())
		}
	}
}

// checkInvariants runs after each step.
func (w *world) checkInvariants(t *rapid.T) { w.expectConsistent(t) }

// expectConsistent expects that no follower went back to an older revision or
// mixes two revisions.
func (w *world) expectConsistent(t failer) {
	synctest.Wait()
	for i, f := range w.followers {
		table := f.Current()
		if table.Revision() < f.highest {
			t.Fatalf("follower %d went back from %d to %d", i, f.highest, table.Revision())
		}
		f.highest = table.Revision()
		a, _ := table.Pool("a")
		b, _ := table.Pool("b")
		if a.QueueLimit != b.QueueLimit {
			t.Fatalf("follower %d mixes revisions: %d and %d", i, a.QueueLimit, b.QueueLimit)
		}
		if f.Ready() && !f.connection.cut.Load() && f.KnownRevision() < f.Revision() {
			t.Fatalf("follower %d: the known revision is below the one in force", i)
		}
	}
}

// checkHistory compares the outcomes that operators got with the revisions and
// audit rows in the store. Every revision compiles and was published once.
func (w *world) checkHistory(t *rapid.T) {
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
	audits, err := h.PublishActions(ctx, 1, head.Revision+1)
	if err != nil {
		t.Fatal(err)
	}
	if uint64(len(revisions)) != head.Revision || len(audits) != len(revisions) {
		t.Fatalf("head %d, %d revisions, %d audit rows", head.Revision, len(revisions), len(audits))
	}
	numbers := map[historian.Token]uint64{}
	for i, r := range revisions {
		if numbers[r.Token] != 0 {
			t.Fatalf("%s was published twice", r.Token)
		}
		numbers[r.Token] = r.Number
		if audits[i].Token != r.Token || audits[i].Base != r.Number-1 {
			t.Fatalf("revision %d and its audit row differ", r.Number)
		}
		c, err := h.ConfigurationAt(ctx, r.Number)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Compile(); err != nil {
			t.Fatalf("revision %d was published but doesn't compile: %v", r.Number, err)
		}
	}
	for _, a := range w.attempts {
		w.checkAttempt(t, a, numbers[a.token])
	}
}

// checkAttempt compares the outcome of a publish with the number of its
// revision in the store, which is 0 if there is none.
func (w *world) checkAttempt(t *rapid.T, a attempt, number uint64) {
	switch {
	case a.err == nil && a.receipt.Changes.Len() == 0:
		if number != 0 {
			t.Fatalf("%s changed nothing but is revision %d", a.token, number)
		}
	case a.err == nil:
		if number != a.receipt.Revision || number != a.base+1 {
			t.Fatalf("%s got a receipt for revision %d from base %d but is revision %d", a.token, a.receipt.Revision, a.base, number)
		}
	case fault.KindOf(a.err) == fault.Uncertain:
		if number != 0 && number != a.base+1 {
			t.Fatalf("%s with an uncertain outcome from base %d is revision %d", a.token, a.base, number)
		}
	case number != 0:
		t.Fatalf("%s was refused (%v) but is revision %d", a.token, a.err, number)
	}
}

// withoutDeadline hides the Deadline method of testing.T, which must not be
// called in a synctest bubble.
type withoutDeadline struct{ rapid.TB }

// TestRacingOperatorsAndFollowers runs random sequences of publishes, faults of
// the store and restarts of followers, with the invariants checked after each
// step and the history at the end.
func TestRacingOperatorsAndFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			w := &world{store: emulator.NewTable(emulator.Options{})}
			defer func() {
				w.store.ClearFaults()
				for _, f := range w.followers {
					f.Close()
				}
				w.operators.Wait()
			}()
			w.startFollower(t)
			t.Repeat(map[string]func(*rapid.T){
				"publish": w.publish, "publish-again": w.publish, "start": w.startFollower, "replace": w.replaceFollower,
				"cut": w.setConnection, "gossip": w.gossip, "fail": w.injectFault, "mend": w.clearFaults, "pass": w.advanceTime,
				"settle": w.settle, "": w.checkInvariants,
			})
			for _, f := range w.followers {
				f.connection.cut.Store(false)
			}
			w.settle(t)
			w.checkHistory(t)
		})
	})
}
