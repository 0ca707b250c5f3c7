package coupler_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/common/work"
	"agatevalve/coupler"
	"agatevalve/scheduler"
	"agatevalve/selector"
	"agatevalve/subscriber"
	"agatevalve/supervisor"
)

// eventLog records the events that were passed to a core.
type eventLog[T any] struct {
	mu     sync.Mutex
	events []T
}

func (l *eventLog[T]) record(ev T) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, ev)
	return true
}

// waitFor waits for an event of type E that match accepts.
func waitFor[E, T any](t *testing.T, l *eventLog[T], match func(E) bool) E {
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
	t.Fatalf("no matching event of type %T", *new(E))
	panic("unreachable")
}

// linkPair is an entry's Server and an agent's Client that are connected over
// HTTP, with the events that they passed to their cores.
type linkPair struct {
	server      *coupler.Server
	httpServer  *httptest.Server
	entryEvents *eventLog[scheduler.Event]
	client      *coupler.Client
	agentEvents *eventLog[supervisor.Event]
	address     netip.AddrPort
}

func newLinkPair(t *testing.T) *linkPair {
	p := newServer(t, "entry-1")
	p.client = p.newClient(t, 0)
	p.client.SetEntries([]netip.AddrPort{p.address})
	return p
}

// newClient returns a client of an agent whose events p records.
func (p *linkPair) newClient(t *testing.T, maxEntries int) *coupler.Client {
	client := coupler.NewClient(coupler.ClientOptions{
		Self: task.Process{Name: "agent-1", Incarnation: 9}, Enqueue: p.agentEvents.record, MaxEntries: maxEntries,
		EntriesReceived: func(netip.AddrPort, []netip.AddrPort) {}, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(client.Close)
	return client
}

// evacuated is the decision that all servers of this test know.
var evacuated = work.Zones{Version: 8, Evacuated: []string{"a", "b"}}

// newServer returns a linkPair without a client.
func newServer(t *testing.T, name string) *linkPair {
	p := &linkPair{entryEvents: &eventLog[scheduler.Event]{}, agentEvents: &eventLog[supervisor.Event]{}}
	discard := slog.New(slog.DiscardHandler)
	p.server = coupler.NewServer(coupler.ServerOptions{
		Self: task.Process{Name: name, Incarnation: 7}, Enqueue: p.entryEvents.record, Log: discard,
		Entries:         func() []netip.AddrPort { return []netip.AddrPort{p.address} },
		HasJob:          func(id string) bool { return id == "running" },
		CancelJob:       func(id string) bool { return id == "running" },
		CurrentDocument: func() subscriber.Document { return subscriber.Document{Version: 5, Content: []byte("five")} },
		CurrentZones:    func() work.Zones { return evacuated },
	})
	p.httpServer = httptest.NewUnstartedServer(p.server.Handler())
	p.httpServer.Config.Protocols = new(http.Protocols)
	p.httpServer.Config.Protocols.SetUnencryptedHTTP2(true)
	p.httpServer.Start()
	p.address = netip.MustParseAddrPort(p.httpServer.Listener.Addr().String())
	t.Cleanup(p.httpServer.Close)
	t.Cleanup(p.httpServer.CloseClientConnections)
	return p
}

// openLink waits for a link that is newer than previous and sends the agent's
// snapshot over it.
func (p *linkPair) openLink(t *testing.T, previous uint64) supervisor.LinkOpened {
	opened := waitFor(t, p.agentEvents, func(ev supervisor.LinkOpened) bool { return ev.Link > previous })
	p.client.Send(opened.Entry, supervisor.ReportSnapshot{Entry: opened.Entry, Link: opened.Link, Minion: work.Minion{Name: "m"}, Usable: true})
	return opened
}

func TestOrdersAndReportsAreTransferred(t *testing.T) {
	is := is.New(t)
	p := newLinkPair(t)
	opened := p.openLink(t, 0)
	linkOpened := waitFor(t, p.entryEvents, func(scheduler.LinkOpened) bool { return true })
	is.Equal(linkOpened.Agent, scheduler.AgentID{Name: "agent-1", Incarnation: 9})
	is.True(linkOpened.Usable)

	run := work.Run{Task: work.Task{Job: "j", Index: 3}, Number: 2}
	order := work.Order{
		Run: run, Room: work.Room{CPU: 1600, Memory: 64, Accelerators: 1}, Label: "a", Spec: "spec", MaxPerMinion: 2, Priority: 3,
		StartBefore: time.Now().Add(time.Second), EndBefore: time.Now().Add(2 * time.Second), Work: 200 * time.Millisecond,
	}
	p.server.Send(linkOpened.Link, scheduler.Place{Agent: linkOpened.Agent, Link: linkOpened.Link, Order: order})
	received := waitFor(t, p.agentEvents, func(ev supervisor.FrameReceived) bool { return len(ev.Orders) > 0 })
	got := received.Orders[0]
	is.True(got.EndBefore.Sub(order.EndBefore).Abs() < time.Second) // Sent as the remaining time.
	got.StartBefore, got.EndBefore = order.StartBefore, order.EndBefore
	is.Equal(got, order)

	report := work.Report{Run: run, State: work.Failed, Took: time.Second, Remaining: time.Millisecond, Reliable: true, Reason: work.ReasonLate, Number: 4}
	p.client.Send(opened.Entry, supervisor.ReportRun{Entry: opened.Entry, Report: report})
	load := work.Load{Running: work.Room{CPU: 5}, QueuedWork: time.Second, Slowness: -0.5}
	p.client.Send(opened.Entry, supervisor.ReportLoad{Entry: opened.Entry, Load: load})
	reported := waitFor(t, p.entryEvents, func(ev scheduler.Reported) bool { return len(ev.Reports) > 0 })
	is.Equal(reported.Reports[0], report)
	is.Equal(*waitFor(t, p.entryEvents, func(ev scheduler.Reported) bool { return ev.Load != nil }).Load, load)
}

func TestCutLinkIsReportedAndReopened(t *testing.T) {
	is := is.New(t)
	p := newLinkPair(t)
	first := p.openLink(t, 0)
	waitFor(t, p.entryEvents, func(scheduler.LinkOpened) bool { return true })
	p.client.Cut(first.Link)
	closed := waitFor(t, p.agentEvents, func(ev supervisor.LinkClosed) bool { return ev.Link == first.Link })
	is.True(!closed.Gone) // The entry may still be alive.
	waitFor(t, p.entryEvents, func(scheduler.LinkClosed) bool { return true })
	is.Equal(p.openLink(t, first.Link).Entry, first.Entry)
}

// A link that another entry makes needless is retired, and not opened again once
// the core has cut it.
func TestLinkThatIsNotNeededIsRetired(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p, other := newServer(t, "entry-1"), newServer(t, "entry-2")
	client := p.newClient(t, 1)
	both := []netip.AddrPort{p.address, other.address}
	preferred := selector.New(selector.Options{Agent: "agent-1", Degree: 1}).Choose(time.Now(), []selector.Candidate{{Address: both[0]}, {Address: both[1]}}).Wanted[0]
	replaced := both[0]
	if preferred == replaced {
		replaced = both[1]
	}
	client.SetEntries([]netip.AddrPort{replaced})
	first := waitFor(t, p.agentEvents, func(supervisor.LinkOpened) bool { return true })
	client.Send(first.Entry, supervisor.ReportSnapshot{Entry: first.Entry, Link: first.Link})
	client.SetEntries(both)
	second := waitFor(t, p.agentEvents, func(ev supervisor.LinkOpened) bool { return ev.Link > first.Link })
	client.Send(second.Entry, supervisor.ReportSnapshot{Entry: second.Entry, Link: second.Link})
	done := time.After(15 * time.Second)
	for retired := false; !retired; {
		select {
		case <-done:
			t.Fatal("the link was not retired")
		case <-time.After(50 * time.Millisecond):
		}
		client.SetEntries(both)
		p.agentEvents.mu.Lock()
		retired = slices.Contains(p.agentEvents.events, supervisor.Event(supervisor.LinkRetiring{Entry: first.Entry, Link: first.Link, Retiring: true}))
		p.agentEvents.mu.Unlock()
	}
	client.Cut(first.Link)
	waitFor(t, p.agentEvents, func(ev supervisor.LinkClosed) bool { return ev.Link == first.Link })
	for range 10 {
		client.SetEntries(both)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(client.OpenLinks(), 1)
	is.True(client.IsLinked(preferred))
}

func TestEntryRefusingConnectionsIsReportedGone(t *testing.T) {
	p := newLinkPair(t)
	p.openLink(t, 0)
	p.httpServer.CloseClientConnections()
	_ = p.httpServer.Listener.Close() // The address refuses connections from now on.
	waitFor(t, p.agentEvents, func(ev supervisor.LinkClosed) bool { return ev.Gone })
}

// Guards against different probe intervals at the two ends. A new entry without
// work probed its links six times less often than its agents expected, so the
// links were closed every 400 ms and the entry got no work.
func TestNewLinkWithoutWorkStaysOpen(t *testing.T) {
	p := newLinkPair(t)
	p.openLink(t, 0)
	waitFor(t, p.entryEvents, func(scheduler.LinkOpened) bool { return true })
	time.Sleep(1200 * time.Millisecond)
	p.agentEvents.mu.Lock()
	defer p.agentEvents.mu.Unlock()
	for _, ev := range p.agentEvents.events {
		if closed, ok := ev.(supervisor.LinkClosed); ok {
			t.Fatalf("%+v", closed)
		}
	}
}

func TestFetchConfigurationAsksEntriesInTurn(t *testing.T) {
	is := is.New(t)
	p := newLinkPair(t)
	refusing := netip.MustParseAddrPort("127.0.0.1:1")
	document := subscriber.Document{Version: 5, Content: []byte("five")}
	for _, c := range []struct {
		known subscriber.Versions
		want  subscriber.Change
	}{
		{subscriber.Versions{Document: 4}, subscriber.Change{Document: document, Zones: evacuated}},
		{subscriber.Versions{Document: 4, Zones: 8}, subscriber.Change{Document: document}},
		{subscriber.Versions{Document: 5, Zones: 7}, subscriber.Change{Zones: evacuated}},
		{subscriber.Versions{Document: 5, Zones: 8}, subscriber.Change{}},
	} {
		change, err := coupler.FetchConfiguration(t.Context(), refusing, []netip.AddrPort{refusing, p.address}, c.known)
		is.NoErr(err)
		is.Equal(change, c.want)
	}
	_, err := coupler.FetchConfiguration(t.Context(), refusing, []netip.AddrPort{refusing}, subscriber.Versions{Document: 4})
	is.True(err != nil)
}

// Frames that carry nothing but zones reach both cores.
func TestZonesAreTransferred(t *testing.T) {
	is := is.New(t)
	p := newLinkPair(t)
	entry := waitFor(t, p.agentEvents, func(supervisor.LinkOpened) bool { return true })
	p.client.Send(entry.Entry, supervisor.ReportSnapshot{Entry: entry.Entry, Link: entry.Link, Minion: work.Minion{Name: "m"}, Zones: evacuated})
	agent := waitFor(t, p.entryEvents, func(scheduler.LinkOpened) bool { return true })
	is.Equal(agent.Zones, evacuated)

	returned := work.Zones{Version: 9}
	p.client.Send(entry.Entry, supervisor.ReportZones{Entry: entry.Entry, Zones: returned})
	is.Equal(waitFor(t, p.entryEvents, func(scheduler.Reported) bool { return true }).Zones, returned)

	p.server.Send(agent.Link, scheduler.AnnounceZones{Agent: agent.Agent, Link: agent.Link, Zones: evacuated})
	received := waitFor(t, p.agentEvents, func(ev supervisor.FrameReceived) bool { return ev.Zones.Version > 0 })
	is.Equal(received.Zones, evacuated)
}

func TestFindJobAtAnotherEntry(t *testing.T) {
	is := is.New(t)
	p := newLinkPair(t)
	for _, cancel := range []bool{false, true} {
		known, err := coupler.FindJob(t.Context(), p.address, "running", cancel)
		is.NoErr(err)
		is.True(known)
		known, err = coupler.FindJob(t.Context(), p.address, "other", cancel)
		is.NoErr(err)
		is.True(!known)
	}
	known, err := coupler.FindJob(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), "running", true)
	is.NoErr(err)
	is.True(!known) // An entry that refuses connections runs no job.
}

func TestCrashesAndTheirWithdrawalsAreTransferred(t *testing.T) {
	is := is.New(t)
	p := newLinkPair(t)
	opened := p.openLink(t, 0)
	waitFor(t, p.entryEvents, func(scheduler.LinkOpened) bool { return true })
	lost := []work.CrashedRun{{Run: work.Run{Task: work.Task{Job: "j", Index: 3}, Number: 2}, Route: "r", Age: time.Second, OnProbation: true}}
	crash := work.Crash{Minion: "m-1", Incarnation: 7, At: time.Now(), Runs: lost}
	p.client.Send(opened.Entry, supervisor.ReportCrash{Entry: opened.Entry, Crash: crash})
	got := waitFor(t, p.entryEvents, func(ev scheduler.Reported) bool { return len(ev.Crashes) > 0 }).Crashes[0]
	is.Equal(got.Runs, lost)
	is.True(!got.Withdrawn)
	p.client.Send(opened.Entry, supervisor.ReportCrash{Entry: opened.Entry, Crash: work.Crash{Minion: "m-1", Incarnation: 7, At: crash.At, Withdrawn: true}})
	got = waitFor(t, p.entryEvents, func(ev scheduler.Reported) bool { return len(ev.Crashes) > 0 && ev.Crashes[0].Withdrawn }).Crashes[0]
	is.Equal(got.Minion, "m-1")
	is.Equal(got.Incarnation, uint64(7))
}
