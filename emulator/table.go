// Package emulator stands in for the platform in tests and demonstrations: a
// transactional table service with the limits of the real one, and minions.
// Both take faults while they run.
//
// The table service is a queue with one server for writes and one for reads.
// Each transaction occupies its server for the inverse of the rate, so that a
// burst waits as it does at the real service. All waits use the time package
// and so run in a testing/synctest bubble.
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

// Limits of the stand-in when the options name none.
const (
	defaultWriteTakes      = 4 * time.Millisecond
	defaultReadTakes       = 500 * time.Microsecond
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultMaxWait         = 10 * time.Second
	defaultMaxRows         = 4096
	defaultMaxBytes        = 8 << 20
)

// Options configure a Table. Zero fields take the limits of the platform.
type Options struct {
	// WriteTakes is the time from the start of a write to its reply.
	WriteTakes time.Duration
	// ReadTakes is the time from the start of a read to its reply.
	ReadTakes time.Duration
	// WritesPerSecond and ReadsPerSecond cap the transactions served.
	WritesPerSecond int
	ReadsPerSecond  int
	// MaxWait bounds the queue; a call that would wait longer is refused.
	MaxWait time.Duration
	// MaxRows and MaxBytes bound one transaction.
	MaxRows  int
	MaxBytes int
}

// Counts are the totals that a Table has served, without refused calls.
type Counts struct {
	// Commits is the number of transactions that wrote or found a conflict.
	Commits int
	// Conflicts is the number of transactions that wrote nothing.
	Conflicts int
	// Rows and Bytes count the rows written and the size of their values.
	Rows  int
	Bytes int
	// Reads and Scans count the transactions that read.
	Reads int
	Scans int
}

// Table is a transactional table service in memory, safe for concurrent use.
type Table struct {
	options Options
	mu      sync.Mutex
	// tables maps table to row name to row. Rows hold their own values.
	tables map[string]map[string]tabler.Row
	writer server
	reader server
	faults faultSet
	counts Counts
}

// server is a queue with one server. free is when it has served all that was
// admitted so far.
type server struct {
	interval time.Duration
	free     time.Time
}

// NewTable returns an empty Table.
func NewTable(options Options) *Table {
	setDefault(&options.WriteTakes, defaultWriteTakes)
	setDefault(&options.ReadTakes, defaultReadTakes)
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

// Read returns the rows that exist among keys.
func (t *Table) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	if len(keys) > t.options.MaxRows {
		return nil, t.tooManyRows(len(keys))
	}
	return t.read(ctx, func() []tabler.Row {
		t.counts.Reads++
		return t.lookUp(keys)
	})
}

// Scan returns all rows of a table whose names begin with prefix, by name.
func (t *Table) Scan(ctx context.Context, table, prefix string) ([]tabler.Row, error) {
	return t.read(ctx, func() []tabler.Row {
		t.counts.Scans++
		return t.list(table, prefix)
	})
}

// Commit applies all writes, or none. A write whose caller leaves early still
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
		done <- t.apply(writes)
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

// Counts returns the totals so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

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

// admission is a call's place in the queue.
type admission struct {
	// due is when the call takes effect, unless a fault holds it.
	due time.Time
	// released is closed when the hang that holds the call ends; nil without one.
	released <-chan struct{}
	// loseReply means that the call takes effect and its reply is lost.
	loseReply bool
}

// wait returns once the call is due, and reports false when ctx ends first.
func (a admission) wait(ctx context.Context) bool {
	if a.released != nil {
		select {
		case <-a.released:
		case <-ctx.Done():
			return false
		}
	}
	left := time.Until(a.due)
	if left <= 0 {
		// A due timer in a synctest bubble can crash the race detector.
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Table) admit(ctx context.Context, on Operations) (admission, error) {
	if err := ctx.Err(); err != nil {
		return admission{}, fault.Wrap(err, fault.Unavailable, "retry with a later deadline", "the call ended before it was sent")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	effect := t.faults.draw(on)
	if effect.down {
		return admission{}, fault.New(fault.Unavailable, "retry later", "the table service is down")
	}
	queue, takes := &t.reader, t.options.ReadTakes
	if on == Writes {
		queue, takes = &t.writer, t.options.WriteTakes
	}
	now := time.Now()
	start := now
	if queue.free.After(now) {
		start = queue.free
	}
	if start.Sub(now) > t.options.MaxWait {
		return admission{}, fault.New(fault.Unavailable, "retry later", "the table service is overloaded")
	}
	queue.free = start.Add(queue.interval)
	return admission{
		due:       start.Add(takes + effect.delay),
		released:  effect.released,
		loseReply: effect.loseReply,
	}, nil
}

func (t *Table) apply(writes []tabler.Write) tabler.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	conflicts := t.findConflicts(writes)
	if len(conflicts) > 0 {
		t.counts.Conflicts++
		return tabler.Result{Conflicts: conflicts}
	}
	for _, w := range writes {
		t.applyOne(w)
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

func (t *Table) applyOne(w tabler.Write) {
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

func (t *Table) lookUp(keys []tabler.Key) []tabler.Row {
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

func (t *Table) list(table, prefix string) []tabler.Row {
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
