// Package linker keeps the entry's links to agents. A link is one bidirectional
// stream over its own connection. The start of a task is written to a link at
// most once. When a link breaks or times out, the dispatcher's core asks the
// agent over a new connection what became of the starts that were sent, instead
// of sending them again.
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
	// DefaultPingAfter is the time without a frame after which a link with
	// outstanding attempts is pinged.
	DefaultPingAfter = 250 * time.Millisecond
	// DefaultProbeTimeout bounds the wait for any frame after a ping.
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultIdlePingAfter is the time without a frame after which a link
	// without outstanding attempts is pinged.
	DefaultIdlePingAfter = 10 * time.Second
	// DefaultQueueSize limits the orders queued for one link.
	DefaultQueueSize = 4096
	// DefaultMaxMessageBytes limits the size of one message from an agent.
	DefaultMaxMessageBytes = 48 << 20
	// minReopenPause and maxReopenPause bound the mean backoff between two
	// links to one agent. It doubles with each link that fails before it is
	// verified.
	minReopenPause = 100 * time.Millisecond
	maxReopenPause = 2 * time.Second
	// maxDoublings limits the doubling, so that the backoff doesn't overflow.
	maxDoublings = 8
	// DefaultCloseTimeout bounds the time that Close spends on writing queued
	// orders.
	DefaultCloseTimeout = time.Second
)

// Events is the queue of events to the dispatcher's core.
type Events interface {
	// Put waits for space. It reports false if ctx ends first.
	Put(ctx context.Context, ev dispatcher.Event) bool
}

// Options are the dependencies and limits of a Linker. Zero durations and sizes
// stand for the defaults.
type Options struct {
	// Self identifies this entry.
	Self   task.Process
	Events Events
	// Revision returns the configuration revision in force at this entry.
	Revision func() uint64
	// OnNewerRevision is called when an agent reports a newer configuration
	// revision.
	OnNewerRevision func(revision uint64)
	Log             *slog.Logger
	Metrics         metrics.Registry

	// Each of these has a default of the same name.
	PingAfter       time.Duration
	ProbeTimeout    time.Duration
	IdlePingAfter   time.Duration
	CloseTimeout    time.Duration
	QueueSize       int
	MaxMessageBytes int
}

// Linker keeps one link to each agent in use. It is safe for concurrent use.
type Linker struct {
	o        Options
	counters counters
	// ctx is the parent context of the links.
	ctx    context.Context
	cancel context.CancelFunc
	// inquiryCtx ends when Close begins. It ends the Settle and Fence calls,
	// and publish no longer waits for space, while links still write their
	// queues.
	inquiryCtx      context.Context
	cancelInquiries context.CancelFunc
	// group counts the goroutines of links and inquiries.
	group sync.WaitGroup
	// inquiries is a semaphore for the Settle and Fence calls in flight.
	inquiries chan struct{}

	mu sync.Mutex
	// agents holds the incarnations that announced themselves or were sent a
	// start.
	agents map[task.Process]*agent
	// lastSweep is the time of the last removal of stale records.
	lastSweep time.Time
	closed    bool
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
	l.inquiryCtx, l.cancelInquiries = context.WithCancel(l.ctx)
	return l
}

// HandleAnnouncement stores an agent's announcement and opens a link to the
// agent. The announcement is published to the core only while the link is
// verified, so that no task waits for an agent that this entry can't reach. It
// reports false if ctx ends before the core's queue has space.
func (l *Linker) HandleAnnouncement(ctx context.Context, announcement dispatcher.Announcement) bool {
	if !l.storeAnnouncement(announcement) {
		return true // linkVerified will publish the announcement.
	}
	return l.publishAnnouncement(ctx, announcement)
}

// Send queues a start for the agent's link without blocking. If it reports
// false, the start hasn't left this process and never will.
func (l *Linker) Send(peer dispatcher.Peer, start task.Start) bool {
	k := l.openLink(peer)
	if k == nil || !k.offerStart(start) {
		l.counters.startsUnsent.Inc(1)
		return false
	}
	return true
}

// Cancel asks the agent to stop an attempt. Without a link the request is
// dropped, because the agent stops the attempt at its deadline anyway.
func (l *Linker) Cancel(peer dispatcher.Peer, ref dispatcher.AttemptRef) {
	l.enqueue(peer, order{kind: cancelOrder, ref: ref})
}

// Acknowledge tells the agent that it may discard a result. Without a link the
// acknowledgement is dropped, because the agent discards the result after some
// time anyway.
func (l *Linker) Acknowledge(peer dispatcher.Peer, ref dispatcher.AttemptRef) {
	l.enqueue(peer, order{kind: ackOrder, ref: ref})
}

// Close cancels the Settle and Fence calls, writes the queued orders and ends
// the links. No event is published after it returns.
func (l *Linker) Close() {
	l.cancelInquiries()
	l.mu.Lock()
	l.closed = true
	for _, a := range l.agents {
		if a.link != nil {
			a.link.orders.Close()
		}
	}
	l.mu.Unlock()
	timer := time.AfterFunc(l.o.CloseTimeout, l.cancel)
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

// enqueue queues an order if the agent has a link, and counts it as dropped
// otherwise.
func (l *Linker) enqueue(peer dispatcher.Peer, o order) {
	if k := l.linkTo(peer.Process); k == nil || !k.orders.Offer(o) {
		l.counters.ordersDropped.Inc(1)
	}
}

// publish sends an event to the core. It waits for space, but not after Close
// was called.
func (l *Linker) publish(ev dispatcher.Event) { l.o.Events.Put(l.inquiryCtx, ev) }

func (o Options) withDefaults() Options {
	if o.PingAfter == 0 {
		o.PingAfter = DefaultPingAfter
	}
	if o.ProbeTimeout == 0 {
		o.ProbeTimeout = DefaultProbeTimeout
	}
	if o.IdlePingAfter == 0 {
		o.IdlePingAfter = DefaultIdlePingAfter
	}
	if o.CloseTimeout == 0 {
		o.CloseTimeout = DefaultCloseTimeout
	}
	if o.QueueSize == 0 {
		o.QueueSize = DefaultQueueSize
	}
	if o.MaxMessageBytes == 0 {
		o.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if o.Revision == nil {
		o.Revision = func() uint64 { return 0 }
	}
	if o.OnNewerRevision == nil {
		o.OnNewerRevision = func(uint64) {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}
