package publisher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"agatevalve/emulator"
	"agatevalve/historian"
	"agatevalve/publisher"
	"agatevalve/router"
	"agatevalve/tabler"
)

// countingTable counts the bytes of the values read through it.
type countingTable struct {
	tabler.Table
	bytesRead int
}

func (c *countingTable) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	rows, err := c.Table.Read(ctx, keys)
	for _, r := range rows {
		c.bytesRead += len(r.Value)
	}
	return rows, err
}

// largeChanges returns changes that build a configuration of the size expected
// within two years.
func largeChanges() historian.Changes {
	var changes historian.Changes
	for i := range 500 {
		p := router.Pool{Name: fmt.Sprintf("pool-%03d", i), SlotsPerMinion: 8 + i%7, QueueLimit: 100 * i}
		for team := range 4 {
			p.Quotas = append(p.Quotas, router.Quota{Team: teamName((i + 5*team) % 27), Weight: 1 + (i+team)%9})
		}
		changes.Pools = append(changes.Pools, historian.Change[router.Pool]{Name: p.Name, After: &p})
	}
	for i := range 2000 {
		r := router.Route{
			Name: fmt.Sprintf("route-%04d", i), Host: fmt.Sprintf("desk-%d.example", i%40),
			PathPrefix: fmt.Sprintf("/service-%d/version-%d", i, i%5), Pool: fmt.Sprintf("pool-%03d", i%500),
			WasteWeight: i % 100, AnswerWithin: time.Duration(1+i%9) * time.Second,
		}
		changes.Routes = append(changes.Routes, historian.Change[router.Route]{Name: r.Name, After: &r})
	}
	return changes
}

// newLargeTable returns a table with the large configuration published, a view
// of it that counts the bytes read, and a publisher that uses that view.
func newLargeTable(tb testing.TB) (*emulator.Table, *countingTable, *publisher.Publisher) {
	fast := emulator.Options{WriteLatency: 1, ReadLatency: 1, WritesPerSecond: 1_000_000, ReadsPerSecond: 1_000_000}
	table := emulator.NewTable(fast)
	counting := &countingTable{Table: table}
	p := newPublisher(counting)
	_, err := p.Publish(context.Background(), publisher.Edit{Author: author, Changes: largeChanges()})
	if err != nil {
		tb.Fatal(err)
	}
	return table, counting, p
}

// TestBytesWrittenForOneRow bounds the bytes that an edit of one row among
// 2,500 writes. The edits include one snapshot.
func TestBytesWrittenForOneRow(t *testing.T) {
	const edits, maxBytesPerEdit = historian.SnapshotEvery, 8 << 10
	table, _, p := newLargeTable(t)
	before := table.Counts().Bytes
	for i := range uint64(edits) {
		if _, err := p.Publish(t.Context(), setPool(i+1, router.Pool{Name: "pool-000", SlotsPerMinion: int(i) + 1})); err != nil {
			t.Fatal(err)
		}
	}
	if each := (table.Counts().Bytes - before) / edits; each > maxBytesPerEdit {
		t.Fatalf("%d bytes per edit", each)
	}
}

// BenchmarkPublishOneRow publishes edits of one row in a large configuration.
func BenchmarkPublishOneRow(b *testing.B) {
	table, counting, p := newLargeTable(b)
	before, read, base := table.Counts(), counting.bytesRead, uint64(1)
	for b.Loop() {
		if _, err := p.Publish(b.Context(), setPool(base, router.Pool{Name: "pool-000", SlotsPerMinion: int(base)%9000 + 1})); err != nil {
			b.Fatal(err)
		}
		base++
	}
	now := table.Counts()
	b.ReportMetric(float64(now.Bytes-before.Bytes)/float64(b.N), "written-B/op")
	b.ReportMetric(float64(counting.bytesRead-read)/float64(b.N), "read-B/op")
	b.ReportMetric(float64(now.Rows-before.Rows)/float64(b.N), "rows/op")
}

// BenchmarkCheckOneRow checks an edit of one row in a large configuration.
func BenchmarkCheckOneRow(b *testing.B) {
	_, _, p := newLargeTable(b)
	edit := setPool(1, router.Pool{Name: "pool-000", SlotsPerMinion: 3})
	for b.Loop() {
		if _, err := p.Check(b.Context(), edit); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFollowOneRow reads and compiles a new revision that changes one row,
// as an entry does for each revision.
func BenchmarkFollowOneRow(b *testing.B) {
	_, counting, p := newLargeTable(b)
	h := historian.New(counting)
	head, known, err := h.Current(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	if _, err := p.Publish(b.Context(), setPool(head.Revision, router.Pool{Name: "pool-000", SlotsPerMinion: 3})); err != nil {
		b.Fatal(err)
	}
	read := counting.bytesRead
	for b.Loop() {
		head, err := h.Head(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		next, err := h.Advance(b.Context(), known, head)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := next.Compile(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(counting.bytesRead-read)/float64(b.N), "read-B/op")
}
