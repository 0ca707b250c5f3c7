package claimer_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/claimer"
	"agatevalve/dispatcher"
	"agatevalve/emulator"
	"agatevalve/tabler"
)

// A claim that was taken over has a later deadline, so it is kept by the sweep
// of its first index row and deleted by that of its second.
func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		table := emulator.NewTable(emulator.Options{})
		_, err := claimer.Sweep(ctx, table, time.Now()) // Creates the sweep state.
		is.NoErr(err)
		c, events := startClaimer(table, 1)
		defer c.Close()
		for job := range 20 {
			is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, 1, fromNow(time.Second))}))
			is.True(isWon(<-events))
		}
		old := claimOf(0, 3, 1, fromNow(0))
		current, err := table.Read(ctx, []tabler.Key{claimer.KeyOf(old.Job)})
		is.NoErr(err)
		old, err = claimer.DecodeRow(current[0])
		is.NoErr(err)
		time.Sleep(time.Hour)
		is.True(c.Replace(takeoverOf(old, 1, 2, fromNow(time.Second))))
		is.True(isWon(<-events))

		time.Sleep(claimer.Retention - 30*time.Minute)
		swept := sweepAll(t, table)
		is.Equal(swept.Deleted, 19)
		is.Equal(swept.Kept, 1) // The claim that was taken over.
		time.Sleep(time.Hour)
		swept = sweepAll(t, table)
		is.Equal(swept.Deleted, 1)
		rows, err := table.Scan(ctx, tabler.Claims, "")
		is.NoErr(err)
		is.Equal(len(rows), 0)
		rows, err = table.Scan(ctx, tabler.ClaimIndex, "")
		is.NoErr(err)
		is.Equal(len(rows), 1) // The sweep state.
	})
}

func TestSweeperSweepsRepeatedly(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		sweeper := claimer.NewSweeper(table, rand.New(rand.NewPCG(1, 1)), nil)
		c, events := startClaimer(table, 1)
		defer c.Close()
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 1, 1, fromNow(time.Hour))}))
		is.True(isWon(<-events))
		time.Sleep(claimer.Retention + 59*time.Minute)
		rows, err := table.Scan(t.Context(), tabler.Claims, "")
		is.NoErr(err)
		is.Equal(len(rows), 1)
		time.Sleep(10 * time.Minute)
		rows, err = table.Scan(t.Context(), tabler.Claims, "")
		is.NoErr(err)
		is.Equal(len(rows), 0)
		sweeper.Close()
	})
}

func TestOneSweeperAtATime(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		_, err := claimer.Sweep(t.Context(), table, time.Now())
		is.NoErr(err)
		time.Sleep(time.Minute)
		done := make(chan claimer.SweepResult, 2)
		for range 2 {
			time.Sleep(6 * time.Millisecond) // By then the first one has the lease and isn't done.
			go func() {
				swept, err := claimer.Sweep(t.Context(), table, time.Now())
				is.NoErr(err)
				done <- swept
			}()
		}
		first, second := <-done, <-done
		is.Equal(max(first.Buckets, second.Buckets), 7) // Those that became due in the minute.
		is.Equal(min(first.Buckets, second.Buckets), 0)
	})
}

// sweepAll calls Sweep until it is done and returns the total.
func sweepAll(t *testing.T, table tabler.Table) claimer.SweepResult {
	is := is.New(t)
	var total claimer.SweepResult
	for !total.Done {
		swept, err := claimer.Sweep(t.Context(), table, time.Now())
		is.NoErr(err)
		total.Deleted += swept.Deleted
		total.Kept += swept.Kept
		total.Done = swept.Done
	}
	return total
}

func isWon(e dispatcher.Event) bool {
	_, ok := e.(dispatcher.ClaimWon)
	return ok
}
