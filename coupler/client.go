package coupler

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dialer"
	"agatevalve/encoder"
	"agatevalve/supervisor"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// connectWithin bounds the set-up of a connection to an entry.
	connectWithin = 400 * time.Millisecond
	// firstAgain is the pause between two links to one entry. It doubles to
	// eagerAgain at first, so that an entry that has started again has its agents
	// soon, and after eagerFor to lastAgain.
	firstAgain = 40 * time.Millisecond
	eagerAgain = 80 * time.Millisecond
	eagerFor   = 5 * time.Second
	lastAgain  = 300 * time.Millisecond
	// pingAfter is the silence after which the transport probes a link; links are
	// probed by frames, so that it is not to happen.
	pingAfter = 5 * time.Second
)

// SpokesOptions are the dependencies of Spokes.
type SpokesOptions struct {
	Self task.Process
	Zone string
	// Events takes what entries order. It reports false once the agent has stopped.
	Events func(supervisor.Event) bool
	// Listed takes the entries that an entry knows of.
	Listed func([]netip.AddrPort)
	Log    *slog.Logger
}

// Spokes are the agent's ends of its links, one to each entry of a list. They
// are safe for concurrent use.
type Spokes struct {
	o    SpokesOptions
	last atomic.Uint64

	mu     sync.Mutex
	spokes map[netip.AddrPort]*spoke
	// open counts the links that have been greeted.
	open   atomic.Int64
	closed bool
	group  sync.WaitGroup
}

// spoke keeps a link to one address.
type spoke struct {
	s       *Spokes
	address netip.AddrPort
	cancel  context.CancelFunc

	mu sync.Mutex
	// entry, number, out and end are those of the open link; number 0 for none.
	entry  string
	number uint64
	out    *ring.Ring[supervisor.Command]
	end    context.CancelCauseFunc
}

// NewSpokes returns spokes without a list.
func NewSpokes(o SpokesOptions) *Spokes {
	return &Spokes{o: o, spokes: make(map[netip.AddrPort]*spoke)}
}

// Keep opens links to these entries, and ends the attempts at others. A link
// that is open stays, since the entry behind it lives.
func (s *Spokes) Keep(entries []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	for address, k := range s.spokes {
		if !slices.Contains(entries, address) && !k.isOpen() {
			k.cancel()
			delete(s.spokes, address)
		}
	}
	for _, address := range entries {
		if s.spokes[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		k := &spoke{s: s, address: address, cancel: cancel}
		s.spokes[address] = k
		s.group.Go(func() { k.run(ctx) })
	}
}

// Open returns how many links are open.
func (s *Spokes) Open() int { return int(s.open.Load()) }

// Send hands a command to the link of an entry without blocking.
func (s *Spokes) Send(entry string, command supervisor.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.spokes {
		if k.offer(entry, command) {
			return
		}
	}
}

// Cut ends a link, which is then opened anew.
func (s *Spokes) Cut(link uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.spokes {
		k.cut(link)
	}
}

// Close ends all links.
func (s *Spokes) Close() {
	s.mu.Lock()
	s.closed = true
	for _, k := range s.spokes {
		k.cancel()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (k *spoke) isOpen() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.number != 0
}

func (k *spoke) offer(entry string, command supervisor.Command) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.number == 0 || k.entry != entry {
		return false
	}
	if !k.out.Offer(command) {
		k.end(errSilent) // The ring is full, so the entry does not read.
	}
	return true
}

func (k *spoke) cut(link uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.number == link && k.end != nil {
		k.end(errors.New("the link is distrusted"))
	}
}

// run opens one link after another.
func (k *spoke) run(ctx context.Context) {
	pause, away := firstAgain, time.Now()
	for ctx.Err() == nil {
		if k.link(ctx) {
			pause, away = firstAgain, time.Now()
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		pause = min(2*pause, lastAgain)
		if time.Since(away) < eagerFor {
			pause = min(pause, eagerAgain)
		}
	}
}

// link opens one link and serves it until it ends. It reports whether the
// entry had answered.
func (k *spoke) link(parent context.Context) bool {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	client := dialer.New(dialer.Options{ConnectWithin: connectWithin, PingAfter: pingAfter})
	defer client.Close()
	service := agatevalvev1connect.NewRunServiceClient(
		client, "http://"+k.address.String(), connect.WithReadMaxBytes(messageBytes), dialer.Plain(),
	)
	stop := context.AfterFunc(ctx, client.Close)
	defer stop()
	p := newPulse(cancel)
	defer p.stop()
	p.got(true)
	stream := service.Link(ctx)
	// A failed send says only that the stream has ended; Receive says why.
	_ = stream.Send(&v1.RunReports{From: encoder.ProcessToWire(k.s.o.Self), Zone: k.s.o.Zone})
	first, err := stream.Receive()
	if err != nil {
		return k.failed(err)
	}
	entry, err := processName(first.GetFrom())
	if err != nil {
		k.s.o.Log.Warn("coupler: Dropped a frame of an entry", "entry", k.address, "error", err)
		return false
	}
	k.serve(ctx, cancel, stream, p, entry, first)
	return true
}

// failed tells the core of entries at an address where nothing listens any more.
func (k *spoke) failed(err error) bool {
	k.mu.Lock()
	entry := k.entry
	k.mu.Unlock()
	if entry != "" && errors.Is(err, syscall.ECONNREFUSED) {
		k.s.o.Events(supervisor.LinkClosed{Entry: entry, Gone: true})
	}
	return false
}

type agentStream = connect.BidiStreamForClient[v1.RunReports, v1.RunOrders]

// serve writes and reads until the link ends.
func (k *spoke) serve(ctx context.Context, cancel context.CancelCauseFunc, stream *agentStream, p *pulse, entry string, first *v1.RunOrders) {
	number := k.s.last.Add(1)
	out := ring.New[supervisor.Command](ringSize)
	k.mu.Lock()
	former := k.entry
	k.entry, k.number, k.out, k.end = entry, number, out, cancel
	k.mu.Unlock()
	if former != "" && former != entry {
		k.s.o.Events(supervisor.LinkClosed{Entry: former, Gone: true})
	}
	k.s.open.Add(1)
	var writer sync.WaitGroup
	writer.Go(func() { cancel(k.write(ctx, stream, out, p)) })
	if k.s.o.Events(supervisor.LinkOpened{Entry: entry, Link: number}) {
		k.take(first, entry, number)
		cancel(k.read(stream, p, entry, number))
	}
	writer.Wait()
	k.s.open.Add(-1)
	k.mu.Lock()
	k.number = 0
	k.mu.Unlock()
	k.s.o.Events(supervisor.LinkClosed{Entry: entry, Link: number})
	k.s.o.Log.Info("coupler: A link ended", "entry", entry, "link", number, "cause", context.Cause(ctx))
}

func (k *spoke) read(stream *agentStream, p *pulse, entry string, number uint64) error {
	for {
		frame, err := stream.Receive()
		if err != nil {
			return err
		}
		p.got(len(frame.GetStarts())+len(frame.GetStops()) > 0)
		if !k.take(frame, entry, number) {
			return errors.New("the agent has stopped")
		}
	}
}

// take gives the event of a frame.
func (k *spoke) take(frame *v1.RunOrders, entry string, number uint64) bool {
	now := time.Now()
	ev := supervisor.FrameReceived{Entry: entry, Link: number, Acked: frame.GetAcked()}
	for _, s := range frame.GetStarts() {
		order, err := orderFromWire(frame, s, now)
		if err != nil {
			k.s.o.Log.Warn("coupler: Dropped a start", "entry", entry, "error", err)
			continue
		}
		ev.Orders = append(ev.Orders, order)
	}
	for _, r := range frame.GetStops() {
		run, err := runFromWire(r)
		if err != nil {
			k.s.o.Log.Warn("coupler: Dropped a stop", "entry", entry, "error", err)
			continue
		}
		ev.Stops = append(ev.Stops, run)
	}
	if len(frame.GetEntries()) > 0 {
		entries, err := addressesFromWire(frame.GetEntries())
		if err != nil {
			k.s.o.Log.Warn("coupler: Dropped a list of entries", "entry", entry, "error", err)
		} else {
			k.s.o.Listed(entries)
		}
	}
	return k.s.o.Events(ev)
}

// write writes the greeting first, and then what waits, or a probe.
func (k *spoke) write(ctx context.Context, stream *agentStream, out *ring.Ring[supervisor.Command], p *pulse) error {
	timer := time.NewTimer(busyPing)
	defer timer.Stop()
	var commands []supervisor.Command
	greeted := false
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		case <-out.Ready():
		}
		commands, _ = out.TakeAll(commands[:0])
		frame := &v1.RunReports{}
		for _, c := range commands {
			greeted = addToFrame(frame, c) || greeted
		}
		clear(commands)
		if !greeted {
			timer.Reset(busyPing)
			continue
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
		timer.Reset(p.sent(len(frame.GetReports()) > 0))
	}
}

// addToFrame adds a command to a frame, and reports whether it is the greeting.
func addToFrame(frame *v1.RunReports, command supervisor.Command) bool {
	switch c := command.(type) {
	case supervisor.ReportSnapshot:
		frame.Resumed = true
		frame.Minion, frame.Leaving = minionToWire(c.Minion, c.Usable), c.Leaving
		frame.Load = loadToWire(c.Load)
		for _, r := range c.Reports {
			frame.Reports = append(frame.Reports, reportToWire(r))
		}
		return true
	case supervisor.ReportRun:
		frame.Reports = append(frame.Reports, reportToWire(c.Report))
	case supervisor.ReportLoad:
		frame.Load, frame.Taken = loadToWire(c.Load), c.OrdersReceived
	case supervisor.ReportMinion:
		frame.Minion, frame.Leaving = minionToWire(c.Minion, c.Usable), c.Leaving
	}
	return false
}
