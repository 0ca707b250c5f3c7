package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/fault"
	"agatevalve/tabler"
)

// instrumentedTable measures the calls to the table service and records whether
// it is reachable.
type instrumentedTable struct {
	table tabler.Table
	// unreachable is true when the last call got no answer.
	unreachable atomic.Bool
	reads       metrics.Timer
	writes      metrics.Timer
	errors      metrics.Counter
}

var _ tabler.Table = (*instrumentedTable)(nil)

func newInstrumentedTable(table tabler.Table, r metrics.Registry) *instrumentedTable {
	return &instrumentedTable{
		table:  table,
		reads:  metrics.GetOrRegisterTimer("store-reads", r),
		writes: metrics.GetOrRegisterTimer("store-writes", r),
		errors: metrics.GetOrRegisterCounter("store-errors", r),
	}
}

// Read implements tabler.Table.
func (t *instrumentedTable) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	began := time.Now()
	rows, err := t.table.Read(ctx, keys)
	t.record(t.reads, began, err)
	return rows, err
}

// Scan implements tabler.Table.
func (t *instrumentedTable) Scan(ctx context.Context, table, prefix string) ([]tabler.Row, error) {
	began := time.Now()
	rows, err := t.table.Scan(ctx, table, prefix)
	t.record(t.reads, began, err)
	return rows, err
}

// Commit implements tabler.Table.
func (t *instrumentedTable) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	began := time.Now()
	result, err := t.table.Commit(ctx, writes)
	t.record(t.writes, began, err)
	return result, err
}

// reachable reports whether the last call got an answer.
func (t *instrumentedTable) reachable() bool { return !t.unreachable.Load() }

// record updates the metrics and the reachability after a call.
func (t *instrumentedTable) record(timer metrics.Timer, began time.Time, err error) {
	timer.UpdateSince(began)
	if err == nil {
		t.unreachable.Store(false)
		return
	}
	t.errors.Inc(1)
	kind := fault.KindOf(err)
	t.unreachable.Store(kind == fault.Unavailable || kind == fault.Uncertain || kind == fault.Expired)
}
