package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/emulator"
	"agatevalve/entry"
	"agatevalve/historian"
	"agatevalve/publisher"
	"agatevalve/router"
	"agatevalve/tabler"
)

// cutTable is an entry's way to the table service, which can be cut.
type cutTable struct {
	tabler.Table
	cut atomic.Bool
	// listed counts the lists of entries that were read.
	listed atomic.Int64
}

func (c *cutTable) refuse() error {
	if c.cut.Load() {
		return fault.New(fault.Unavailable, "retry later", "cut off")
	}
	return nil
}

// Read implements tabler.Table.
func (c *cutTable) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	if err := c.refuse(); err != nil {
		return nil, err
	}
	return c.Table.Read(ctx, keys)
}

// Scan implements tabler.Table.
func (c *cutTable) Scan(ctx context.Context, table, prefix string) ([]tabler.Row, error) {
	if err := c.refuse(); err != nil {
		return nil, err
	}
	rows, err := c.Table.Scan(ctx, table, prefix)
	if err == nil && table == tabler.Entries {
		c.listed.Add(1)
	}
	return rows, err
}

// Commit implements tabler.Table.
func (c *cutTable) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	if err := c.refuse(); err != nil {
		return tabler.Result{}, err
	}
	return c.Table.Commit(ctx, writes)
}

// publishPool adds a pool to the configuration after the base.
func publishPool(t *testing.T, table tabler.Table, base uint64, name string) {
	t.Helper()
	p := publisher.New(publisher.Options{
		Table: table,
		Now:   time.Now,
		Token: func() historian.Token { return historian.Token(name) },
		Pause: func(ctx context.Context) error { return ctx.Err() },
	})
	pool := historian.Change[router.Pool]{Name: name, After: &router.Pool{Name: name}}
	_, err := p.Publish(context.Background(), publisher.Edit{
		Author:  publisher.Author{Who: "ana", Why: "next"},
		Base:    base,
		Changes: historian.Changes{Pools: []historian.Change[router.Pool]{pool}},
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestCutOffEntryFollowsAnother has one of two entries lose its way to the
// table service for good. No agent runs that could mention a revision.
func TestCutOffEntryFollowsAnother(t *testing.T) {
	is := is.New(t)
	s := &system{t: t}
	table := emulator.NewTable(emulator.Options{})
	publish(t, table)
	first := newEntry(t, table)
	defer closeEntry(t, first)
	s.await("the first entry is registered", func() bool {
		rows, err := table.Scan(context.Background(), tabler.Entries, "")
		return err == nil && len(rows) == 1
	})
	chosen := settings()
	chosen.Name = "entry-2"
	way := &cutTable{Table: table}
	second, err := entry.New(entry.Options{Settings: chosen, Table: way})
	is.NoErr(err)
	defer closeEntry(t, second)
	s.await("the second entry is ready and knows the first", func() bool { return second.Ready() && way.listed.Load() > 0 })

	inForce := func(revision string) bool {
		_, body := get("http://" + second.Operators().String() + "/metrics")
		return strings.Contains(body, "\nagatevalve_revision_in_force "+revision+"\n")
	}
	is.True(inForce("1"))
	way.cut.Store(true)
	publishPool(t, table, 1, "next")
	s.await("the second entry has what the first has", func() bool { return inForce("2") })
	status, _ := get("http://" + second.Operators().String() + "/readyz")
	is.Equal(status, http.StatusOK)

	way.cut.Store(false)
	publishPool(t, table, 2, "last")
	s.await("it goes on from there", func() bool { return inForce("3") })
}
