package announcer_test

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"agatevalve/announcer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/registrar"
)

// rarely is a period that doesn't end in a test.
const rarely = time.Hour

func announce(o announcer.Options) *announcer.Announcer {
	o.Self = dispatcher.Announcement{
		Peer: dispatcher.Peer{
			Process: task.Process{Name: "agent-1", Incarnation: 3},
			Address: netip.MustParseAddrPort("127.0.0.1:9"),
		},
		Zone: "cartago", Pools: []string{"desk"},
	}
	o.Load = func() dispatcher.Load { return dispatcher.Load{Slots: 8} }
	if o.Hear == nil {
		o.Hear = func(uint64) {}
	}
	o.Logger = slog.New(slog.DiscardHandler)
	o.Metrics = metrics.NewRegistry()
	o.Every = rarely
	return announcer.New(o)
}

// TestOnlyTheSilentEntryIsTriedAgain has one entry that answers and an address
// where nothing listens at first.
func TestOnlyTheSilentEntryIsTriedAgain(t *testing.T) {
	is := is.New(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	well, late := newEntry(t, "entry-1"), newEntry(t, "entry-2")
	late.refuse.Store(true)
	store := &table{members: []registrar.Member{well.member, late.member}, scans: make(chan struct{}, 100)}
	a := announce(announcer.Options{Table: store, RetryEvery: time.Millisecond, ListEvery: rarely})
	defer a.Close()
	<-well.seen
	for range 5 {
		<-late.refused
	}
	late.refuse.Store(false)
	<-late.seen
	is.Equal(len(well.seen), 0)
}

// TestLostEntryIsReplacedByAList has an entry that stops to answer, and another
// that registers meanwhile.
func TestLostEntryIsReplacedByAList(t *testing.T) {
	is := is.New(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	first, second := newEntry(t, "entry-1"), newEntry(t, "entry-2")
	store := &table{members: []registrar.Member{first.member}, scans: make(chan struct{}, 100)}
	a := announce(announcer.Options{Table: store, RetryEvery: time.Millisecond, ListEvery: rarely})
	defer a.Close()
	<-first.seen
	<-store.scans
	store.set([]registrar.Member{first.member, second.member})
	first.refuse.Store(true)
	a.Nudge()
	<-second.seen
	<-store.scans
	for range 5 { // It goes on failing, and causes no further list.
		<-first.refused
	}
	is.Equal(len(store.scans), 0)
}

// TestExpiredRowIsProbed has an entry whose row has expired: the next list makes
// the agent ask it at once.
func TestExpiredRowIsProbed(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	e := newEntry(t, "entry-1")
	store := &table{members: []registrar.Member{e.member}, scans: make(chan struct{}, 1000)}
	answered := make(chan struct{}, 1)
	hear := func(uint64) {
		select {
		case answered <- struct{}{}:
		default:
		}
	}
	a := announce(announcer.Options{Table: store, Hear: hear, RetryEvery: rarely, ListEvery: 5 * time.Millisecond})
	defer a.Close()
	<-e.seen
	<-answered
	store.expired.Store(true)
	<-e.seen
}

// TestRemovedEntryIsLeft has an entry that removes its row, as a planned stop
// does, and then still answers.
func TestRemovedEntryIsLeft(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	first, second := newEntry(t, "entry-1"), newEntry(t, "entry-2")
	store := &table{members: []registrar.Member{first.member}, scans: make(chan struct{}, 1000)}
	a := announce(announcer.Options{Table: store, RetryEvery: rarely, ListEvery: 5 * time.Millisecond})
	defer a.Close()
	<-first.seen
	store.set([]registrar.Member{second.member})
	<-second.seen
	a.Nudge()
	<-second.seen
	if len(first.seen) != 0 {
		t.Fatal("an entry that has removed its row was told again")
	}
}
