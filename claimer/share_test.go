package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/claimer"
	"agatevalve/dispatcher"
	"agatevalve/emulator"
	"agatevalve/tabler"
)

const (
	// renewalEvery is the pause between the commits of another writer.
	renewalEvery = 20 * time.Millisecond
	// renewalMean bounds their mean time, which is 4 ms at an idle store.
	renewalMean = 10 * time.Millisecond
	// spare is how many transactions over its share an entry may commit in a
	// second that follows a pause.
	spare = 3
)

// watched records when transactions were sent.
type watched struct {
	tabler.Table

	mu   sync.Mutex
	sent []time.Time
}

func (w *watched) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	w.mu.Lock()
	w.sent = append(w.sent, time.Now())
	w.mu.Unlock()
	return w.Table.Commit(ctx, writes)
}

// most returns the most transactions that were sent within one second.
func (w *watched) most() int {
	most, first := 0, 0
	for i, at := range w.sent {
		for at.Sub(w.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestClaimsLeaveRoomForOtherWriters offers the claims of the peak in jobs of
// 10, which are more than the store takes one by one.
func TestClaimsLeaveRoomForOtherWriters(t *testing.T) {
	for _, entries := range []int{4, 16, 32} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRoom(t, entries) })
		})
	}
}

func checkRoom(t *testing.T, entries int) {
	is := is.New(t)
	store := emulator.NewTable(emulator.Options{})
	table := &watched{Table: store}
	var took []time.Duration
	ctx, stop := context.WithCancel(t.Context())
	var writer sync.WaitGroup
	writer.Go(func() {
		for ctx.Err() == nil {
			began := time.Now()
			_, err := store.Commit(t.Context(), []tabler.Write{{Key: tabler.Key{Table: "t", Row: "r"}, Any: true}})
			is.NoErr(err)
			took = append(took, time.Since(began))
			time.Sleep(renewalEvery)
		}
	})
	l := load{entries: entries, tasks: 10}
	r := l.run(table)
	stop()
	writer.Wait()
	is.Equal(r.won, seconds*startsPerSecond/l.tasks)
	var sum time.Duration
	for _, d := range took {
		sum += d
	}
	mean := sum / time.Duration(len(took))
	t.Logf("claims: %d transactions, at most %d a second, p50 %v p99 %v; renewals: mean %v longest %v",
		len(table.sent), table.most(), r.waits[len(r.waits)/2], r.waits[len(r.waits)*99/100], mean, slices.Max(took))
	bound := claimer.DefaultLimits().FleetCommits + spare*entries
	if table.most() > bound {
		t.Errorf("%d transactions of claims in a second, at most %d", table.most(), bound)
	}
	if mean > renewalMean {
		t.Errorf("renewals took %v in the mean, at most %v", mean, renewalMean)
	}
}

// TestShareNeverFallsToZero counts the transactions of one entry among many,
// each of which carries one claim.
func TestShareNeverFallsToZero(t *testing.T) {
	fleet := claimer.DefaultLimits().FleetCommits
	for _, c := range []struct{ entries, least, most int }{
		{-1, 10 * fleet, 10*fleet + spare},
		{0, 10 * fleet, 10*fleet + spare},
		{1, 10 * fleet, 10*fleet + spare},
		{fleet / 4, 40, 40 + spare},
		{1_000_000, 10, 10 + spare},
	} {
		t.Run(fmt.Sprint(c.entries), func(t *testing.T) {
			is := is.New(t)
			core := claimer.NewCore(claimer.DefaultLimits(), rand.New(rand.NewPCG(1, 1)))
			core.SetEntries(c.entries)
			sent := 0
			for now := epoch; now.Before(epoch.Add(10 * time.Second)); {
				core.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 1, 1, now.Add(time.Hour))}, now)
				batch := core.Next(now)
				for ; batch != nil; batch = core.Next(now) {
					sent++
					core.CommitDone(batch, tabler.Result{Applied: true}, nil, now)
				}
				next, ok := core.Wake()
				is.True(ok || core.Waiting() == 0)
				if now = now.Add(time.Millisecond); ok {
					now = next
				}
			}
			if sent < c.least || sent > c.most {
				t.Errorf("%d transactions in 10 s, want %d to %d", sent, c.least, c.most)
			}
		})
	}
}
