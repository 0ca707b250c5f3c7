// Package emulator simulates the platform for tests and demonstrations: a
// transactional table service with the limits of the real one, and minions.
// Faults can be injected into both while they run.
//
// The table service has one queue for writes and one for reads, each with a
// single server. A transaction occupies its server for the inverse of the rate,
// so that bursts queue as they do at the real service. All waits use the time
// package and so work in a testing/synctest bubble.
package emulator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"agatevalve/common/fault"
	"agatevalve/tabler"
)

var _ tabler.Table = (*Table)(nil)

// Default limits.
const (
	defaultWriteLatency    = 4 * time.Millisecond
	defaultReadLatency     = 500 * time.Microsecond
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultMaxWait         = 10 * time.Second
	defaultMaxRows         = 4096
	defaultMaxBytes        = 8 << 20
)

// Options configure a Table. Zero fields stand for the limits of the platform.
type Options struct {
	// WriteLatency is the time from the start of a write to its reply.
	WriteLatency time.Duration
	// ReadLatency is the time from the start of a read to its reply.
	ReadLatency time.Duration
	// WritesPerSecond and ReadsPerSecond limit the rates of transactions.
	WritesPerSecond int
	ReadsPerSecond  int
	// MaxWait limits the time in the queue; calls that would wait longer are
	// rejected.
	MaxWait time.Duration
	// MaxRows and MaxBytes limit one transaction.
	MaxRows  int
	MaxBytes int
}

// Counts are the operations that a Table has served, without rejected calls.
type Counts struct {
	// Commits is the number of transactions that were applied or had a
	// conflict.
	Commits int
	// Conflicts is the number of transactions that wrote nothing because of a
	// conflict.
	Conflicts int
	// Rows and Bytes are the number of rows written and the size of their
	// values.
	Rows  int
	Bytes int
	// Reads and Scans are the numbers of read transactions.
	Reads int
	Scans int
}

// Table is an in-memory transactional table service, safe for concurrent use.
type Table struct {
	options Options
	mu      sync.Mutex
	// tables maps table name to row name to row. The values are not shared with
	// callers.
	tables map[string]map[string]tabler.Row
	writer server
	reader server
	faults faultSet
	counts Counts
}

// server is the only server of a queue, and is idle from freeAt on.
type server struct {
	interval time.Duration
	freeAt   time.Time
}

// NewTable returns an empty Table.
func NewTable(options Options) *Table {
	setDefault(&options.WriteLatency, defaultWriteLatency)
	setDefault(&options.ReadLatency, defaultReadLatency)
	setDefault(&options.WritesPerSecond, defaultWritesPerSecond)
	setDefault(&options.ReadsPerSecond, defaultReadsPerSecond)
	setDefault(&options.MaxWait, defaultMaxWait)
	setDefault(&options.MaxRows, defaultMaxRows)
	setDefault(&options.MaxBytes, defaultMaxBytes)
	return &Table{
		options: options,
		tables:  map[string]map[string]tabler.Row{},
		writer:  server{interval: time.Second / time.Duration(options.WritesPerSecond)},
		reader:  server{interval: time.Second / time.Duration(options.ReadsPerSecond)},
		faults:  newFaultSet(),
	}
}

// Read returns the rows with the given keys that exist.
func (t *Table) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	if len(keys) > t.options.MaxRows {
		return nil, t.tooManyRows(len(keys))
	}
	return t.read(ctx, func() []tabler.Row {
		t.counts.Reads++
		return t.rowsByKey(keys)
	})
}

// Scan returns the rows of a table whose names begin with prefix, sorted by
// name.
func (t *Table) Scan(ctx context.Context, table, prefix string) ([]tabler.Row, error) {
	return t.read(ctx, func() []tabler.Row {
		t.counts.Scans++
		return t.rowsByPrefix(table, prefix)
	})
}

// Commit applies all writes or none. A write whose caller gives up early still
// takes effect when its turn comes.
func (t *Table) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	if err := t.checkWrites(writes); err != nil {
		return tabler.Result{}, err
	}
	writes = copyWrites(writes)
	admission, err := t.admit(ctx, Writes)
	if err != nil {
		return tabler.Result{}, err
	}
	done := make(chan tabler.Result, 1)
	go func() {
		admission.wait(context.Background())
		done <- t.applyWrites(writes)
	}()
	select {
	case result := <-done:
		if admission.loseReply {
			return tabler.Result{}, errReplyLost()
		}
		return result, nil
	case <-ctx.Done():
		return tabler.Result{}, fault.Wrap(ctx.Err(), fault.Uncertain,
			"read the rows to learn whether they were written", "the write was not answered in time")
	}
}

// Counts returns the operations counted so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// read waits for its turn in the queue and runs the query under the lock.
func (t *Table) read(ctx context.Context, query func() []tabler.Row) ([]tabler.Row, error) {
	admission, err := t.admit(ctx, Reads)
	if err != nil {
		return nil, err
	}
	if !admission.wait(ctx) || admission.loseReply {
		return nil, fault.New(fault.Unavailable, "retry later", "the read was not answered")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return query(), nil
}

// admission is the place of a call in the queue.
type admission struct {
	// due is the time at which the call takes effect unless a fault delays it.
	due time.Time
	// released is closed when the fault that blocks the call is cleared; nil
	// without such a fault.
	released <-chan struct{}
	// loseReply means that the call takes effect but its reply is lost.
	loseReply bool
}

// wait returns when the call is due. It returns false if ctx ends before that.
func (a admission) wait(ctx context.Context) bool {
	if a.released != nil {
		select {
		case <-a.released:
		case <-ctx.Done():
			return false
		}
	}
	delay := time.Until(a.due)
	if delay <= 0 {
		// A timer that is already due can crash the race detector in a synctest bubble.
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// admit adds a call to its queue, or rejects it if the service is down or the
// wait would be too long.
func (t *Table) admit(ctx context.Context, on Operations) (admission, error) {
	if err := ctx.Err(); err != nil {
		return admission{}, fault.Wrap(err, fault.Unavailable, "retry with a later deadline", "the call ended before it was sent")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	effect := t.faults.apply(on)
	if effect.down {
		return admission{}, fault.New(fault.Unavailable, "retry later", "the table service is down")
	}
	queue, latency := &t.reader, t.options.ReadLatency
	if on == Writes {
		queue, latency = &t.writer, t.options.WriteLatency
	}
	now := time.Now()
	start := now
	if queue.freeAt.After(now) {
		start = queue.freeAt
	}
	if start.Sub(now) > t.options.MaxWait {
		return admission{}, fault.New(fault.Unavailable, "retry later", "the table service is overloaded")
	}
	queue.freeAt = start.Add(queue.interval)
	return admission{
		due:       start.Add(latency + effect.delay),
		released:  effect.released,
		loseReply: effect.loseReply,
	}, nil
}

func (t *Table) applyWrites(writes []tabler.Write) tabler.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	conflicts := t.findConflicts(writes)
	if len(conflicts) > 0 {
		t.counts.Conflicts++
		return tabler.Result{Conflicts: conflicts}
	}
	for _, w := range writes {
		t.applyWrite(w)
	}
	return tabler.Result{Applied: true}
}

func (t *Table) findConflicts(writes []tabler.Write) []tabler.Row {
	var conflicts []tabler.Row
	for _, w := range writes {
		row := t.tables[w.Key.Table][w.Key.Row]
		if w.Unconditional || row.Version == w.Expect {
			continue
		}
		row.Key = w.Key
		row.Value = slices.Clone(row.Value)
		conflicts = append(conflicts, row)
	}
	return conflicts
}

func (t *Table) applyWrite(w tabler.Write) {
	t.counts.Rows++
	t.counts.Bytes += len(w.Value)
	rows := t.tables[w.Key.Table]
	if w.Delete {
		delete(rows, w.Key.Row)
		return
	}
	if rows == nil {
		rows = map[string]tabler.Row{}
		t.tables[w.Key.Table] = rows
	}
	version := rows[w.Key.Row].Version + 1
	rows[w.Key.Row] = tabler.Row{Key: w.Key, Version: version, Value: w.Value}
}

func (t *Table) rowsByKey(keys []tabler.Key) []tabler.Row {
	var found []tabler.Row
	for _, k := range keys {
		row, ok := t.tables[k.Table][k.Row]
		if !ok {
			continue
		}
		row.Value = slices.Clone(row.Value)
		found = append(found, row)
	}
	return found
}

func (t *Table) rowsByPrefix(table, prefix string) []tabler.Row {
	var found []tabler.Row
	for name, row := range t.tables[table] {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		row.Value = slices.Clone(row.Value)
		found = append(found, row)
	}
	slices.SortFunc(found, func(a, b tabler.Row) int { return strings.Compare(a.Key.Row, b.Key.Row) })
	return found
}

func (t *Table) checkWrites(writes []tabler.Write) error {
	if len(writes) == 0 {
		return fault.New(fault.Invalid, "send at least one write", "the transaction is empty")
	}
	if len(writes) > t.options.MaxRows {
		return t.tooManyRows(len(writes))
	}
	seen := make(map[tabler.Key]bool, len(writes))
	bytes := 0
	for _, w := range writes {
		if w.Key.Table == "" || w.Key.Row == "" {
			return fault.New(fault.Invalid, "name table and row", "a write has an empty key")
		}
		if seen[w.Key] {
			return fault.New(fault.Invalid, "write each row once per transaction", "row %s stands twice", w.Key.Row)
		}
		seen[w.Key] = true
		bytes += len(w.Value)
	}
	if bytes > t.options.MaxBytes {
		return fault.New(fault.TooLarge, "send fewer rows at once",
			"a transaction of %d bytes exceeds %d", bytes, t.options.MaxBytes)
	}
	return nil
}

func (t *Table) tooManyRows(count int) error {
	return fault.New(fault.TooLarge, "send fewer rows at once", "%d rows exceed %d", count, t.options.MaxRows)
}

func errReplyLost() error {
	return fault.New(fault.Uncertain, "read the rows to learn whether they were written", "the reply to the write was lost")
}

func copyWrites(writes []tabler.Write) []tabler.Write {
	copied := slices.Clone(writes)
	for i := range copied {
		copied[i].Value = slices.Clone(copied[i].Value)
	}
	return copied
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
