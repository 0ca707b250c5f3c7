package historian_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/emulator"
	"agatevalve/historian"
	"agatevalve/router"
	"agatevalve/tabler"
)

// newTable returns a table with revisions 1 to last and a snapshot at revision
// 2. At each revision, the queue limit of the pool desk is the revision number.
func newTable(t *testing.T, last uint64) *emulator.Table {
	t.Helper()
	table := emulator.NewTable(emulator.Options{})
	for number := uint64(1); number <= last; number++ {
		pool := router.Pool{Name: "desk", QueueLimit: int(number)}
		c := historian.Configuration{Revision: number, Pools: []router.Pool{pool}}
		r := historian.Revision{
			Number: number, Token: historian.Token(fmt.Sprint(number)), Who: "ana", Why: "test", When: time.Unix(1e9, 0),
			Digest:  c.Digest(),
			Changes: historian.Changes{Pools: []historian.Change[router.Pool]{{Name: "desk", After: &pool}}},
		}
		if number >= 2 {
			r.Snapshot = 2
		}
		put(t, table, historian.RevisionKey(number), historian.EncodeRevision(r))
		if number == 2 {
			put(t, table, historian.SnapshotKey(number), historian.EncodeSnapshot(c))
		}
		put(t, table, historian.HeadKey, historian.EncodeHead(historian.Head{Revision: number, Token: r.Token, Snapshot: r.Snapshot}))
	}
	return table
}

// put writes one row, whatever its version.
func put(t *testing.T, table tabler.Table, key tabler.Key, value []byte) {
	t.Helper()
	_, err := table.Commit(t.Context(), []tabler.Write{{Key: key, Unconditional: true, Value: value}})
	if err != nil {
		t.Fatal(err)
	}
}

func TestAdvance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := historian.New(newTable(t, 5))
		head, err := h.Head(t.Context())
		is.NoErr(err)
		for known := range uint64(6) {
			from, err := h.ConfigurationAt(t.Context(), known)
			is.NoErr(err)
			got, err := h.Advance(t.Context(), from, head)
			is.NoErr(err)
			is.Equal(got.Revision, uint64(5))
			is.Equal(got.Pools[0].QueueLimit, 5)
		}
		_, err = h.Advance(t.Context(), historian.Configuration{Revision: 6}, head)
		is.Equal(fault.KindOf(err), fault.Invalid)
		_, err = h.ConfigurationAt(t.Context(), 6)
		is.Equal(fault.KindOf(err), fault.NotFound)
	})
}

func TestEmptyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		head, c, err := historian.New(emulator.NewTable(emulator.Options{})).Current(t.Context())
		is.NoErr(err)
		is.Equal(head, historian.Head{})
		is.Equal(c.Revision, uint64(0))
	})
}

// TestCurrentDetectsDamagedRows overwrites or deletes rows directly in the
// table.
func TestCurrentDetectsDamagedRows(t *testing.T) {
	pool := router.Pool{Name: "desk", QueueLimit: 9}
	other := historian.Configuration{Revision: 2, Pools: []router.Pool{pool}}
	cases := []struct {
		name  string
		key   tabler.Key
		value []byte
		want  string
	}{
		{"mismatched snapshot", historian.SnapshotKey(2), historian.EncodeSnapshot(other), "digest"},
		{"missing snapshot", historian.SnapshotKey(2), nil, "snapshot of revision 2 is missing"},
		{"missing revision", historian.RevisionKey(2), nil, "revision 2"},
		{"truncated", historian.RevisionKey(2), []byte(`{"revision": 2,`), "can't be read"},
		{"corrupt compression", historian.RevisionKey(2), []byte{1, 2, 3}, "can't be read"},
		{"mismatched number", historian.RevisionKey(2), historian.EncodeRevision(historian.Revision{Number: 1, Snapshot: 2}), "holds 1"},
		{"unknown field of a newer version", historian.SnapshotKey(2), []byte(`{"routes": [], "pools": [], "regions": []}`), "can't be read"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newTable(t, 2)
				if c.value == nil {
					_, err := table.Commit(t.Context(), []tabler.Write{{Key: c.key, Unconditional: true, Delete: true}})
					is.New(t).NoErr(err)
				} else {
					put(t, table, c.key, c.value)
				}
				_, _, err := historian.New(table).Current(context.Background())
				if err == nil || !strings.Contains(err.Error(), c.want) {
					t.Fatalf("got %v, want %q", err, c.want)
				}
			})
		})
	}
}

func TestApplyOfDiffGivesTheOther(t *testing.T) {
	is := is.New(t)
	route := func(name, path string) router.Route { return router.Route{Name: name, PathPrefix: path, Pool: "p"} }
	pool := router.Pool{Name: "p", Quotas: []router.Quota{{Team: "a", Weight: 1}}}
	wider := router.Pool{Name: "p", Quotas: []router.Quota{{Team: "a", Weight: 2}}}
	a, err := historian.NewConfiguration(1, []router.Route{route("c", "/c"), route("a", "/a")}, []router.Pool{pool})
	is.NoErr(err)
	b, err := historian.NewConfiguration(2, []router.Route{route("b", "/b"), route("c", "/d")}, []router.Pool{wider})
	is.NoErr(err)
	changes := historian.Diff(a, b)
	is.Equal(changes.Len(), 4)
	got, err := a.Apply(2, changes)
	is.NoErr(err)
	is.Equal(got, b)
	back, err := b.Apply(1, historian.Diff(b, a))
	is.NoErr(err)
	is.Equal(back, a)
	is.Equal(historian.Diff(a, a).Len(), 0)
}

// FuzzDecodeConfiguration checks that a decoded configuration survives encoding
// and decoding again, and that errors are typed.
func FuzzDecodeConfiguration(f *testing.F) {
	f.Add([]byte(`{"revision":3,"routes":[{"name":"a","path-prefix":"/a","pool":"p","answer-within":"2s"}],` +
		`"pools":[{"name":"p","quotas":[{"team":"t","weight":1}]}]}`))
	f.Add([]byte(`{"routes":[],"pools":[{"name":"p","queue-limit":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := historian.DecodeConfiguration("f", data)
		if err != nil {
			if fault.KindOf(err) != fault.Invalid || fault.RemedyOf(err) == "" {
				t.Fatalf("error without kind or remedy: %v", err)
			}
			return
		}
		again, err := historian.DecodeConfiguration("f", historian.FormatConfiguration(c))
		if err != nil {
			t.Fatal(err)
		}
		if again.Revision != c.Revision || again.Digest() != c.Digest() || historian.Diff(c, again).Len() != 0 {
			t.Fatalf("%+v became %+v after encoding and decoding", c, again)
		}
	})
}
