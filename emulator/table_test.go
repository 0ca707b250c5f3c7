package emulator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/emulator"
	"agatevalve/tabler"
)

var rowA = tabler.Key{Table: "t", Row: "a"}

func put(key tabler.Key, expect tabler.Version, value string) []tabler.Write {
	return []tabler.Write{{Key: key, Expect: expect, Value: []byte(value)}}
}

// runInBubble runs a test of a table in a synctest bubble.
func runInBubble(t *testing.T, o emulator.Options, test func(is *is.I, table *emulator.Table)) {
	synctest.Test(t, func(t *testing.T) { test(is.New(t), emulator.NewTable(o)) })
}

func TestCommitAppliesAllOrNone(t *testing.T) {
	runInBubble(t, emulator.Options{}, func(is *is.I, table *emulator.Table) {
		ctx := context.Background()
		result, err := table.Commit(ctx, put(rowA, 0, "one"))
		is.NoErr(err)
		is.True(result.Applied)

		other := tabler.Key{Table: "t", Row: "b"}
		both := append(put(rowA, 0, "two"), put(other, 0, "two")...)
		result, err = table.Commit(ctx, both)
		is.NoErr(err)
		is.Equal(result, tabler.Result{Conflicts: []tabler.Row{{Key: rowA, Version: 1, Value: []byte("one")}}})

		rows, err := table.Scan(ctx, "t", "")
		is.NoErr(err)
		is.Equal(rows, []tabler.Row{{Key: rowA, Version: 1, Value: []byte("one")}})
	})
}

func TestConflictNamesAbsentRow(t *testing.T) {
	runInBubble(t, emulator.Options{}, func(is *is.I, table *emulator.Table) {
		result, err := table.Commit(context.Background(), put(rowA, 3, "x"))
		is.NoErr(err)
		is.Equal(result.Conflicts, []tabler.Row{{Key: rowA}})
	})
}

func TestWritesQueueAtTheRate(t *testing.T) {
	runInBubble(t, emulator.Options{WriteLatency: 4 * time.Millisecond, WritesPerSecond: 500}, func(is *is.I, table *emulator.Table) {
		start := time.Now()
		done := make(chan time.Duration, 10)
		for i := range 10 {
			go func() {
				key := tabler.Key{Table: "t", Row: fmt.Sprint(i)}
				_, _ = table.Commit(context.Background(), put(key, 0, "x"))
				done <- time.Since(start)
			}()
		}
		var last time.Duration
		for range 10 {
			last = max(last, <-done)
		}
		is.Equal(last, 9*2*time.Millisecond+4*time.Millisecond)
	})
}

func TestFullQueueRejectsCalls(t *testing.T) {
	runInBubble(t, emulator.Options{WritesPerSecond: 100, MaxWait: 15 * time.Millisecond}, func(is *is.I, table *emulator.Table) {
		for i := range 2 {
			go func() {
				_, _ = table.Commit(context.Background(), put(tabler.Key{Table: "t", Row: fmt.Sprint(i)}, 0, "x"))
			}()
		}
		synctest.Wait()
		_, err := table.Commit(context.Background(), put(rowA, 0, "x"))
		is.Equal(fault.KindOf(err), fault.Unavailable)
		time.Sleep(time.Second)
		rows, err := table.Read(context.Background(), []tabler.Key{rowA})
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}

func TestWriteAppliesAfterCallerCancels(t *testing.T) {
	runInBubble(t, emulator.Options{}, func(is *is.I, table *emulator.Table) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_, err := table.Commit(ctx, put(rowA, 0, "x"))
		is.Equal(fault.KindOf(err), fault.Uncertain)
		rows, err := table.Read(context.Background(), []tabler.Key{rowA})
		is.NoErr(err)
		is.Equal(len(rows), 0)
		time.Sleep(time.Second)
		rows, err = table.Read(context.Background(), []tabler.Key{rowA})
		is.NoErr(err)
		is.Equal(len(rows), 1)
	})
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name    string
		fault   emulator.Fault
		kind    fault.Kind
		applied bool
	}{
		{"down", emulator.Fault{Kind: emulator.Down}, fault.Unavailable, false},
		{"hung", emulator.Fault{Kind: emulator.Hung}, fault.Uncertain, true},
		{"slow", emulator.Fault{Kind: emulator.Slow, Delay: 2 * time.Second}, fault.Uncertain, true},
		{"lose-replies", emulator.Fault{Kind: emulator.LoseReplies}, fault.Uncertain, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := emulator.NewTable(emulator.Options{})
				tt.fault.On = emulator.Writes
				tt.fault.Count = 1
				is.NoErr(table.SetFault(tt.fault))
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := table.Commit(ctx, put(rowA, 0, "x"))
				is.Equal(fault.KindOf(err), tt.kind)

				// The fault affects one call only, so that the next one is
				// served.
				_, err = table.Commit(context.Background(), put(tabler.Key{Table: "t", Row: "b"}, 0, "x"))
				is.NoErr(err)
				table.ClearFaults()
				time.Sleep(3 * time.Second)
				rows, err := table.Read(context.Background(), []tabler.Key{rowA})
				is.NoErr(err)
				is.Equal(len(rows) == 1, tt.applied)
			})
		})
	}
}

func TestInvalidTransactionsAreRejected(t *testing.T) {
	table := emulator.NewTable(emulator.Options{MaxRows: 2, MaxBytes: 4})
	tests := []struct {
		name   string
		writes []tabler.Write
		kind   fault.Kind
	}{
		{"empty", nil, fault.Invalid},
		{"no row", put(tabler.Key{Table: "t"}, 0, "x"), fault.Invalid},
		{"twice", append(put(rowA, 0, "x"), put(rowA, 0, "y")...), fault.Invalid},
		{"rows", make([]tabler.Write, 3), fault.TooLarge},
		{"bytes", put(rowA, 0, "12345"), fault.TooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := table.Commit(context.Background(), tt.writes)
			is.Equal(fault.KindOf(err), tt.kind)
			is.True(fault.RemedyOf(err) != "")
		})
	}
}
