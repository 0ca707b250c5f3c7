package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/fault"
	"agatevalve/tabler"
)

// watchedTable notes whether the table service answers, and how fast.
type watchedTable struct {
	table tabler.Table
	// silent is true while the last call got no answer.
	silent atomic.Bool
	reads  metrics.Timer
	writes metrics.Timer
	errors metrics.Counter
}

var _ tabler.Table = (*watchedTable)(nil)

func newWatchedTable(table tabler.Table, r metrics.Registry) *watchedTable {
	return &watchedTable{
		table:  table,
		reads:  metrics.GetOrRegisterTimer("store-reads", r),
		writes: metrics.GetOrRegisterTimer("store-writes", r),
		errors: metrics.GetOrRegisterCounter("store-errors", r),
	}
}

// Read implements tabler.Table.
func (t *watchedTable) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	began := time.Now()
	rows, err := t.table.Read(ctx, keys)
	t.note(t.reads, began, err)
	return rows, err
}

// Scan implements tabler.Table.
func (t *watchedTable) Scan(ctx context.Context, table, prefix string) ([]tabler.Row, error) {
	began := time.Now()
	rows, err := t.table.Scan(ctx, table, prefix)
	t.note(t.reads, began, err)
	return rows, err
}

// Commit implements tabler.Table.
func (t *watchedTable) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	began := time.Now()
	result, err := t.table.Commit(ctx, writes)
	t.note(t.writes, began, err)
	return result, err
}

func (t *watchedTable) reachable() bool { return !t.silent.Load() }

func (t *watchedTable) note(timer metrics.Timer, began time.Time, err error) {
	timer.UpdateSince(began)
	if err == nil {
		t.silent.Store(false)
		return
	}
	t.errors.Inc(1)
	kind := fault.KindOf(err)
	t.silent.Store(kind == fault.Unavailable || kind == fault.Uncertain || kind == fault.Expired)
}
