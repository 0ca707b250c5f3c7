package registrar_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/emulator"
	"agatevalve/registrar"
	"agatevalve/tabler"
)

func memberOf(name string, incarnation task.Incarnation) registrar.Member {
	return registrar.Member{
		Process: task.Process{Name: name, Incarnation: incarnation},
		Address: netip.MustParseAddrPort("10.0.0.1:7000"),
		Zone:    "cartago",
	}
}

func keep(table tabler.Table, member registrar.Member) *registrar.Keeper {
	seed := uint64(member.Process.Incarnation)
	return registrar.New(registrar.Options{Table: table, Member: member, Random: rand.New(rand.NewPCG(seed, seed))})
}

func names(members []registrar.Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Process.Name)
	}
	return list
}

func TestRowKeepsItsMember(t *testing.T) {
	is := is.New(t)
	member := memberOf("entry-1", 1<<63)
	member.Revision = 7
	member.Expires = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	row := tabler.Row{Key: registrar.KeyOf(member.Process), Version: 1, Value: registrar.EncodeRow(member)}
	decoded, err := registrar.DecodeRow(row)
	is.NoErr(err)
	is.Equal(decoded, member)
	row.Key.Row = "entry-2/1"
	_, err = registrar.DecodeRow(row)
	is.Equal(fault.KindOf(err), fault.Invalid)
}

// inBubble runs a test of a table in a bubble.
func inBubble(t *testing.T, test func(t *testing.T, is *is.I, table *emulator.Table)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), emulator.NewTable(emulator.Options{})) })
}

func TestMembersComeAndGo(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		first, second := keep(table, memberOf("a", 1)), keep(table, memberOf("b", 2))
		reader := keep(table, registrar.Member{}) // An agent lists and isn't listed.
		defer reader.Close()
		time.Sleep(3 * time.Second)
		members, _ := reader.Members()
		is.Equal(names(members), []string{"a", "b"})

		second.SetRevision(9)
		time.Sleep(3 * time.Second)
		members, _ = reader.Members()
		is.Equal(members[1].Revision, uint64(9))

		first.Close()
		time.Sleep(3 * time.Second)
		members, _ = reader.Members()
		is.Equal(names(members), []string{"b"})
		second.Close()
	})
}

func TestDeadMemberExpiresAndIsDeleted(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		dead := memberOf("dead", 1)
		dead.Expires = time.Now().Add(10 * time.Second)
		_, err := table.Commit(t.Context(), []tabler.Write{{
			Key: registrar.KeyOf(dead.Process), Any: true, Value: registrar.EncodeRow(dead),
		}})
		is.NoErr(err)
		alive := keep(table, memberOf("alive", 2))
		defer alive.Close()
		time.Sleep(5 * time.Second)
		members, _ := alive.Members()
		is.Equal(names(members), []string{"alive", "dead"})
		time.Sleep(10 * time.Second)
		members, _ = alive.Members()
		is.Equal(names(members), []string{"alive"})
		time.Sleep(2 * time.Minute)
		listed, err := registrar.List(t.Context(), table)
		is.NoErr(err)
		is.Equal(names(listed), []string{"alive"})
	})
}

func TestExpiredRowIsNotDeletedAtFirstSight(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		old := memberOf("old", 1)
		old.Expires = time.Now().Add(-time.Hour) // The store may have been down for the hour.
		_, err := table.Commit(t.Context(), []tabler.Write{{
			Key: registrar.KeyOf(old.Process), Any: true, Value: registrar.EncodeRow(old),
		}})
		is.NoErr(err)
		keeper := keep(table, memberOf("new", 2))
		defer keeper.Close()
		time.Sleep(50 * time.Second)
		listed, err := registrar.List(t.Context(), table)
		is.NoErr(err)
		is.Equal(names(listed), []string{"new", "old"})
		time.Sleep(20 * time.Second)
		listed, err = registrar.List(t.Context(), table)
		is.NoErr(err)
		is.Equal(names(listed), []string{"new"})
	})
}

func TestListOutlivesAnOutage(t *testing.T) {
	for _, kind := range []emulator.FaultKind{emulator.Down, emulator.Hung} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			table := emulator.NewTable(emulator.Options{})
			var lists [][]string
			first, second := keep(table, memberOf("a", 1)), keep(table, memberOf("b", 2))
			watcher := registrar.New(registrar.Options{Table: table, Random: rand.New(rand.NewPCG(3, 3)), Changed: func(members []registrar.Member) {
				lists = append(lists, names(members))
			}})
			time.Sleep(5 * time.Second)
			synctest.Wait()
			lists = nil
			is.NoErr(table.SetFault(emulator.Fault{Kind: kind}))
			time.Sleep(10 * time.Minute)
			members, seen := watcher.Members()
			is.Equal(names(members), []string{"a", "b"})
			is.True(time.Since(seen) > 9*time.Minute)

			table.ClearFaults()
			time.Sleep(time.Minute)
			watcher.Close()
			is.True(len(lists) > 10)
			for _, list := range lists {
				is.Equal(list, []string{"a", "b"}) // No list misses an entry that hadn't renewed yet.
			}
			first.Close()
			second.Close()
		})
	}
}

func TestMemberThatDiedInAnOutageIsGivenUp(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		alive, dying := keep(table, memberOf("alive", 1)), keep(table, memberOf("dying", 2))
		defer alive.Close()
		time.Sleep(5 * time.Second)
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
		dying.Close() // Its row can't be removed.
		time.Sleep(30 * time.Second)
		table.ClearFaults()
		time.Sleep(30 * time.Second)
		members, _ := alive.Members()
		is.Equal(names(members), []string{"alive"})
	})
}

func TestRenewalsAreFewAndSpread(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		var keepers []*registrar.Keeper
		for i := range 30 {
			keepers = append(keepers, keep(table, memberOf("entry", task.Incarnation(i+1))))
		}
		time.Sleep(time.Minute)
		counts := table.Counts()
		for _, k := range keepers {
			k.Close()
		}
		is.True(counts.Commits <= 60*30*2/3) // At most one in 1.5 s for each entry.
		is.True(counts.Scans <= 60*30*2/3+30)
	})
}

func FuzzDecodeRow(f *testing.F) {
	member := memberOf("a", 1)
	f.Add("a/0000000000000001", registrar.EncodeRow(member))
	f.Add("a/0000000000000001", []byte(`{}`))
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		is := is.New(t)
		key := tabler.Key{Table: tabler.Entries, Row: name}
		decoded, err := registrar.DecodeRow(tabler.Row{Key: key, Version: 1, Value: value})
		if err != nil {
			is.True(fault.RemedyOf(err) != "")
			return
		}
		again, err := registrar.DecodeRow(tabler.Row{Key: key, Version: 1, Value: registrar.EncodeRow(decoded)})
		is.NoErr(err)
		is.Equal(again.Process, decoded.Process)
		is.Equal(again.Address, decoded.Address)
	})
}
