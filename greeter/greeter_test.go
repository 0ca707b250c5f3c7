package greeter_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/greeter"
	"agatevalve/historian"
	"agatevalve/waiter"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// testTimeout bounds the wait for an event that must happen.
const testTimeout = 20 * time.Second

var (
	self  = task.Process{Name: "entry-1", Incarnation: 7}
	agent = dispatcher.Peer{
		Process: task.Process{Name: "agent-1", Incarnation: 9},
		Address: netip.MustParseAddrPort("127.0.0.1:9010"),
	}
	job = task.KeyedJobID("desk", "one")
)

// fixture is a Greeter that serves on a loopback port, with what it passed on.
type fixture struct {
	events        *ring.Ring[dispatcher.Event]
	waiters       *waiter.Registry
	revisions     chan uint64
	announcements chan dispatcher.Announcement
	// snapshot is the configuration that the Greeter sends to other entries.
	snapshot historian.Snapshot
	address  netip.AddrPort
	client   agatevalvev1connect.EntryServiceClient
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		events:        ring.New[dispatcher.Event](64),
		waiters:       waiter.New(),
		revisions:     make(chan uint64, 8),
		announcements: make(chan dispatcher.Announcement, 8),
	}
	g := greeter.New(greeter.Options{
		Self:            self,
		Events:          f.events,
		Waiters:         f.waiters,
		Revision:        func() uint64 { return 5 },
		OnNewerRevision: func(revision uint64) { f.revisions <- revision },
		Snapshot:        func() historian.Snapshot { return f.snapshot },
		OnAnnouncement: func(_ context.Context, a dispatcher.Announcement) bool {
			f.announcements <- a
			return true
		},
		Status: func(context.Context) (*v1.StatusResponse, error) { return &v1.StatusResponse{Revision: 5}, nil },
	})
	server := httptest.NewUnstartedServer(g.Handler())
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	f.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f.client = agatevalvev1connect.NewEntryServiceClient(server.Client(), server.URL)
	return f
}

// next returns the next event that the Greeter published, and fails the test if
// none arrives.
func (f *fixture) next(t *testing.T) dispatcher.Event {
	t.Helper()
	select {
	case <-f.events.Ready():
	case <-time.After(testTimeout):
		t.Fatal("no event arrived in time")
	}
	events, _ := f.events.TakeUpTo(nil, 1)
	return events[0]
}

func testAnnouncement() dispatcher.Announcement {
	return dispatcher.Announcement{
		Peer:    agent,
		Zone:    "cartago",
		Pools:   []string{"ascenso-desk"},
		Load:    dispatcher.Load{Slots: 8, Revision: 6},
		Expires: time.Now().Add(5 * time.Second),
	}
}

func TestAnnouncementIsAccepted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	response, err := f.client.Announce(context.Background(), connect.NewRequest(encoder.AnnouncementToWire(testAnnouncement())))
	is.NoErr(err)
	is.Equal(response.Msg.GetRevision(), uint64(5))
	is.Equal(response.Msg.GetFrom().GetName(), self.Name)
	is.Equal((<-f.announcements).Peer, agent)
	is.Equal(<-f.revisions, uint64(6)) // The agent has a newer revision than the entry.
}

func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	cases := []struct {
		name   string
		change func(*v1.AnnounceRequest)
	}{
		{"no process", func(m *v1.AnnounceRequest) { m.From = nil }},
		{"no incarnation", func(m *v1.AnnounceRequest) { m.From.Incarnation = 0 }},
		{"bad address", func(m *v1.AnnounceRequest) { m.Address = "here" }},
		{"no port", func(m *v1.AnnounceRequest) { m.Address = "127.0.0.1:0" }},
		{"negative load", func(m *v1.AnnounceRequest) { m.Load.Running = -1 }},
		{"no expiry", func(m *v1.AnnounceRequest) { m.Expires = nil }},
		{"expired", func(m *v1.AnnounceRequest) { m.Expires = encoder.TimeToWire(time.Now().Add(-time.Second)) }},
		{"oversized", func(m *v1.AnnounceRequest) { m.Pools = []string{strings.Repeat("x", 2<<20)} }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			message := encoder.AnnouncementToWire(testAnnouncement())
			tc.change(message)
			_, err := f.client.Announce(context.Background(), connect.NewRequest(message))
			is.True(err != nil)
			is.True(connect.CodeOf(err) == connect.CodeInvalidArgument || connect.CodeOf(err) == connect.CodeResourceExhausted)
			is.Equal(f.events.Len(), 0)
			is.Equal(len(f.announcements), 0)
		})
	}
}

func TestFarExpiryIsCapped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := testAnnouncement()
	a.Expires = time.Now().Add(24 * time.Hour)
	_, err := f.client.Announce(context.Background(), connect.NewRequest(encoder.AnnouncementToWire(a)))
	is.NoErr(err)
	is.True((<-f.announcements).Expires.Before(time.Now().Add(time.Hour)))
}

func fetchRequest(to task.Process) *connect.Request[v1.FetchRequest] {
	return connect.NewRequest(encoder.FetchToWire(to, dispatcher.AnswerRequested{
		Team: "desk", Job: job, Deadline: time.Now().Add(testTimeout),
	}))
}

func TestFetchWaitsForTheReply(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	got := make(chan *v1.FetchResponse)
	go func() {
		response, err := f.client.Fetch(context.Background(), fetchRequest(self))
		if err != nil {
			t.Error(err)
			close(got)
			return
		}
		got <- response.Msg
	}()
	asked := f.next(t).(dispatcher.AnswerRequested)
	is.Equal(asked.Job, job)
	f.waiters.Deliver(dispatcher.Reply{Ticket: asked.Ticket, Known: true, Answer: dispatcher.Answer{
		Outcome: task.Complete, Responses: []task.Response{{Status: 200, Body: []byte("one")}},
	}})
	response := <-got
	is.True(response.GetKnown())
	is.Equal(string(response.GetAnswer().GetResponses()[0].GetBody()), "one")
}

func TestFetchForAnotherIncarnationIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	response, err := f.client.Fetch(context.Background(), fetchRequest(task.Process{Name: self.Name, Incarnation: self.Incarnation + 1}))
	is.NoErr(err)
	is.True(!response.Msg.GetKnown())
	is.Equal(f.events.Len(), 0)
}

func TestCancelledFetchCancelsTheWait(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := f.client.Fetch(ctx, fetchRequest(self))
		done <- err
	}()
	asked := f.next(t).(dispatcher.AnswerRequested)
	cancel()
	is.True(<-done != nil)
	is.Equal(f.next(t).(dispatcher.WaitCancelled).Ticket, asked.Ticket)
}

func TestUnknownPathIsNotFound(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	response, err := http.Get("http://" + f.address.String() + "/holds")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusNotFound)
}
