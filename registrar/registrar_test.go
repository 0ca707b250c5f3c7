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

// memberOf returns a member without an expiry time.
func memberOf(name string, incarnation task.Incarnation) registrar.Member {
	return registrar.Member{
		Process: task.Process{Name: name, Incarnation: incarnation},
		Address: netip.MustParseAddrPort("10.0.0.1:7000"),
		Zone:    "cartago",
	}
}

// startRegistrar starts a Registrar with the default intervals.
func startRegistrar(table tabler.Table, member registrar.Member) *registrar.Registrar {
	seed := uint64(member.Process.Incarnation)
	return registrar.New(registrar.Options{Table: table, Member: member, Random: rand.New(rand.NewPCG(seed, seed))})
}

// memberNames returns the names of the members' processes, in the same order.
func memberNames(members []registrar.Member) []string {
	var processNames []string
	for _, m := range members {
		processNames = append(processNames, m.Process.Name)
	}
	return processNames
}

func TestRowRoundTrip(t *testing.T) {
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

// inBubble runs a test with an empty table and fake time, in a synctest bubble.
func inBubble(t *testing.T, test func(t *testing.T, is *is.I, table *emulator.Table)) {
	synctest.Test(t, func(t *testing.T) { test(t, is.New(t), emulator.NewTable(emulator.Options{})) })
}

func TestRegisterAndDeregister(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		first, second := startRegistrar(table, memberOf("a", 1)), startRegistrar(table, memberOf("b", 2))
		reader := startRegistrar(table, registrar.Member{}) // Lists without registering.
		defer reader.Close()
		time.Sleep(3 * time.Second)
		members, _ := reader.Members()
		is.Equal(memberNames(members), []string{"a", "b"})

		second.SetRevision(9)
		time.Sleep(3 * time.Second)
		members, _ = reader.Members()
		is.Equal(members[1].Revision, uint64(9))

		first.Close()
		time.Sleep(3 * time.Second)
		members, _ = reader.Members()
		is.Equal(memberNames(members), []string{"b"})
		second.Close()
	})
}

func TestDeadMemberExpiresAndIsDeleted(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		dead := memberOf("dead", 1)
		dead.Expires = time.Now().Add(10 * time.Second)
		_, err := table.Commit(t.Context(), []tabler.Write{{
			Key: registrar.KeyOf(dead.Process), Unconditional: true, Value: registrar.EncodeRow(dead),
		}})
		is.NoErr(err)
		alive := startRegistrar(table, memberOf("alive", 2))
		defer alive.Close()
		time.Sleep(5 * time.Second)
		members, _ := alive.Members()
		is.Equal(memberNames(members), []string{"alive", "dead"})
		time.Sleep(10 * time.Second)
		members, _ = alive.Members()
		is.Equal(memberNames(members), []string{"alive"})
		time.Sleep(2 * time.Minute)
		listed, err := registrar.List(t.Context(), table)
		is.NoErr(err)
		is.Equal(memberNames(listed), []string{"alive"})
	})
}

// Guards against an entry that counts as alive for good: another writer left a row
// that expires in centuries, and nothing answers at its address.
func TestRowThatExpiresTooLateNamesNoEntry(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		odd := memberOf("odd", 1)
		odd.Expires = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)
		_, err := table.Commit(t.Context(), []tabler.Write{{
			Key: registrar.KeyOf(odd.Process), Unconditional: true, Value: registrar.EncodeRow(odd),
		}})
		is.NoErr(err)
		entry := startRegistrar(table, memberOf("entry", 2))
		defer entry.Close()
		time.Sleep(5 * time.Second)
		members, _ := entry.Members()
		is.Equal(memberNames(members), []string{"entry"})
		listed, err := registrar.List(t.Context(), table)
		is.NoErr(err)
		is.Equal(memberNames(registrar.Live(listed, time.Now())), []string{"entry"})
	})
}

// A row that expired long ago isn't deleted as soon as a Registrar starts, because
// its entry may be about to renew it after a store outage.
func TestExpiredRowIsKeptAfterStart(t *testing.T) {
	inBubble(t, func(t *testing.T, is *is.I, table *emulator.Table) {
		old := memberOf("old", 1)
		old.Expires = time.Now().Add(-time.Hour) // The store may have been down for the hour.
		_, err := table.Commit(t.Context(), []tabler.Write{{
			Key: registrar.KeyOf(old.Process), Unconditional: true, Value: registrar.EncodeRow(old),
		}})
		is.NoErr(err)
		entry := startRegistrar(table, memberOf("new", 2))
		defer entry.Close()
		time.Sleep(50 * time.Second)
		listed, err := registrar.List(t.Context(), table)
		is.NoErr(err)
		is.Equal(memberNames(listed), []string{"new", "old"})
		time.Sleep(20 * time.Second)
		listed, err = registrar.List(t.Context(), table)
		is.NoErr(err)
		is.Equal(memberNames(listed), []string{"new"})
	})
}

// During and after a store outage, all members that were live before it stay in
// the list.
func TestMembersSurviveStoreOutage(t *testing.T) {
	for _, kind := range []emulator.FaultKind{emulator.Down, emulator.Hung} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			table := emulator.NewTable(emulator.Options{})
			var lists [][]string
			first, second := startRegistrar(table, memberOf("a", 1)), startRegistrar(table, memberOf("b", 2))
			reader := registrar.New(registrar.Options{Table: table, Random: rand.New(rand.NewPCG(3, 3)), OnList: func(members []registrar.Member) {
				lists = append(lists, memberNames(members))
			}})
			time.Sleep(5 * time.Second)
			synctest.Wait()
			lists = nil
			is.NoErr(table.SetFault(emulator.Fault{Kind: kind}))
			time.Sleep(10 * time.Minute)
			members, listedAt := reader.Members()
			is.Equal(memberNames(members), []string{"a", "b"})
			is.True(time.Since(listedAt) > 9*time.Minute)

			table.ClearFaults()
			time.Sleep(time.Minute)
			reader.Close()
			is.True(len(lists) > 10)
			for _, list := range lists {
				is.Equal(list, []string{"a", "b"}) // No entry is missing that has yet to renew.
			}
			first.Close()
			second.Close()
		})
	}
}

// A member that dies during a store outage can't deregister. It is listed
// during the grace period after the outage, but not afterwards.
func TestMemberThatDiedDuringOutageExpires(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		alive, dying := startRegistrar(table, memberOf("alive", 1)), startRegistrar(table, memberOf("dying", 2))
		defer alive.Close()
		time.Sleep(5 * time.Second)
		is.NoErr(table.SetFault(emulator.Fault{Kind: emulator.Down}))
		dying.Close() // The store is down, so its row stays.
		time.Sleep(30 * time.Second)
		table.ClearFaults()
		time.Sleep(30 * time.Second)
		members, _ := alive.Members()
		is.Equal(memberNames(members), []string{"alive"})
	})
}

func TestStoreCallRate(t *testing.T) {
	inBubble(t, func(_ *testing.T, is *is.I, table *emulator.Table) {
		var registrars []*registrar.Registrar
		for i := range 30 {
			registrars = append(registrars, startRegistrar(table, memberOf("entry", task.Incarnation(i+1))))
		}
		time.Sleep(time.Minute)
		counts := table.Counts()
		for _, k := range registrars {
			k.Close()
		}
		is.True(counts.Commits <= 60*30*2/3) // With jitter, the shortest interval is 1.5 s.
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
