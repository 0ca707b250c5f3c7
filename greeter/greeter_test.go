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

// patience bounds the wait for something that must happen.
const patience = 20 * time.Second

var (
	self  = task.Process{Name: "entry-1", Incarnation: 7}
	agent = dispatcher.Peer{
		Process: task.Process{Name: "agent-1", Incarnation: 9},
		Address: netip.MustParseAddrPort("127.0.0.1:9010"),
	}
	job = task.KeyedJobID("desk", "one")
)

// owner is a greeter behind a listener, with what it gave.
type owner struct {
	events  *ring.Ring[dispatcher.Event]
	waiters *waiter.Registry
	heard   chan uint64
	met     chan dispatcher.Announcement
	// snapshot is of the revision in force.
	snapshot historian.Snapshot
	address  netip.AddrPort
	client   agatevalvev1connect.EntryServiceClient
}

func newOwner(t *testing.T) *owner {
	t.Helper()
	o := &owner{
		events:  ring.New[dispatcher.Event](64),
		waiters: waiter.New(),
		heard:   make(chan uint64, 8),
		met:     make(chan dispatcher.Announcement, 8),
	}
	g := greeter.New(greeter.Options{
		Self:     self,
		Events:   o.events,
		Waiters:  o.waiters,
		Revision: func() uint64 { return 5 },
		Hear:     func(revision uint64) { o.heard <- revision },
		Snapshot: func() historian.Snapshot { return o.snapshot },
		Meet: func(_ context.Context, a dispatcher.Announcement) bool {
			o.met <- a
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
	o.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	o.client = agatevalvev1connect.NewEntryServiceClient(server.Client(), server.URL)
	return o
}

// next returns the next event that the greeter gave.
func (o *owner) next(t *testing.T) dispatcher.Event {
	t.Helper()
	select {
	case <-o.events.Ready():
	case <-time.After(patience):
		t.Fatal("no event came")
	}
	events, _ := o.events.TakeUpTo(nil, 1)
	return events[0]
}

func announcement() dispatcher.Announcement {
	return dispatcher.Announcement{
		Peer:    agent,
		Zone:    "cartago",
		Pools:   []string{"ascenso-desk"},
		Load:    dispatcher.Load{Slots: 8, Revision: 6},
		Expires: time.Now().Add(5 * time.Second),
	}
}

func TestAnnouncementIsTaken(t *testing.T) {
	is := is.New(t)
	o := newOwner(t)
	response, err := o.client.Announce(context.Background(), connect.NewRequest(encoder.AnnouncementToWire(announcement())))
	is.NoErr(err)
	is.Equal(response.Msg.GetRevision(), uint64(5))
	is.Equal(response.Msg.GetFrom().GetName(), self.Name)
	is.Equal((<-o.met).Peer, agent)
	is.Equal(<-o.heard, uint64(6)) // The agent knows a newer revision.
}

func TestBadAnnouncementsAreRejected(t *testing.T) {
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
			o := newOwner(t)
			message := encoder.AnnouncementToWire(announcement())
			tc.change(message)
			_, err := o.client.Announce(context.Background(), connect.NewRequest(message))
			is.True(err != nil)
			is.True(connect.CodeOf(err) == connect.CodeInvalidArgument || connect.CodeOf(err) == connect.CodeResourceExhausted)
			is.Equal(o.events.Len(), 0)
			is.Equal(len(o.met), 0)
		})
	}
}

func TestFarExpiryIsCapped(t *testing.T) {
	is := is.New(t)
	o := newOwner(t)
	a := announcement()
	a.Expires = time.Now().Add(24 * time.Hour)
	_, err := o.client.Announce(context.Background(), connect.NewRequest(encoder.AnnouncementToWire(a)))
	is.NoErr(err)
	is.True((<-o.met).Expires.Before(time.Now().Add(time.Hour)))
}

func fetchFrom(to task.Process) *connect.Request[v1.FetchRequest] {
	return connect.NewRequest(encoder.FetchToWire(to, dispatcher.AnswerRequested{
		Team: "desk", Job: job, Deadline: time.Now().Add(patience),
	}))
}

func TestFetchWaitsForTheReply(t *testing.T) {
	is := is.New(t)
	o := newOwner(t)
	got := make(chan *v1.FetchResponse)
	go func() {
		response, err := o.client.Fetch(context.Background(), fetchFrom(self))
		if err != nil {
			t.Error(err)
			close(got)
			return
		}
		got <- response.Msg
	}()
	asked := o.next(t).(dispatcher.AnswerRequested)
	is.Equal(asked.Job, job)
	o.waiters.Deliver(dispatcher.Reply{Ticket: asked.Ticket, Known: true, Answer: dispatcher.Answer{
		Outcome: task.Complete, Responses: []task.Response{{Status: 200, Body: []byte("one")}},
	}})
	response := <-got
	is.True(response.GetKnown())
	is.Equal(string(response.GetAnswer().GetResponses()[0].GetBody()), "one")
}

func TestFetchForAnotherIncarnationKnowsNothing(t *testing.T) {
	is := is.New(t)
	o := newOwner(t)
	response, err := o.client.Fetch(context.Background(), fetchFrom(task.Process{Name: self.Name, Incarnation: self.Incarnation + 1}))
	is.NoErr(err)
	is.True(!response.Msg.GetKnown())
	is.Equal(o.events.Len(), 0)
}

func TestFetchThatIsGivenUpIsWithdrawn(t *testing.T) {
	is := is.New(t)
	o := newOwner(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := o.client.Fetch(ctx, fetchFrom(self))
		done <- err
	}()
	asked := o.next(t).(dispatcher.AnswerRequested)
	cancel()
	is.True(<-done != nil)
	is.Equal(o.next(t).(dispatcher.WaitCancelled).Ticket, asked.Ticket)
}

func TestInternalListenerServesNothingElse(t *testing.T) {
	is := is.New(t)
	o := newOwner(t)
	response, err := http.Get("http://" + o.address.String() + "/holds")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusNotFound)
}
