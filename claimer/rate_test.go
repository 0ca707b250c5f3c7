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
	// writeInterval is the pause between the commits of the other writer.
	writeInterval = 20 * time.Millisecond
	// maxMeanWriteTime bounds the mean latency of its commits, which is 4 ms with
	// an idle store.
	maxMeanWriteTime = 10 * time.Millisecond
	// burst is the number of transactions above its share that an entry may
	// commit in one second after an idle period.
	burst = 3
)

// recordingTable records the times at which transactions are committed.
type recordingTable struct {
	tabler.Table

	mu          sync.Mutex
	commitTimes []time.Time
}

func (w *recordingTable) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	w.mu.Lock()
	w.commitTimes = append(w.commitTimes, time.Now())
	w.mu.Unlock()
	return w.Table.Commit(ctx, writes)
}

// maxPerSecond returns the largest number of transactions within one second.
func (w *recordingTable) maxPerSecond() int {
	most, first := 0, 0
	for i, at := range w.commitTimes {
		for at.Sub(w.commitTimes[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestClaimsLeaveRoomForOtherWriters offers claims at the peak rate, in jobs of
// 10 tasks, which are more than the store could commit one by one. Meanwhile
// another writer, like the renewal of registrations, measures its latency.
func TestClaimsLeaveRoomForOtherWriters(t *testing.T) {
	for _, entries := range []int{4, 16, 32} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOtherWriter(t, entries) })
		})
	}
}

// checkOtherWriter checks the mean latency of the other writer and the peak rate
// of claim transactions.
func checkOtherWriter(t *testing.T, entries int) {
	is := is.New(t)
	store := emulator.NewTable(emulator.Options{})
	table := &recordingTable{Table: store}
	var writeTimes []time.Duration
	ctx, stop := context.WithCancel(t.Context())
	var writer sync.WaitGroup
	writer.Go(func() {
		for ctx.Err() == nil {
			began := time.Now()
			_, err := store.Commit(t.Context(), []tabler.Write{{Key: tabler.Key{Table: "t", Row: "r"}, Unconditional: true}})
			is.NoErr(err)
			writeTimes = append(writeTimes, time.Since(began))
			time.Sleep(writeInterval)
		}
	})
	l := load{entries: entries, tasks: 10}
	r := l.run(table)
	stop()
	writer.Wait()
	is.Equal(r.won, loadSeconds*startsPerSecond/l.tasks)
	var sum time.Duration
	for _, d := range writeTimes {
		sum += d
	}
	mean := sum / time.Duration(len(writeTimes))
	t.Logf("claims: %d transactions, at most %d per second, p50 %v p99 %v; other writer: mean %v longest %v",
		len(table.commitTimes), table.maxPerSecond(), r.latencies[len(r.latencies)/2], r.latencies[len(r.latencies)*99/100], mean, slices.Max(writeTimes))
	bound := claimer.DefaultLimits().FleetCommitsPerSecond + burst*entries
	if table.maxPerSecond() > bound {
		t.Errorf("%d claim transactions within one second, want at most %d", table.maxPerSecond(), bound)
	}
	if mean > maxMeanWriteTime {
		t.Errorf("mean latency of the other writer is %v, want at most %v", mean, maxMeanWriteTime)
	}
}

// TestShareNeverFallsToZero counts the transactions that one of many entries
// sends in 10 s, with one claim in each.
func TestShareNeverFallsToZero(t *testing.T) {
	fleet := claimer.DefaultLimits().FleetCommitsPerSecond
	for _, c := range []struct{ entries, least, most int }{
		{-1, 10 * fleet, 10*fleet + burst},
		{0, 10 * fleet, 10*fleet + burst},
		{1, 10 * fleet, 10*fleet + burst},
		{fleet / 4, 40, 40 + burst},
		{1_000_000, 10, 10 + burst},
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
				next, ok := core.WakeTime()
				is.True(ok || core.PendingClaims() == 0)
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
