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

// meter counts the bytes of values that are read.
type meter struct {
	tabler.Table
	bytes int
}

func (m *meter) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	rows, err := m.Table.Read(ctx, keys)
	for _, r := range rows {
		m.bytes += len(r.Value)
	}
	return rows, err
}

// large returns a configuration of the size that is expected within two years.
func large() historian.Changes {
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

func newLarge(tb testing.TB) (*emulator.Table, *meter, *publisher.Publisher) {
	quick := emulator.Options{WriteTakes: 1, ReadTakes: 1, WritesPerSecond: 1_000_000, ReadsPerSecond: 1_000_000}
	table := emulator.NewTable(quick)
	m := &meter{Table: table}
	p := newPublisher(m)
	_, err := p.Publish(context.Background(), publisher.Edit{Author: author, Changes: large()})
	if err != nil {
		tb.Fatal(err)
	}
	return table, m, p
}

// TestOneRowWritesLittle bounds what changes of one row among 2,500 write, with
// one snapshot among them.
func TestOneRowWritesLittle(t *testing.T) {
	const edits, mostBytesPerEdit = historian.SnapshotEvery, 8 << 10
	table, _, p := newLarge(t)
	before := table.Counts().Bytes
	for i := range uint64(edits) {
		if _, err := p.Publish(t.Context(), setPool(i+1, router.Pool{Name: "pool-000", SlotsPerMinion: int(i) + 1})); err != nil {
			t.Fatal(err)
		}
	}
	if each := (table.Counts().Bytes - before) / edits; each > mostBytesPerEdit {
		t.Fatalf("%d bytes per edit", each)
	}
}

func BenchmarkPublishOneRow(b *testing.B) {
	table, m, p := newLarge(b)
	before, read, base := table.Counts(), m.bytes, uint64(1)
	for b.Loop() {
		if _, err := p.Publish(b.Context(), setPool(base, router.Pool{Name: "pool-000", SlotsPerMinion: int(base)%9000 + 1})); err != nil {
			b.Fatal(err)
		}
		base++
	}
	now := table.Counts()
	b.ReportMetric(float64(now.Bytes-before.Bytes)/float64(b.N), "written-B/op")
	b.ReportMetric(float64(m.bytes-read)/float64(b.N), "read-B/op")
	b.ReportMetric(float64(now.Rows-before.Rows)/float64(b.N), "rows/op")
}

func BenchmarkCheckOneRow(b *testing.B) {
	_, _, p := newLarge(b)
	edit := setPool(1, router.Pool{Name: "pool-000", SlotsPerMinion: 3})
	for b.Loop() {
		if _, err := p.Check(b.Context(), edit); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFollowOneRow is what an entry does for each new revision.
func BenchmarkFollowOneRow(b *testing.B) {
	_, m, p := newLarge(b)
	h := historian.New(m)
	head, known, err := h.Current(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	if _, err := p.Publish(b.Context(), setPool(head.Revision, router.Pool{Name: "pool-000", SlotsPerMinion: 3})); err != nil {
		b.Fatal(err)
	}
	read := m.bytes
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
	b.ReportMetric(float64(m.bytes-read)/float64(b.N), "read-B/op")
}
