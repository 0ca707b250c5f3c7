// Package greeter is the internal side of an entry: agents announce themselves
// to it, other entries wait for the answers of jobs held here, and it asks
// other entries for theirs. Entries that can't read the store get the
// configuration from each other.
package greeter

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/historian"
	"agatevalve/waiter"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// requestBytes caps one message from an agent or entry.
	requestBytes = 1 << 20
	// longestAnnouncement caps how far ahead an announcement may expire.
	longestAnnouncement = 5 * time.Minute
)

// Events takes what other processes did towards the core.
type Events interface {
	// Offer reports false when there is no space now.
	Offer(ev dispatcher.Event) bool
	// Put waits for space and reports false when ctx ends first.
	Put(ctx context.Context, ev dispatcher.Event) bool
}

// Options are the dependencies of a Greeter.
type Options struct {
	Self    task.Process
	Events  Events
	Waiters *waiter.Registry
	// Revision returns the configuration revision in force.
	Revision func() uint64
	// Hear takes the revision that another process knows of.
	Hear func(revision uint64)
	// Snapshot returns the configuration in force, for another entry.
	Snapshot func() historian.Snapshot
	// Meet takes the announcement of an agent. It reports false when the entry
	// is too busy.
	Meet func(ctx context.Context, announcement dispatcher.Announcement) bool
	// Status returns the state of this entry.
	Status  func(ctx context.Context) (*v1.StatusResponse, error)
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Greeter serves the calls between agatevalve's own processes.
type Greeter struct {
	o         Options
	agents    directory
	announced metrics.Counter
	rejected  metrics.Counter
	fetched   metrics.Counter
	given     metrics.Counter
}

var _ agatevalvev1connect.EntryServiceHandler = (*Greeter)(nil)

// New returns a greeter.
func New(o Options) *Greeter {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Greeter{
		o:         o,
		announced: metrics.GetOrRegisterCounter("announcements", o.Metrics),
		rejected:  metrics.GetOrRegisterCounter("internal-calls-rejected", o.Metrics),
		fetched:   metrics.GetOrRegisterCounter("answers-fetched", o.Metrics),
		given:     metrics.GetOrRegisterCounter("configurations-given", o.Metrics),
	}
}

// Handler returns the handler of the internal listener.
func (g *Greeter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewEntryServiceHandler(g, connect.WithReadMaxBytes(requestBytes)))
	mux.HandleFunc("/", refuseStranger)
	return mux
}

// refuseStranger tells a caller or operator who came to the wrong listener.
func refuseStranger(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "this listener serves agents and other entries only; send requests and jobs to the callers' listener", http.StatusNotFound)
}

// Announce takes an agent's word on itself.
func (g *Greeter) Announce(ctx context.Context, request *connect.Request[v1.AnnounceRequest]) (*connect.Response[v1.AnnounceResponse], error) {
	announcement, err := encoder.AnnouncementFromWire(request.Msg)
	if err != nil {
		return nil, g.reject(err)
	}
	now := time.Now()
	if latest := now.Add(longestAnnouncement); announcement.Expires.After(latest) {
		announcement.Expires = latest
	}
	if !announcement.Expires.After(now) {
		return nil, g.reject(fault.New(fault.Expired, "announce again, and check both clocks", "the announcement of %s has expired", announcement.Peer.Process.Name))
	}
	g.announced.Inc(1)
	if announcement.Load.Revision > g.o.Revision() {
		g.o.Hear(announcement.Load.Revision)
	}
	if !g.o.Meet(ctx, announcement) {
		return nil, connect.NewError(connect.CodeUnavailable, errBusy())
	}
	g.agents.keep(announcement, now)
	return connect.NewResponse(&v1.AnnounceResponse{
		From:     encoder.ProcessToWire(g.o.Self),
		Revision: g.o.Revision(),
	}), nil
}

// Fetch waits for the answer of a job that is held here.
func (g *Greeter) Fetch(ctx context.Context, request *connect.Request[v1.FetchRequest]) (*connect.Response[v1.FetchResponse], error) {
	to, asked, err := encoder.FetchFromWire(request.Msg)
	if err != nil {
		return nil, g.reject(err)
	}
	if to != g.o.Self {
		return connect.NewResponse(&v1.FetchResponse{}), nil
	}
	g.fetched.Inc(1)
	ticket, replies := g.o.Waiters.Open()
	defer g.o.Waiters.Close(ticket)
	asked.Ticket = ticket
	if !g.o.Events.Put(ctx, asked) {
		return nil, connect.NewError(connect.CodeUnavailable, errBusy())
	}
	select {
	case reply := <-replies:
		return connect.NewResponse(fetchResponse(reply)), nil
	case <-ctx.Done():
		g.o.Events.Put(context.WithoutCancel(ctx), dispatcher.WaitCancelled{Ticket: ticket})
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// Status returns the state of this entry.
func (g *Greeter) Status(ctx context.Context, _ *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	status, err := g.o.Status(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(status), nil
}

// Configuration returns the configuration in force here, if it is newer than
// the asker's. An asker that is ahead tells that this entry is behind.
func (g *Greeter) Configuration(_ context.Context, request *connect.Request[v1.ConfigurationRequest]) (*connect.Response[v1.ConfigurationResponse], error) {
	have, own := request.Msg.GetRevision(), g.o.Revision()
	if have >= own {
		if have > own {
			g.o.Hear(have)
		}
		return connect.NewResponse(&v1.ConfigurationResponse{Revision: own}), nil
	}
	g.given.Inc(1)
	return connect.NewResponse(snapshotToWire(g.o.Snapshot())), nil
}

// Agents returns the latest announcements that have not expired, by name.
func (g *Greeter) Agents() []dispatcher.Announcement { return g.agents.live(time.Now()) }

func (g *Greeter) reject(err error) error {
	g.rejected.Inc(1)
	g.o.Log.Warn("greeter: Rejected a call", "error", err)
	return connect.NewError(connect.CodeInvalidArgument, err)
}

func fetchResponse(reply dispatcher.Reply) *v1.FetchResponse {
	if !reply.Known {
		return &v1.FetchResponse{}
	}
	return &v1.FetchResponse{Known: true, Answer: encoder.AnswerToWire(reply.Answer)}
}

func errBusy() error {
	return fault.New(fault.Unavailable, "try again, or ask another entry", "the entry is busy or stops")
}
