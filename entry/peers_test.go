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

// disconnectableTable is a table service whose calls fail while it is
// disconnected.
type disconnectableTable struct {
	tabler.Table
	disconnected atomic.Bool
	// entryScans counts the successful scans of the table of entries.
	entryScans atomic.Int64
}

func (c *disconnectableTable) checkConnected() error {
	if c.disconnected.Load() {
		return fault.New(fault.Unavailable, "retry later", "disconnected from the table service")
	}
	return nil
}

// Read implements tabler.Table.
func (c *disconnectableTable) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	if err := c.checkConnected(); err != nil {
		return nil, err
	}
	return c.Table.Read(ctx, keys)
}

// Scan implements tabler.Table.
func (c *disconnectableTable) Scan(ctx context.Context, table, prefix string) ([]tabler.Row, error) {
	if err := c.checkConnected(); err != nil {
		return nil, err
	}
	rows, err := c.Table.Scan(ctx, table, prefix)
	if err == nil && table == tabler.Entries {
		c.entryScans.Add(1)
	}
	return rows, err
}

// Commit implements tabler.Table.
func (c *disconnectableTable) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	if err := c.checkConnected(); err != nil {
		return tabler.Result{}, err
	}
	return c.Table.Commit(ctx, writes)
}

// publishPool publishes a configuration that adds a pool to the base revision.
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

// TestDisconnectedEntryGetsConfigurationFromAnother disconnects one of two
// entries from the table service. It must still load a new configuration from
// the other entry. No agent runs, since its messages also carry revisions.
func TestDisconnectedEntryGetsConfigurationFromAnother(t *testing.T) {
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
	secondSettings := settings()
	secondSettings.Name = "entry-2"
	secondTable := &disconnectableTable{Table: table}
	second, err := entry.New(entry.Options{Settings: secondSettings, Table: secondTable})
	is.NoErr(err)
	defer closeEntry(t, second)
	s.await("the second entry is ready and has listed the first", func() bool { return second.Ready() && secondTable.entryScans.Load() > 0 })

	inForce := func(revision string) bool {
		_, body := get("http://" + second.Operators().String() + "/metrics")
		return strings.Contains(body, "\nagatevalve_revision_in_force "+revision+"\n")
	}
	is.True(inForce("1"))
	secondTable.disconnected.Store(true)
	publishPool(t, table, 1, "next")
	s.await("the second entry has loaded revision 2 from the first", func() bool { return inForce("2") })
	status, _ := get("http://" + second.Operators().String() + "/readyz")
	is.Equal(status, http.StatusOK)

	secondTable.disconnected.Store(false)
	publishPool(t, table, 2, "last")
	s.await("the second entry has loaded revision 3", func() bool { return inForce("3") })
}
