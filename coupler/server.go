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

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/common/work"
	"agatevalve/encoder"
	"agatevalve/scheduler"
	"agatevalve/subscriber"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// HubOptions are the dependencies of a Hub.
type HubOptions struct {
	Self task.Process
	// Events takes what agents tell. It reports false once the entry has stopped.
	Events func(scheduler.Event) bool
	// Entries returns the addresses of the live entries.
	Entries func() []netip.AddrPort
	// Met takes the address of an entry that has just started.
	Met func(netip.AddrPort)
	// Newest returns the configuration in force.
	Newest func() subscriber.Document
	// Known reports whether a job runs here, and Cancel stops it too.
	Known, Cancel func(id string) bool
	Log           *slog.Logger
}

// Hub is the entry's end of all links. It is safe for concurrent use.
type Hub struct {
	o    HubOptions
	last atomic.Uint64

	mu    sync.Mutex
	links map[uint64]*hubLink
}

// hubLink is one stream from an agent.
type hubLink struct {
	out    *ring.Ring[scheduler.Command]
	cancel context.CancelCauseFunc
	events func(scheduler.Event) bool

	// acked is the newest end that the entry has used. It goes along with the
	// next frame, as agents only drop ends by it.
	acked atomic.Uint64

	mu sync.Mutex
	// closed is true once the end of the link was told; no event follows it.
	closed bool
}

// tell gives an event unless the end of the link was told.
func (k *hubLink) tell(ev scheduler.Event) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.closed && k.events(ev)
}

// close tells of the end of the link.
func (k *hubLink) close(ev scheduler.LinkClosed) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.events(ev)
}

// NewHub returns a hub without links.
func NewHub(o HubOptions) *Hub { return &Hub{o: o, links: make(map[uint64]*hubLink)} }

// Handler serves agents and other entries.
func (h *Hub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewRunServiceHandler(h, connect.WithReadMaxBytes(messageBytes)))
	return mux
}

// Send hands a command to a link without blocking. What a closed link does not
// take is settled by the agent's next greeting.
func (h *Hub) Send(link uint64, command scheduler.Command) {
	h.mu.Lock()
	k := h.links[link]
	h.mu.Unlock()
	if k == nil {
		return
	}
	if c, isAck := command.(scheduler.Acknowledge); isAck {
		k.acked.Store(c.Acked)
		return
	}
	if !k.out.Offer(command) {
		k.cancel(errSilent) // The ring is full, so the agent does not read.
	}
}

// Newest implements the service for other entries.
func (h *Hub) Newest(_ context.Context, request *connect.Request[v1.NewestRequest]) (*connect.Response[v1.NewestResponse], error) {
	if address, err := netip.ParseAddrPort(request.Msg.GetFrom()); err == nil && h.o.Met != nil {
		h.o.Met(address)
	}
	document := h.o.Newest()
	response := &v1.NewestResponse{Version: document.Version, Entries: addressesToWire(h.o.Entries())}
	if document.Version > request.Msg.GetVersion() {
		response.Document = document.Content
	}
	return connect.NewResponse(response), nil
}

// Find implements the service for other entries.
func (h *Hub) Find(_ context.Context, request *connect.Request[v1.FindRequest]) (*connect.Response[v1.FindResponse], error) {
	find := h.o.Known
	if request.Msg.GetCancel() {
		find = h.o.Cancel
	}
	return connect.NewResponse(&v1.FindResponse{Known: find(request.Msg.GetJob())}), nil
}

// Link implements the service for agents.
func (h *Hub) Link(ctx context.Context, stream *connect.BidiStream[v1.RunReports, v1.RunOrders]) error {
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
	number := h.last.Add(1)
	k := &hubLink{out: ring.New[scheduler.Command](ringSize), cancel: cancel, events: h.o.Events}
	h.mu.Lock()
	h.links[number] = k
	h.mu.Unlock()
	p := newPulse(cancel)
	defer p.stop()
	p.got(true) // Both ends take the opening for work, so that they probe alike.
	defer h.forget(number)
	go h.read(stream, agent, number, k, p) // Ends with the stream.
	err = h.write(ctx, stream, k, p)
	k.close(scheduler.LinkClosed{Agent: agent, Link: number})
	h.o.Log.Info("coupler: A link ended", "agent", agent.Name, "link", number, "cause", context.Cause(ctx), "error", err)
	return err
}

func (h *Hub) forget(number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.links, number)
}

// read gives the events of the agent's frames until the stream ends.
func (h *Hub) read(stream *connect.BidiStream[v1.RunReports, v1.RunOrders], agent scheduler.AgentID, number uint64, k *hubLink, p *pulse) {
	for {
		frame, err := stream.Receive()
		if err != nil {
			k.cancel(err)
			return
		}
		p.got(len(frame.GetReports()) > 0)
		ev, err := eventOf(frame, agent, number)
		if err != nil {
			h.o.Log.Warn("coupler: Dropped a frame of an agent", "agent", agent.Name, "error", err)
			k.cancel(err)
			return
		}
		if ev != nil && !k.tell(ev) {
			k.cancel(errors.New("the entry has stopped"))
			return
		}
	}
}

// eventOf returns the event that a frame stands for, or nil for a probe.
func eventOf(frame *v1.RunReports, agent scheduler.AgentID, number uint64) (scheduler.Event, error) {
	reports := make([]work.Report, 0, len(frame.GetReports()))
	for _, r := range frame.GetReports() {
		report, err := reportFromWire(r)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	if frame.GetResumed() {
		return scheduler.LinkOpened{
			Agent: agent, Link: number, Reports: reports, Minion: minionFromWire(frame.GetMinion()),
			Usable: frame.GetMinion().GetUsable(), Leaving: frame.GetLeaving(), Load: loadFromWire(frame.GetLoad()),
		}, nil
	}
	ev := scheduler.Reported{Agent: agent, Link: number, Reports: reports}
	if frame.GetLoad() != nil {
		load := loadFromWire(frame.GetLoad())
		ev.Load, ev.OrdersTaken = &load, frame.GetTaken()
	}
	if frame.GetMinion() != nil {
		minion := minionFromWire(frame.GetMinion())
		ev.Minion, ev.Usable, ev.Leaving = &minion, frame.GetMinion().GetUsable(), frame.GetLeaving()
	}
	if len(reports) == 0 && ev.Load == nil && ev.Minion == nil {
		return nil, nil
	}
	return ev, nil
}

// write greets the agent, and then writes what waits, or a probe.
func (h *Hub) write(ctx context.Context, stream *connect.BidiStream[v1.RunReports, v1.RunOrders], k *hubLink, p *pulse) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var told []netip.AddrPort
	greeted := false
	var commands []scheduler.Command
	for {
		select {
		case <-ctx.Done():
			return connect.NewError(connect.CodeUnavailable, context.Cause(ctx))
		case <-timer.C:
		case <-k.out.Ready():
		}
		commands, _ = k.out.TakeAll(commands[:0])
		frame, working := frameOf(commands)
		frame.Acked = k.acked.Load()
		if !greeted {
			frame.From, greeted = encoder.ProcessToWire(h.o.Self), true
		}
		if entries := h.o.Entries(); !slices.Equal(entries, told) {
			frame.Entries, told = addressesToWire(entries), entries
		}
		clear(commands)
		if err := stream.Send(frame); err != nil {
			return err
		}
		timer.Reset(p.sent(working))
	}
}

// frameOf joins commands to one frame, and reports whether any is work.
func frameOf(commands []scheduler.Command) (*v1.RunOrders, bool) {
	frame := &v1.RunOrders{}
	var orders []work.Order
	for _, c := range commands {
		switch c := c.(type) {
		case scheduler.Place:
			orders = append(orders, c.Order)
		case scheduler.Stop:
			frame.Stops = append(frame.Stops, runToWire(c.Run))
		}
	}
	ordersToWire(frame, orders, time.Now())
	return frame, len(orders)+len(frame.GetStops()) > 0
}
