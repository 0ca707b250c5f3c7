package announcer_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"agatevalve/announcer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/registrar"
	"agatevalve/tabler"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

func members(n int) []registrar.Member {
	entries := make([]registrar.Member, n)
	for i := range entries {
		entries[i].Process = task.Process{Name: fmt.Sprintf("entry-%d", i), Incarnation: 1}
		entries[i].Zone = zoneOf(i)
	}
	return entries
}

// zoneOf assigns entries and agents to four availability zones.
func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%4) }

func names(entries []registrar.Member) map[string]bool {
	set := make(map[string]bool, len(entries))
	for _, e := range entries {
		set[e.Process.Name] = true
	}
	return set
}

func TestSubsetOfFewEntriesIsAll(t *testing.T) {
	is := is.New(t)
	for n := range announcer.SubsetSize + 1 {
		is.Equal(len(names(announcer.Subset("agent-1", zoneOf(1), members(n), announcer.SubsetSize))), n)
	}
}

func TestSubsetIsBalanced(t *testing.T) {
	is := is.New(t)
	const agents, entries = 1100, 20
	counts := make(map[string]int)
	for i := range agents {
		chosen := announcer.Subset(fmt.Sprintf("agent-%d", i), zoneOf(i), members(entries), announcer.SubsetSize)
		is.Equal(len(chosen), announcer.SubsetSize)
		for name := range names(chosen) {
			counts[name]++
		}
	}
	mean := agents * announcer.SubsetSize / entries
	for name, count := range counts {
		if count < mean*3/4 || count > mean*5/4 {
			t.Errorf("%s has %d agents, and the mean is %d", name, count, mean)
		}
	}
	is.Equal(len(counts), entries)
}

func TestSubsetChangesOnlyForAgentsOfTheLostEntry(t *testing.T) {
	is := is.New(t)
	all := members(20)
	for i := range 200 {
		agent := fmt.Sprintf("agent-%d", i)
		before := names(announcer.Subset(agent, zoneOf(i), all, announcer.SubsetSize))
		after := names(announcer.Subset(agent, zoneOf(i), all[1:], announcer.SubsetSize))
		kept := 0
		for name := range after {
			if before[name] {
				kept++
			}
		}
		if before[all[0].Process.Name] {
			is.Equal(kept, announcer.SubsetSize-1)
			continue
		}
		is.Equal(kept, announcer.SubsetSize)
	}
}

func TestSubsetSpansOwnAndOtherZones(t *testing.T) {
	is := is.New(t)
	for i := range 1100 {
		ownZone := zoneOf(i)
		zones := make(map[string]int)
		for _, m := range announcer.Subset(fmt.Sprintf("agent-%d", i), ownZone, members(16), announcer.SubsetSize) {
			zones[m.Zone]++
		}
		is.Equal(zones[ownZone], announcer.SubsetSize/2) // reachable when all other zones are cut off
		is.Equal(len(zones), 1+announcer.SubsetSize/2)   // the rest are in different zones
	}
}

// entry is a fake entry that records announcements.
type entry struct {
	agatevalvev1connect.UnimplementedEntryServiceHandler
	member        registrar.Member
	announcements chan dispatcher.Announcement
	// While failing is set, announcements are refused and each adds a token to
	// failures.
	failing  atomic.Bool
	failures chan struct{}
}

func (e *entry) Announce(
	_ context.Context, r *connect.Request[v1.AnnounceRequest],
) (*connect.Response[v1.AnnounceResponse], error) {
	announcement, err := encoder.AnnouncementFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if e.failing.Load() {
		e.failures <- struct{}{}
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("refused"))
	}
	e.announcements <- announcement
	return connect.NewResponse(&v1.AnnounceResponse{From: encoder.ProcessToWire(e.member.Process), Revision: 12}), nil
}

func newEntry(t *testing.T, name string) *entry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &entry{
		member: registrar.Member{
			Process: task.Process{Name: name, Incarnation: 5},
			Address: listener.Addr().(*net.TCPAddr).AddrPort(),
			Expires: time.Now().Add(time.Hour),
		},
		announcements: make(chan dispatcher.Announcement, 100),
		failures:      make(chan struct{}, 10_000),
	}
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewEntryServiceHandler(e))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Second}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return e
}

// fakeTable lists members, except while it is unavailable.
type fakeTable struct {
	tabler.Table
	mu          sync.Mutex
	members     []registrar.Member
	unavailable atomic.Bool
	rowsExpired atomic.Bool
	scans       chan struct{}
}

func (t *fakeTable) Scan(context.Context, string, string) ([]tabler.Row, error) {
	defer func() { t.scans <- struct{}{} }()
	if t.unavailable.Load() {
		return nil, errors.New("outage")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]tabler.Row, len(t.members))
	for i, m := range t.members {
		if t.rowsExpired.Load() {
			m.Expires = time.Now().Add(-time.Second)
		}
		rows[i] = tabler.Row{Key: registrar.KeyOf(m.Process), Version: 1, Value: registrar.EncodeRow(m)}
	}
	return rows, nil
}

func (t *fakeTable) setMembers(members []registrar.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = members
}

// awaitFullScan returns once a scan that began after the call has ended.
func (t *fakeTable) awaitFullScan() {
	for len(t.scans) > 0 {
		<-t.scans
	}
	<-t.scans // This one may have begun before the call.
	<-t.scans
}

func TestAnnouncementsContinueThroughTableOutage(t *testing.T) {
	is := is.New(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	first, second := newEntry(t, "entry-1"), newEntry(t, "entry-2")
	unreachable := registrar.Member{
		Process: task.Process{Name: "entry-3", Incarnation: 1},
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Expires: time.Now().Add(time.Hour),
	}
	table := &fakeTable{members: []registrar.Member{first.member, unreachable, second.member}, scans: make(chan struct{}, 100)}
	var leaving atomic.Bool
	revisions := make(chan uint64, 100)
	a := announcer.New(announcer.Options{
		Self: dispatcher.Announcement{
			Peer: dispatcher.Peer{
				Process: task.Process{Name: "agent-1", Incarnation: 3},
				Address: netip.MustParseAddrPort("127.0.0.1:9"),
			},
			Zone: "cartago", Pools: []string{"desk"},
		},
		Load:       func() dispatcher.Load { return dispatcher.Load{Slots: 8, Leaving: leaving.Load()} },
		OnRevision: func(revision uint64) { revisions <- revision },
		Table:      table,
		Logger:     slog.New(slog.DiscardHandler),
		Metrics:    metrics.NewRegistry(),

		ListInterval: 20 * time.Millisecond,
	})
	for _, e := range []*entry{first, second} {
		got := <-e.announcements
		is.Equal(got.Peer.Process.Name, "agent-1")
		is.Equal(got.Load.Slots, 8)
		is.True(got.Expires.After(time.Now()))
		is.Equal(<-revisions, uint64(12))
	}
	table.unavailable.Store(true)
	table.awaitFullScan()
	// The table is available again, and the entries haven't renewed their rows yet.
	table.rowsExpired.Store(true)
	table.unavailable.Store(false)
	table.awaitFullScan()
	leaving.Store(true)
	a.AnnounceNow()
	for _, e := range []*entry{first, second} {
		for !(<-e.announcements).Load.Leaving {
		}
	}
	a.Close()
}
