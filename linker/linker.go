// Package linker is the entry's side of its links to agents. A link is one
// stream over a connection of its own. A start is written to a link at most
// once; when the link breaks or falls silent, the core settles what was sent
// over a new connection instead of sending it again.
package linker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

const (
	// DefaultPingAfter is how long a link with outstanding work may bring no
	// frame before it is probed.
	DefaultPingAfter = 250 * time.Millisecond
	// DefaultSilentAfter bounds the wait for any frame after a probe.
	DefaultSilentAfter = 500 * time.Millisecond
	// DefaultIdlePing is how long a link without outstanding work may bring no
	// frame before it is probed.
	DefaultIdlePing = 10 * time.Second
	// DefaultRingSize caps the orders that wait to be written to one link.
	DefaultRingSize = 4096
	// DefaultMessageBytes caps one message from an agent.
	DefaultMessageBytes = 48 << 20
	// firstReopen and lastReopen bound the mean pause between two links to one
	// agent, which doubles with each link that fails before it opens.
	firstReopen = 100 * time.Millisecond
	lastReopen  = 2 * time.Second
	// maxDoublings keeps the doubled pause from overflowing.
	maxDoublings = 8
	// DefaultCloseWithin bounds the writing of what waits when the linker closes.
	DefaultCloseWithin = time.Second
)

// Events takes what happened towards the core.
type Events interface {
	// Put waits for space and reports false when ctx ends first.
	Put(ctx context.Context, ev dispatcher.Event) bool
}

// Options are the dependencies and limits of a Linker. Zero durations and
// sizes take the defaults.
type Options struct {
	// Self is the entry that the links belong to.
	Self   task.Process
	Events Events
	// Revision returns the configuration revision in force.
	Revision func() uint64
	// Hear takes the revision that an agent knows of.
	Hear    func(revision uint64)
	Log     *slog.Logger
	Metrics metrics.Registry

	PingAfter    time.Duration
	SilentAfter  time.Duration
	IdlePing     time.Duration
	CloseWithin  time.Duration
	RingSize     int
	MessageBytes int
}

// Linker keeps one link to each agent in use. It is safe for concurrent use.
type Linker struct {
	o        Options
	counters counters
	// ctx ends the links.
	ctx    context.Context
	cancel context.CancelFunc
	// asking ends the inquiries.
	asking     context.Context
	stopAsking context.CancelFunc
	// group counts the goroutines of links and inquiries.
	group sync.WaitGroup
	// inquiries caps the settle and fence calls in flight.
	inquiries chan struct{}

	mu sync.Mutex
	// agents holds the runs of agents that have announced themselves or had a
	// start.
	agents map[task.Process]*agent
	// swept is when agents were last removed.
	swept  time.Time
	closed bool
}

// New returns a linker without links.
func New(o Options) *Linker {
	o = o.withDefaults()
	l := &Linker{
		o:         o,
		counters:  newCounters(o.Metrics),
		inquiries: make(chan struct{}, maxInquiries),
		agents:    make(map[task.Process]*agent),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.asking, l.stopAsking = context.WithCancel(l.ctx)
	return l
}

// Meet takes an agent's announcement and opens a link to it. The core hears of
// the agent while the link is open only, so that no task waits for an agent
// that can't be reached from here. It reports false when the core is too busy.
func (l *Linker) Meet(ctx context.Context, announcement dispatcher.Announcement) bool {
	if !l.meet(announcement) {
		return true // The link gives the event once it opens.
	}
	return l.tell(ctx, announcement)
}

// Send hands a start to the link without blocking. False proves that the start
// has not left this process and never will.
func (l *Linker) Send(peer dispatcher.Peer, start task.Start) bool {
	k := l.open(peer)
	if k == nil || !k.offerStart(start) {
		l.counters.unsent.Inc(1)
		return false
	}
	return true
}

// Cancel asks the agent to stop an attempt. It is dropped when the link is
// gone, because the agent stops the attempt at its deadline anyway.
func (l *Linker) Cancel(peer dispatcher.Peer, sent dispatcher.AttemptRef) {
	l.offer(peer, order{kind: cancelOrder, sent: sent})
}

// Acknowledge tells the agent that it may forget a result. It is dropped when
// the link is gone, because the agent forgets the result in time anyway.
func (l *Linker) Acknowledge(peer dispatcher.Peer, sent dispatcher.AttemptRef) {
	l.offer(peer, order{kind: ackOrder, sent: sent})
}

// Close ends all calls, writes what waits for the links, and ends them. No
// event is given any more.
func (l *Linker) Close() {
	l.stopAsking()
	l.mu.Lock()
	l.closed = true
	for _, a := range l.agents {
		if a.link != nil {
			a.link.out.Close()
		}
	}
	l.mu.Unlock()
	timer := time.AfterFunc(l.o.CloseWithin, l.cancel)
	l.group.Wait()
	timer.Stop()
	l.cancel()
}

// isClosed reports whether Close was called.
func (l *Linker) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *Linker) offer(peer dispatcher.Peer, o order) {
	if k := l.find(peer.Process); k == nil || !k.out.Offer(o) {
		l.counters.ordersDropped.Inc(1)
	}
}

func (l *Linker) put(ev dispatcher.Event) { l.o.Events.Put(l.asking, ev) }

func (o Options) withDefaults() Options {
	if o.PingAfter == 0 {
		o.PingAfter = DefaultPingAfter
	}
	if o.SilentAfter == 0 {
		o.SilentAfter = DefaultSilentAfter
	}
	if o.IdlePing == 0 {
		o.IdlePing = DefaultIdlePing
	}
	if o.CloseWithin == 0 {
		o.CloseWithin = DefaultCloseWithin
	}
	if o.RingSize == 0 {
		o.RingSize = DefaultRingSize
	}
	if o.MessageBytes == 0 {
		o.MessageBytes = DefaultMessageBytes
	}
	if o.Revision == nil {
		o.Revision = func() uint64 { return 0 }
	}
	if o.Hear == nil {
		o.Hear = func(uint64) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}
