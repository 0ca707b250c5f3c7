// Package greeter serves and makes the internal calls of an entry. It accepts
// the announcements of agents, replies to other entries that wait for the
// answer to a job that this entry owns, and fetches answers and configurations
// from other entries. Entries that can't read the store get the configuration
// from each other.
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
	// maxRequestBytes limits the size of one message from an agent or entry.
	maxRequestBytes = 1 << 20
	// maxAnnouncementLifetime limits the time until an announcement expires.
	maxAnnouncementLifetime = 5 * time.Minute
)

// Events is the queue of events to the dispatcher's core.
type Events interface {
	// Offer reports false if there is no space at present.
	Offer(ev dispatcher.Event) bool
	// Put waits for space. It reports false if ctx ends first.
	Put(ctx context.Context, ev dispatcher.Event) bool
}

// Options are the dependencies of a Greeter.
type Options struct {
	Self    task.Process
	Events  Events
	Waiters *waiter.Registry
	// Revision returns the configuration revision in force.
	Revision func() uint64
	// OnNewerRevision is called with a configuration revision that is newer
	// than the one in force here.
	OnNewerRevision func(revision uint64)
	// Snapshot returns the configuration in force, to be sent to another entry.
	Snapshot func() historian.Snapshot
	// OnAnnouncement handles the announcement of an agent. It reports false if
	// the entry is overloaded.
	OnAnnouncement func(ctx context.Context, announcement dispatcher.Announcement) bool
	// Status returns the state of this entry.
	Status  func(ctx context.Context) (*v1.StatusResponse, error)
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Greeter serves the internal calls of agents, entries and operators' commands.
type Greeter struct {
	options            Options
	agents             agentDirectory
	announcements      metrics.Counter
	callsRejected      metrics.Counter
	answersFetched     metrics.Counter
	configurationsSent metrics.Counter
}

var _ agatevalvev1connect.EntryServiceHandler = (*Greeter)(nil)

// New returns a Greeter.
func New(o Options) *Greeter {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Greeter{
		options:            o,
		announcements:      metrics.GetOrRegisterCounter("announcements", o.Metrics),
		callsRejected:      metrics.GetOrRegisterCounter("internal-calls-rejected", o.Metrics),
		answersFetched:     metrics.GetOrRegisterCounter("answers-fetched", o.Metrics),
		configurationsSent: metrics.GetOrRegisterCounter("configurations-given", o.Metrics),
	}
}

// Handler returns the handler of the internal listener.
func (g *Greeter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewEntryServiceHandler(g, connect.WithReadMaxBytes(maxRequestBytes)))
	mux.HandleFunc("/", refuseUnknownPath)
	return mux
}

// refuseUnknownPath tells a caller or operator that they reached the wrong
// listener.
func refuseUnknownPath(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "this listener serves agents and other entries only; send requests and jobs to the callers' listener", http.StatusNotFound)
}

// Announce accepts an agent's announcement. It limits the time until it
// expires, and rejects it if it has expired already.
func (g *Greeter) Announce(ctx context.Context, request *connect.Request[v1.AnnounceRequest]) (*connect.Response[v1.AnnounceResponse], error) {
	announcement, err := encoder.AnnouncementFromWire(request.Msg)
	if err != nil {
		return nil, g.rejectCall(err)
	}
	now := time.Now()
	if latestExpiry := now.Add(maxAnnouncementLifetime); announcement.Expires.After(latestExpiry) {
		announcement.Expires = latestExpiry
	}
	if !announcement.Expires.After(now) {
		return nil, g.rejectCall(fault.New(fault.Expired, "announce again, and check both clocks", "the announcement of %s has expired", announcement.Peer.Process.Name))
	}
	g.announcements.Inc(1)
	if announcement.Load.Revision > g.options.Revision() {
		g.options.OnNewerRevision(announcement.Load.Revision)
	}
	if !g.options.OnAnnouncement(ctx, announcement) {
		return nil, connect.NewError(connect.CodeUnavailable, errBusy())
	}
	g.agents.store(announcement, now)
	return connect.NewResponse(&v1.AnnounceResponse{
		From:     encoder.ProcessToWire(g.options.Self),
		Revision: g.options.Revision(),
	}), nil
}

// Fetch waits for the answer of a job that this entry holds. It replies with
// Known false if the call was meant for another incarnation, as after a
// restart.
func (g *Greeter) Fetch(ctx context.Context, request *connect.Request[v1.FetchRequest]) (*connect.Response[v1.FetchResponse], error) {
	to, wanted, err := encoder.FetchFromWire(request.Msg)
	if err != nil {
		return nil, g.rejectCall(err)
	}
	if to != g.options.Self {
		return connect.NewResponse(&v1.FetchResponse{}), nil
	}
	g.answersFetched.Inc(1)
	ticket, replies := g.options.Waiters.Open()
	defer g.options.Waiters.Close(ticket)
	wanted.Ticket = ticket
	if !g.options.Events.Put(ctx, wanted) {
		return nil, connect.NewError(connect.CodeUnavailable, errBusy())
	}
	select {
	case reply := <-replies:
		return connect.NewResponse(fetchResponse(reply)), nil
	case <-ctx.Done():
		g.options.Events.Put(context.WithoutCancel(ctx), dispatcher.WaitCancelled{Ticket: ticket})
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// Status returns the state of this entry.
func (g *Greeter) Status(ctx context.Context, _ *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	status, err := g.options.Status(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(status), nil
}

// Configuration returns the configuration in force, if it is newer than that of
// the calling entry. If the caller's is newer, this entry learns that its own
// is outdated.
func (g *Greeter) Configuration(_ context.Context, request *connect.Request[v1.ConfigurationRequest]) (*connect.Response[v1.ConfigurationResponse], error) {
	have, current := request.Msg.GetRevision(), g.options.Revision()
	if have >= current {
		if have > current {
			g.options.OnNewerRevision(have)
		}
		return connect.NewResponse(&v1.ConfigurationResponse{Revision: current}), nil
	}
	g.configurationsSent.Inc(1)
	return connect.NewResponse(snapshotToWire(g.options.Snapshot())), nil
}

// Agents returns the latest announcements that haven't expired, sorted by the
// names of the agents.
func (g *Greeter) Agents() []dispatcher.Announcement { return g.agents.unexpired(time.Now()) }

// rejectCall counts and logs an invalid call and returns the error to reply
// with.
func (g *Greeter) rejectCall(err error) error {
	g.callsRejected.Inc(1)
	g.options.Log.Warn("greeter: Rejected an invalid call", "error", err)
	return connect.NewError(connect.CodeInvalidArgument, err)
}

// fetchResponse converts a reply of the core.
func fetchResponse(reply dispatcher.Reply) *v1.FetchResponse {
	if !reply.Known {
		return &v1.FetchResponse{}
	}
	return &v1.FetchResponse{Known: true, Answer: encoder.AnswerToWire(reply.Answer)}
}

// errBusy is the error while the core's queue is full or the entry shuts down.
func errBusy() error {
	return fault.New(fault.Unavailable, "try again, or ask another entry", "the entry is busy or stops")
}
