package coupler_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/common/work"
	"agatevalve/coupler"
	"agatevalve/scheduler"
	"agatevalve/subscriber"
	"agatevalve/supervisor"
)

// log collects events and waits for one that matches.
type log[T any] struct {
	mu     sync.Mutex
	events []T
}

func (l *log[T]) tell(ev T) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, ev)
	return true
}

func await[E, T any](t *testing.T, l *log[T], match func(E) bool) E {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		for _, ev := range l.events {
			if e, ok := any(ev).(E); ok && match(e) {
				l.mu.Unlock()
				return e
			}
		}
		l.mu.Unlock()
	}
	t.Fatalf("no such event: %T", *new(E))
	panic("unreachable")
}

// pair is a hub with its server, and an agent's spokes.
type pair struct {
	hub    *coupler.Hub
	server *httptest.Server
	atHub  *log[scheduler.Event]
	spokes *coupler.Spokes
	atEnd  *log[supervisor.Event]
	at     netip.AddrPort
}

func newPair(t *testing.T) *pair {
	p := &pair{atHub: &log[scheduler.Event]{}, atEnd: &log[supervisor.Event]{}}
	discard := slog.New(slog.DiscardHandler)
	p.hub = coupler.NewHub(coupler.HubOptions{
		Self: task.Process{Name: "entry-1", Incarnation: 7}, Events: p.atHub.tell, Log: discard,
		Entries: func() []netip.AddrPort { return []netip.AddrPort{p.at} },
		Known:   func(id string) bool { return id == "running" },
		Cancel:  func(id string) bool { return id == "running" },
		Newest:  func() subscriber.Document { return subscriber.Document{Version: 5, Content: []byte("five")} },
	})
	p.server = httptest.NewUnstartedServer(p.hub.Handler())
	p.server.Config.Protocols = new(http.Protocols)
	p.server.Config.Protocols.SetUnencryptedHTTP2(true)
	p.server.Start()
	p.at = netip.MustParseAddrPort(p.server.Listener.Addr().String())
	p.spokes = coupler.NewSpokes(coupler.SpokesOptions{
		Self: task.Process{Name: "agent-1", Incarnation: 9}, Events: p.atEnd.tell, Listed: func([]netip.AddrPort) {}, Log: discard,
	})
	p.spokes.Keep([]netip.AddrPort{p.at})
	t.Cleanup(p.server.Close)
	t.Cleanup(p.server.CloseClientConnections)
	t.Cleanup(p.spokes.Close)
	return p
}

// open waits for the link and greets the entry.
func (p *pair) open(t *testing.T, after uint64) supervisor.LinkOpened {
	opened := await(t, p.atEnd, func(ev supervisor.LinkOpened) bool { return ev.Link > after })
	p.spokes.Send(opened.Entry, supervisor.ReportSnapshot{Entry: opened.Entry, Link: opened.Link, Minion: work.Minion{Name: "m"}, Usable: true})
	return opened
}

func TestOrdersAndReportsPass(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	opened := p.open(t, 0)
	met := await(t, p.atHub, func(scheduler.LinkOpened) bool { return true })
	is.Equal(met.Agent, scheduler.AgentID{Name: "agent-1", Incarnation: 9})
	is.True(met.Usable)

	run := work.Run{Task: work.Task{Job: "j", Index: 3}, Number: 2}
	order := work.Order{
		Run: run, Room: work.Room{CPU: 1600, Memory: 64, Accelerators: 1}, Label: "a", Spec: "spec", MaxPerMinion: 2, Priority: 3,
		StartBefore: time.Now().Add(time.Second), EndBefore: time.Now().Add(2 * time.Second), Work: 200 * time.Millisecond,
	}
	p.hub.Send(met.Link, scheduler.Place{Agent: met.Agent, Link: met.Link, Order: order})
	heard := await(t, p.atEnd, func(ev supervisor.FrameReceived) bool { return len(ev.Orders) > 0 })
	got := heard.Orders[0]
	is.True(got.EndBefore.Sub(order.EndBefore).Abs() < time.Second) // Travels as what is left.
	got.StartBefore, got.EndBefore = order.StartBefore, order.EndBefore
	is.Equal(got, order)

	report := work.Report{Run: run, State: work.Failed, Took: time.Second, Remaining: time.Millisecond, Reliable: true, Reason: work.ReasonLate, Number: 4}
	p.spokes.Send(opened.Entry, supervisor.ReportRun{Entry: opened.Entry, Report: report})
	load := work.Load{Running: work.Room{CPU: 5}, QueuedWork: time.Second, Slowness: -0.5}
	p.spokes.Send(opened.Entry, supervisor.ReportLoad{Entry: opened.Entry, Load: load})
	reported := await(t, p.atHub, func(ev scheduler.Reported) bool { return len(ev.Reports) > 0 })
	is.Equal(reported.Reports[0], report)
	is.Equal(*await(t, p.atHub, func(ev scheduler.Reported) bool { return ev.Load != nil }).Load, load)
}

func TestBrokenLinkIsToldAndOpenedAnew(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	first := p.open(t, 0)
	await(t, p.atHub, func(scheduler.LinkOpened) bool { return true })
	p.spokes.Cut(first.Link)
	closed := await(t, p.atEnd, func(ev supervisor.LinkClosed) bool { return ev.Link == first.Link })
	is.True(!closed.Gone) // The entry may live.
	await(t, p.atHub, func(scheduler.LinkClosed) bool { return true })
	is.Equal(p.open(t, first.Link).Entry, first.Entry)
}

func TestEntryWhoseAddressRefusesIsGone(t *testing.T) {
	p := newPair(t)
	p.open(t, 0)
	p.server.CloseClientConnections()
	_ = p.server.Listener.Close() // Nothing listens any more.
	await(t, p.atEnd, func(ev supervisor.LinkClosed) bool { return ev.Gone })
}

// A new entry without work probed its links six times less often than their
// agents expected, so the links ended every 400 ms and it got no work.
func TestFreshLinkWithoutWorkStaysOpen(t *testing.T) {
	p := newPair(t)
	p.open(t, 0)
	await(t, p.atHub, func(scheduler.LinkOpened) bool { return true })
	time.Sleep(1200 * time.Millisecond)
	p.atEnd.mu.Lock()
	defer p.atEnd.mu.Unlock()
	for _, ev := range p.atEnd.events {
		if closed, ok := ev.(supervisor.LinkClosed); ok {
			t.Fatalf("%+v", closed)
		}
	}
}

func TestNewestIsAskedOfOtherEntries(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	dead := netip.MustParseAddrPort("127.0.0.1:1")
	document, err := coupler.Newest(t.Context(), dead, []netip.AddrPort{dead, p.at}, 4)
	is.NoErr(err)
	is.Equal(document, subscriber.Document{Version: 5, Content: []byte("five")})
	document, err = coupler.Newest(t.Context(), dead, []netip.AddrPort{p.at}, 5)
	is.NoErr(err)
	is.Equal(document.Version, int64(0))
	_, err = coupler.Newest(t.Context(), dead, []netip.AddrPort{dead}, 4)
	is.True(err != nil)
}

func TestJobIsFoundAtAnotherEntry(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	for _, cancel := range []bool{false, true} {
		known, err := coupler.Find(t.Context(), p.at, "running", cancel)
		is.NoErr(err)
		is.True(known)
		known, err = coupler.Find(t.Context(), p.at, "other", cancel)
		is.NoErr(err)
		is.True(!known)
	}
	known, err := coupler.Find(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), "running", true)
	is.NoErr(err)
	is.True(!known) // Nothing listens there, so nothing runs there.
}
