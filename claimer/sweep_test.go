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

func TestSweepDeletesOldClaimsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		table := emulator.NewTable(emulator.Options{})
		_, err := claimer.Sweep(ctx, table, time.Now()) // The mark is set when the first entry starts.
		is.NoErr(err)
		c, events := start(table, 1)
		defer c.Close()
		for job := range 20 {
			is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, job, 1, in(time.Second))}))
			is.True(won(<-events))
		}
		old := claimOf(0, 3, 1, in(0))
		stands, err := table.Read(ctx, []tabler.Key{claimer.KeyOf(old.Job)})
		is.NoErr(err)
		old, err = claimer.DecodeRow(stands[0])
		is.NoErr(err)
		time.Sleep(time.Hour)
		is.True(c.Take(takeoverOf(old, 1, 2, in(time.Second))))
		is.True(won(<-events))

		time.Sleep(claimer.Retention - 30*time.Minute)
		swept := sweepAll(t, table)
		is.Equal(swept.Deleted, 19)
		is.Equal(swept.Kept, 1) // It was taken over later.
		time.Sleep(time.Hour)
		swept = sweepAll(t, table)
		is.Equal(swept.Deleted, 1)
		rows, err := table.Scan(ctx, tabler.Claims, "")
		is.NoErr(err)
		is.Equal(len(rows), 0)
		rows, err = table.Scan(ctx, tabler.ClaimIndex, "")
		is.NoErr(err)
		is.Equal(len(rows), 1) // The mark.
	})
}

func TestSweeperComesBackForOldClaims(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		sweeper := claimer.NewSweeper(table, rand.New(rand.NewPCG(1, 1)), nil)
		c, events := start(table, 1)
		defer c.Close()
		is.True(c.Insert(dispatcher.WriteClaim{Claim: claimOf(0, 1, 1, in(time.Hour))}))
		is.True(won(<-events))
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

func TestOneSweeperWorksAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		_, err := claimer.Sweep(t.Context(), table, time.Now())
		is.NoErr(err)
		time.Sleep(time.Minute)
		done := make(chan claimer.Swept, 2)
		for range 2 {
			time.Sleep(6 * time.Millisecond) // The first one has its lease by then, and isn't done.
			go func() {
				swept, err := claimer.Sweep(t.Context(), table, time.Now())
				is.NoErr(err)
				done <- swept
			}()
		}
		first, second := <-done, <-done
		is.Equal(max(first.Buckets, second.Buckets), 7) // Those that ended from the start to a minute after it.
		is.Equal(min(first.Buckets, second.Buckets), 0)
	})
}

func sweepAll(t *testing.T, table tabler.Table) claimer.Swept {
	is := is.New(t)
	var total claimer.Swept
	for !total.Done {
		swept, err := claimer.Sweep(t.Context(), table, time.Now())
		is.NoErr(err)
		total.Deleted += swept.Deleted
		total.Kept += swept.Kept
		total.Done = swept.Done
	}
	return total
}

func won(e dispatcher.Event) bool {
	_, ok := e.(dispatcher.ClaimWon)
	return ok
}
