package linker

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dialer"
	"agatevalve/dispatcher"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

var (
	errTimedOut     = errors.New("no frame arrived in time after a ping")
	errWrongProcess = errors.New("received a frame from another process")
)

// minProgressBytes is the least number of bytes received since a ping that
// counts as the transfer of a large frame. Control frames of HTTP/2 stay below
// it.
const minProgressBytes = 4 << 10

// stream is the client's side of the bidirectional call Link.
type stream = connect.BidiStreamForClient[v1.EntryFrame, v1.AgentFrame]

// link is one stream to one incarnation of an agent. Its goroutines writeLoop,
// readLoop and probeLoop end together, and a link that has ended is never
// reopened.
type link struct {
	linker *Linker
	peer   dispatcher.Peer
	client *dialer.Client
	stream *stream
	// orders is the queue of orders to be written.
	orders   *ring.Ring[order]
	ctx      context.Context
	cancel   context.CancelCauseFunc
	liveness liveness
	// verified is closed once the agent has proved its incarnation. No start is
	// written before that.
	verified chan struct{}
	// handshakeSent is closed once the first frame was handed to the stream.
	handshakeSent chan struct{}
	// pingDue holds a token when the write loop must send a ping.
	pingDue chan struct{}
	// workStarted wakes the probe loop when an idle link gets its first
	// outstanding attempt, because the next ping is then due earlier.
	workStarted chan struct{}

	mu sync.Mutex
	// outstanding holds the attempts whose start was passed to the stream and
	// that were neither reported as refused or ended nor cancelled since.
	outstanding map[attempt]struct{}
}

// attempt identifies one attempt of a task.
type attempt struct {
	task   task.ID
	number task.Attempt
}

// newLink starts to open a link to an agent.
func newLink(l *Linker, peer dispatcher.Peer) *link {
	ctx, cancel := context.WithCancelCause(l.ctx)
	client := dialer.New(dialer.Options{})
	service := agatevalvev1connect.NewAgentServiceClient(
		client, "http://"+peer.Address.String(), connect.WithReadMaxBytes(l.o.MaxMessageBytes), dialer.WithoutCompression(),
	)
	now := time.Now()
	k := &link{
		linker: l,
		peer:   peer,
		client: client,
		stream: service.Link(ctx),
		orders: ring.New[order](l.o.QueueSize),
		ctx:    ctx,
		cancel: cancel,
		liveness: liveness{
			pingAfter: l.o.PingAfter, probeTimeout: l.o.ProbeTimeout, idlePingAfter: l.o.IdlePingAfter, lastActivity: now, probedAt: now,
		},
		verified:      make(chan struct{}),
		handshakeSent: make(chan struct{}),
		pingDue:       make(chan struct{}, 1),
		workStarted:   make(chan struct{}, 1),
		outstanding:   make(map[attempt]struct{}),
	}
	l.counters.linksOpened.Inc(1)
	l.group.Go(k.writeLoop)
	l.group.Go(k.readLoop)
	l.group.Go(k.probeLoop)
	return k
}

// offerStart queues a start. It reports false if the queue is full or closed.
func (k *link) offerStart(start task.Start) bool {
	return k.orders.Offer(order{kind: startOrder, start: &start})
}

// fail ends the link. The reason of the first call is kept.
func (k *link) fail(reason error) {
	k.cancel(reason)
	k.client.Close()
}

// finish reports the end of the link. It runs in the goroutine of the write
// loop, so that the starts left in the queue are known not to have been sent.
func (k *link) finish() {
	k.fail(context.Canceled)
	k.linker.linkEnded(k)
	k.orders.Close()
	orders, _ := k.orders.TakeAll(nil)
	for _, o := range orders {
		if o.kind == startOrder {
			k.reportUnsent(o.start)
		}
	}
	if k.linker.isClosed() {
		return
	}
	cause := context.Cause(k.ctx)
	k.linker.counters.linksLost.Inc(1)
	if errors.Is(cause, errTimedOut) {
		k.linker.counters.linksSilent.Inc(1)
	}
	k.linker.o.Log.Warn("linker: Lost the link to an agent", "agent", k.peer.Process.Name, "address", k.peer.Address, "error", cause)
	k.linker.publish(dispatcher.LinkLost{Agent: k.peer.Process})
}

// reportUnsent reports a start that hasn't left this process and never will.
func (k *link) reportUnsent(start *task.Start) {
	k.linker.counters.startsUnsent.Inc(1)
	k.linker.publish(dispatcher.Refused{Agent: k.peer.Process, Report: NewUnsentStartReport(*start)})
}

// probeLoop pings a link without recent frames and fails it if none arrives in
// time. It has its own goroutine, so that it also works while the write loop is
// blocked by a full connection.
func (k *link) probeLoop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	receivedAtProbe := uint64(0)
	for {
		select {
		case <-k.ctx.Done():
			k.client.Close()
			return
		case <-timer.C:
		case <-k.workStarted:
		}
		now := time.Now()
		action, next := k.liveness.check(now, k.hasOutstanding())
		switch action {
		case noAction:
		case sendPing:
			receivedAtProbe = k.client.Received()
			signal(k.pingDue)
		case failLink:
			if k.client.Received()-receivedAtProbe < minProgressBytes {
				k.fail(errTimedOut)
				return
			}
			// A large frame is still being received.
			k.liveness.frameReceived(now)
			next = now
		}
		timer.Reset(next.Sub(now))
	}
}

// hasOutstanding reports whether attempts are outstanding.
func (k *link) hasOutstanding() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.outstanding) > 0
}

// trackStarts adds attempts whose starts are about to be written.
func (k *link) trackStarts(starts []*task.Start) {
	if len(starts) == 0 {
		return
	}
	k.mu.Lock()
	idle := len(k.outstanding) == 0
	for _, s := range starts {
		k.outstanding[attempt{s.Task, s.Attempt}] = struct{}{}
	}
	k.mu.Unlock()
	if idle {
		k.liveness.workStarted(time.Now())
		signal(k.workStarted)
	}
}

// untrack removes an attempt from which no further report is expected.
func (k *link) untrack(id task.ID, number task.Attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.outstanding, attempt{id, number})
}

// NewUnsentStartReport returns the report on a start that never left this
// process.
func NewUnsentStartReport(start task.Start) task.Report {
	return task.Report{
		Task:    start.Task,
		Attempt: start.Attempt,
		State:   task.Unstarted,
		Refusal: task.Unsent,
	}
}

// signal puts a token into a channel of capacity 1, unless it holds one
// already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
