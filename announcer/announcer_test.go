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

// zoneOf spreads entries and agents over four availability zones.
func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%4) }

func names(entries []registrar.Member) map[string]bool {
	set := make(map[string]bool, len(entries))
	for _, e := range entries {
		set[e.Process.Name] = true
	}
	return set
}

func TestSmallSubsetIsAll(t *testing.T) {
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

func TestSubsetIsStable(t *testing.T) {
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

func TestSubsetStaysInReachWhenRegionsAreCutOff(t *testing.T) {
	is := is.New(t)
	for i := range 1100 {
		own := zoneOf(i)
		zones := make(map[string]int)
		for _, m := range announcer.Subset(fmt.Sprintf("agent-%d", i), own, members(16), announcer.SubsetSize) {
			zones[m.Zone]++
		}
		is.Equal(zones[own], announcer.SubsetSize/2)   // left when every other zone is cut off
		is.Equal(len(zones), 1+announcer.SubsetSize/2) // the rest are in different zones
	}
}

// entry is an entry that takes announcements.
type entry struct {
	agatevalvev1connect.UnimplementedEntryServiceHandler
	member registrar.Member
	seen   chan dispatcher.Announcement
	// refuse makes it refuse, and refused holds a token for each.
	refuse  atomic.Bool
	refused chan struct{}
}

func (e *entry) Announce(
	_ context.Context, r *connect.Request[v1.AnnounceRequest],
) (*connect.Response[v1.AnnounceResponse], error) {
	announcement, err := encoder.AnnouncementFromWire(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if e.refuse.Load() {
		e.refused <- struct{}{}
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("refused"))
	}
	e.seen <- announcement
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
		seen:    make(chan dispatcher.Announcement, 100),
		refused: make(chan struct{}, 10_000),
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

// table lists members, or fails while down.
type table struct {
	tabler.Table
	mu      sync.Mutex
	members []registrar.Member
	down    atomic.Bool
	expired atomic.Bool
	scans   chan struct{}
}

func (t *table) Scan(context.Context, string, string) ([]tabler.Row, error) {
	defer func() { t.scans <- struct{}{} }()
	if t.down.Load() {
		return nil, errors.New("outage")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]tabler.Row, len(t.members))
	for i, m := range t.members {
		if t.expired.Load() {
			m.Expires = time.Now().Add(-time.Second)
		}
		rows[i] = tabler.Row{Key: registrar.KeyOf(m.Process), Version: 1, Value: registrar.EncodeRow(m)}
	}
	return rows, nil
}

func (t *table) set(members []registrar.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = members
}

// waitScanned returns when a scan that began after the call has ended.
func (t *table) waitScanned() {
	for len(t.scans) > 0 {
		<-t.scans
	}
	<-t.scans // It may have begun before.
	<-t.scans
}

func TestAgentIsAnnouncedThroughAnOutage(t *testing.T) {
	is := is.New(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	one, two := newEntry(t, "entry-1"), newEntry(t, "entry-2")
	gone := registrar.Member{
		Process: task.Process{Name: "entry-3", Incarnation: 1},
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Expires: time.Now().Add(time.Hour),
	}
	store := &table{members: []registrar.Member{one.member, gone, two.member}, scans: make(chan struct{}, 100)}
	var leaving atomic.Bool
	heard := make(chan uint64, 100)
	a := announcer.New(announcer.Options{
		Self: dispatcher.Announcement{
			Peer: dispatcher.Peer{
				Process: task.Process{Name: "agent-1", Incarnation: 3},
				Address: netip.MustParseAddrPort("127.0.0.1:9"),
			},
			Zone: "cartago", Pools: []string{"desk"},
		},
		Load:    func() dispatcher.Load { return dispatcher.Load{Slots: 8, Leaving: leaving.Load()} },
		Hear:    func(revision uint64) { heard <- revision },
		Table:   store,
		Logger:  slog.New(slog.DiscardHandler),
		Metrics: metrics.NewRegistry(),

		ListEvery: 20 * time.Millisecond,
	})
	for _, e := range []*entry{one, two} {
		got := <-e.seen
		is.Equal(got.Peer.Process.Name, "agent-1")
		is.Equal(got.Load.Slots, 8)
		is.True(got.Expires.After(time.Now()))
		is.Equal(<-heard, uint64(12))
	}
	store.down.Store(true)
	store.waitScanned()
	// The service is back, and the entries haven't renewed their rows yet.
	store.expired.Store(true)
	store.down.Store(false)
	store.waitScanned()
	leaving.Store(true)
	a.Nudge()
	for _, e := range []*entry{one, two} {
		for !(<-e.seen).Load.Leaving {
		}
	}
	a.Close()
}
