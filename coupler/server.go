package coupler

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/clock"
	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/common/work"
	"agatevalve/encoder"
	"agatevalve/scheduler"
	"agatevalve/subscriber"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// ServerOptions are the dependencies of a Server.
type ServerOptions struct {
	Self task.Process
	// Enqueue passes the messages of agents to the core. It returns false once the
	// entry has stopped.
	Enqueue func(scheduler.Event) bool
	// Entries returns the addresses of the live entries.
	Entries func() []netip.AddrPort
	// EntryStarted is called with the link address of an entry that requests the
	// configuration, as each does when it starts. It may be nil.
	EntryStarted func(netip.AddrPort)
	// CurrentDocument returns the configuration in force.
	CurrentDocument func() subscriber.Document
	// CurrentZones returns the newest decision on evacuated zones.
	CurrentZones func() work.Zones
	// HasJob reports whether this entry runs a job. CancelJob also stops the job.
	HasJob, CancelJob func(id string) bool
	Log               *slog.Logger
}

// Server serves the links from agents and the requests of other entries. It is
// safe for concurrent use.
type Server struct {
	options        ServerOptions
	lastLinkNumber atomic.Uint64

	mu    sync.Mutex
	links map[uint64]*agentLink
}

// agentLink is one open link from an agent.
type agentLink struct {
	queue   *ring.Ring[scheduler.Command]
	cancel  context.CancelCauseFunc
	enqueue func(scheduler.Event) bool

	// acked is the number of the newest end of a run that the entry has processed.
	// It is sent with the next frame and triggers none, because agents use it only
	// to discard ends that need no further report.
	acked atomic.Uint64

	mu sync.Mutex
	// closed is true once the core was notified that the link is closed. No event
	// follows it.
	closed bool
}

// deliver passes an event to the core unless the link is closed. It returns false
// if the event was dropped.
func (l *agentLink) deliver(ev scheduler.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && l.enqueue(ev)
}

// close notifies the core that the link is closed.
func (l *agentLink) close(ev scheduler.LinkClosed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.enqueue(ev)
}

// NewServer returns a server without links.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, links: make(map[uint64]*agentLink)}
}

// Handler returns the HTTP handler for agents and other entries.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewRunServiceHandler(s, connect.WithReadMaxBytes(maxFrameBytes)))
	return mux
}

// Send queues a command for a link without blocking. Commands for a closed link
// are dropped; the agent's first frame over its next link shows which orders
// have arrived.
func (s *Server) Send(link uint64, command scheduler.Command) {
	s.mu.Lock()
	l := s.links[link]
	s.mu.Unlock()
	if l == nil {
		return
	}
	if c, isAck := command.(scheduler.Acknowledge); isAck {
		l.acked.Store(c.Acked)
		return
	}
	if !l.queue.Offer(command) {
		l.cancel(errUnresponsive) // The queue is full, so the agent does not read.
	}
}

// Newest answers another entry with the configuration in force and the decision on
// evacuated zones, as far as they are newer, and with the live entries. It
// implements RunServiceHandler.
func (s *Server) Newest(_ context.Context, request *connect.Request[v1.NewestRequest]) (*connect.Response[v1.NewestResponse], error) {
	if address, err := netip.ParseAddrPort(request.Msg.GetFrom()); err == nil && s.options.EntryStarted != nil {
		s.options.EntryStarted(address)
	}
	document := s.options.CurrentDocument()
	response := &v1.NewestResponse{Version: document.Version, Entries: addressesToWire(s.options.Entries())}
	if document.Version > request.Msg.GetVersion() {
		response.Document = document.Content
	}
	if zones := s.options.CurrentZones(); zones.Version > request.Msg.GetZonesVersion() {
		response.Zones = zonesToWire(zones)
	}
	return connect.NewResponse(response), nil
}

// Find answers another entry whether this entry runs a job, and stops the job if
// requested. It implements RunServiceHandler.
func (s *Server) Find(_ context.Context, request *connect.Request[v1.FindRequest]) (*connect.Response[v1.FindResponse], error) {
	find := s.options.HasJob
	if request.Msg.GetCancel() {
		find = s.options.CancelJob
	}
	return connect.NewResponse(&v1.FindResponse{Known: find(request.Msg.GetJob())}), nil
}

// Link serves a link from an agent until it is closed. It implements
// RunServiceHandler.
func (s *Server) Link(ctx context.Context, stream *connect.BidiStream[v1.RunReports, v1.RunOrders]) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	process, err := encoder.ProcessFromWire(first.GetFrom())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	agent := scheduler.AgentID{Name: process.Name, Incarnation: uint64(process.Incarnation)}
	linkNumber := s.lastLinkNumber.Add(1)
	l := &agentLink{queue: ring.New[scheduler.Command](sendQueueSize), cancel: cancel, enqueue: s.options.Enqueue}
	s.mu.Lock()
	s.links[linkNumber] = l
	s.mu.Unlock()
	hb := newHeartbeat(cancel)
	defer hb.stop()
	hb.frameReceived(true) // Both ends count the opening as work, so that they use the same probe interval.
	defer s.removeLink(linkNumber)
	go s.readFrames(stream, agent, linkNumber, l, hb) // Ends with the stream.
	err = s.writeFrames(ctx, stream, l, hb)
	l.close(scheduler.LinkClosed{Agent: agent, Link: linkNumber})
	s.options.Log.Info("coupler: A link was closed", "agent", agent.Name, "link", linkNumber, "cause", context.Cause(ctx), "error", err)
	return err
}

func (s *Server) removeLink(linkNumber uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, linkNumber)
}

// readFrames passes the events in the agent's frames to the core until the stream
// ends.
func (s *Server) readFrames(stream *connect.BidiStream[v1.RunReports, v1.RunOrders], agent scheduler.AgentID, linkNumber uint64, l *agentLink, hb *heartbeat) {
	for {
		frame, err := stream.Receive()
		if err != nil {
			l.cancel(err)
			return
		}
		hb.frameReceived(len(frame.GetReports()) > 0)
		ev, err := eventFromFrame(frame, agent, linkNumber)
		if err != nil {
			s.options.Log.Warn("coupler: Received an invalid frame from an agent", "agent", agent.Name, "error", err)
			l.cancel(err)
			return
		}
		if ev != nil && !l.deliver(ev) {
			l.cancel(errors.New("the entry has stopped"))
			return
		}
	}
}

// eventFromFrame returns the event in a frame, or nil for a probe.
func eventFromFrame(frame *v1.RunReports, agent scheduler.AgentID, linkNumber uint64) (scheduler.Event, error) {
	reports := make([]work.Report, 0, len(frame.GetReports()))
	for _, r := range frame.GetReports() {
		report, err := reportFromWire(r)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	var crashes []work.Crash
	for _, c := range frame.GetCrashes() {
		crash, err := crashFromWire(c, clock.Now())
		if err != nil {
			return nil, err
		}
		crashes = append(crashes, crash)
	}
	if frame.GetResumed() {
		return scheduler.LinkOpened{
			Agent: agent, Link: linkNumber, Reports: reports, Crashes: crashes, Minion: minionFromWire(frame.GetMinion()),
			Usable: frame.GetMinion().GetUsable(), Leaving: frame.GetLeaving(), Load: loadFromWire(frame.GetLoad()),
			Zones: zonesFromWire(frame.GetZones()),
		}, nil
	}
	ev := scheduler.Reported{Agent: agent, Link: linkNumber, Reports: reports, Crashes: crashes, Zones: zonesFromWire(frame.GetZones())}
	if frame.GetLoad() != nil {
		load := loadFromWire(frame.GetLoad())
		ev.Load, ev.OrdersTaken = &load, frame.GetTaken()
	}
	if frame.GetMinion() != nil {
		minion := minionFromWire(frame.GetMinion())
		ev.Minion, ev.Usable, ev.Leaving = &minion, frame.GetMinion().GetUsable(), frame.GetLeaving()
	}
	if len(reports)+len(crashes) == 0 && ev.Load == nil && ev.Minion == nil && ev.Zones.Version == 0 {
		return nil, nil
	}
	return ev, nil
}

// writeFrames sends queued commands, or a probe if none was queued for a probe
// interval. The first frame identifies this entry to the agent. The list of
// entries is sent when it has changed.
func (s *Server) writeFrames(ctx context.Context, stream *connect.BidiStream[v1.RunReports, v1.RunOrders], l *agentLink, hb *heartbeat) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sentEntries []netip.AddrPort
	identified := false
	var commands []scheduler.Command
	for {
		select {
		case <-ctx.Done():
			return connect.NewError(connect.CodeUnavailable, context.Cause(ctx))
		case <-timer.C:
		case <-l.queue.Ready():
		}
		commands, _ = l.queue.TakeAll(commands[:0])
		frame, hasWork := frameFromCommands(commands)
		frame.Acked = l.acked.Load()
		if !identified {
			frame.From, identified = encoder.ProcessToWire(s.options.Self), true
		}
		if entries := s.options.Entries(); !slices.Equal(entries, sentEntries) {
			frame.Entries, sentEntries = addressesToWire(entries), entries
		}
		clear(commands)
		if err := stream.Send(frame); err != nil {
			return err
		}
		timer.Reset(hb.frameSent(hasWork))
	}
}

// frameFromCommands combines commands into one frame, and reports whether the
// frame carries work.
func frameFromCommands(commands []scheduler.Command) (*v1.RunOrders, bool) {
	frame := &v1.RunOrders{}
	var orders []work.Order
	for _, c := range commands {
		switch c := c.(type) {
		case scheduler.Place:
			orders = append(orders, c.Order)
		case scheduler.Stop:
			frame.Stops = append(frame.Stops, runToWire(c.Run))
		case scheduler.AnnounceZones:
			if c.Zones.Version > frame.GetZones().GetVersion() {
				frame.Zones = zonesToWire(c.Zones)
			}
		}
	}
	ordersToWire(frame, orders, clock.Now())
	return frame, len(orders)+len(frame.GetStops()) > 0
}
