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

// never is an interval that doesn't elapse during a test.
const never = time.Hour

// startAnnouncer starts an announcer that announces to an entry again only
// after a failure or on request.
func startAnnouncer(o announcer.Options) *announcer.Announcer {
	o.Self = dispatcher.Announcement{
		Peer: dispatcher.Peer{
			Process: task.Process{Name: "agent-1", Incarnation: 3},
			Address: netip.MustParseAddrPort("127.0.0.1:9"),
		},
		Zone: "cartago", Pools: []string{"desk"},
	}
	o.Load = func() dispatcher.Load { return dispatcher.Load{Slots: 8} }
	if o.OnRevision == nil {
		o.OnRevision = func(uint64) {}
	}
	o.Logger = slog.New(slog.DiscardHandler)
	o.Metrics = metrics.NewRegistry()
	o.Interval = never
	return announcer.New(o)
}

// TestOnlyTheFailingEntryIsRetried has one entry that accepts announcements and
// one that refuses them at first.
func TestOnlyTheFailingEntryIsRetried(t *testing.T) {
	is := is.New(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	healthy, failing := newEntry(t, "entry-1"), newEntry(t, "entry-2")
	failing.failing.Store(true)
	table := &fakeTable{members: []registrar.Member{healthy.member, failing.member}, scans: make(chan struct{}, 100)}
	a := startAnnouncer(announcer.Options{Table: table, RetryInterval: time.Millisecond, ListInterval: never})
	defer a.Close()
	<-healthy.announcements
	for range 5 {
		<-failing.failures
	}
	failing.failing.Store(false)
	<-failing.announcements
	is.Equal(len(healthy.announcements), 0)
}

// TestLostEntryCausesOneList has an entry that stops accepting announcements.
// The agent then reads the list once and finds an entry that has registered
// meanwhile.
func TestLostEntryCausesOneList(t *testing.T) {
	is := is.New(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	first, second := newEntry(t, "entry-1"), newEntry(t, "entry-2")
	table := &fakeTable{members: []registrar.Member{first.member}, scans: make(chan struct{}, 100)}
	a := startAnnouncer(announcer.Options{Table: table, RetryInterval: time.Millisecond, ListInterval: never})
	defer a.Close()
	<-first.announcements
	<-table.scans
	table.setMembers([]registrar.Member{first.member, second.member})
	first.failing.Store(true)
	a.AnnounceNow()
	<-second.announcements
	<-table.scans
	for range 5 { // Further failures don't cause a read of the list.
		<-first.failures
	}
	is.Equal(len(table.scans), 0)
}

// TestExpiredRowTriggersImmediateAnnouncement has an entry whose row expires.
// The agent must announce itself right after the next read of the list, to find
// out whether the entry still runs.
func TestExpiredRowTriggersImmediateAnnouncement(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	e := newEntry(t, "entry-1")
	table := &fakeTable{members: []registrar.Member{e.member}, scans: make(chan struct{}, 1000)}
	answered := make(chan struct{}, 1)
	onRevision := func(uint64) {
		select {
		case answered <- struct{}{}:
		default:
		}
	}
	a := startAnnouncer(announcer.Options{Table: table, OnRevision: onRevision, RetryInterval: never, ListInterval: 5 * time.Millisecond})
	defer a.Close()
	<-e.announcements
	<-answered
	table.rowsExpired.Store(true)
	<-e.announcements
}

// TestDeregisteredEntryGetsNoAnnouncement has an entry that removes its row, as
// in a planned shutdown, and still accepts announcements for a while.
func TestDeregisteredEntryGetsNoAnnouncement(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	first, second := newEntry(t, "entry-1"), newEntry(t, "entry-2")
	table := &fakeTable{members: []registrar.Member{first.member}, scans: make(chan struct{}, 1000)}
	a := startAnnouncer(announcer.Options{Table: table, RetryInterval: never, ListInterval: 5 * time.Millisecond})
	defer a.Close()
	<-first.announcements
	table.setMembers([]registrar.Member{second.member})
	<-second.announcements
	a.AnnounceNow()
	<-second.announcements
	if len(first.announcements) != 0 {
		t.Fatal("the agent announced itself to an entry that had removed its row")
	}
}
