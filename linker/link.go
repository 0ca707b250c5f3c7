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
	errSilent   = errors.New("no frame came in time")
	errReplaced = errors.New("a frame of another process came")
)

// livelyBytes tell a frame that takes long from the small change of the
// connection itself.
const livelyBytes = 4 << 10

type stream = connect.BidiStreamForClient[v1.EntryFrame, v1.AgentFrame]

// link is one stream to one run of an agent. Its writer, reader and watcher
// end together, and the link is never opened again.
type link struct {
	linker   *Linker
	peer     dispatcher.Peer
	client   *dialer.Client
	stream   *stream
	out      *ring.Ring[order]
	ctx      context.Context
	cancel   context.CancelCauseFunc
	progress progress
	// greeted is closed once the agent has proved its incarnation. No start is
	// written before.
	greeted chan struct{}
	// hello is closed once the first frame was handed to the stream.
	hello chan struct{}
	// pingDue asks the writer for a ping.
	pingDue chan struct{}
	// busy wakes the watcher when the first work of an idle link is written.
	busy chan struct{}

	mu sync.Mutex
	// outstanding holds the attempts that were written and not yet ended.
	outstanding map[attempt]struct{}
}

// attempt identifies one send of a task.
type attempt struct {
	task   task.ID
	number task.Attempt
}

func newLink(l *Linker, peer dispatcher.Peer) *link {
	ctx, cancel := context.WithCancelCause(l.ctx)
	client := dialer.New(dialer.Options{})
	service := agatevalvev1connect.NewAgentServiceClient(
		client, "http://"+peer.Address.String(), connect.WithReadMaxBytes(l.o.MessageBytes), dialer.Plain(),
	)
	now := time.Now()
	k := &link{
		linker: l,
		peer:   peer,
		client: client,
		stream: service.Link(ctx),
		out:    ring.New[order](l.o.RingSize),
		ctx:    ctx,
		cancel: cancel,
		progress: progress{
			pingAfter: l.o.PingAfter, silentAfter: l.o.SilentAfter, idlePing: l.o.IdlePing, quietSince: now, probedAt: now,
		},
		greeted:     make(chan struct{}),
		hello:       make(chan struct{}),
		pingDue:     make(chan struct{}, 1),
		busy:        make(chan struct{}, 1),
		outstanding: make(map[attempt]struct{}),
	}
	l.counters.linksOpened.Inc(1)
	l.group.Go(k.write)
	l.group.Go(k.read)
	l.group.Go(k.watch)
	return k
}

func (k *link) offerStart(start task.Start) bool {
	return k.out.Offer(order{kind: startOrder, start: &start})
}

// fail ends the link; the first reason stands.
func (k *link) fail(reason error) {
	k.cancel(reason)
	k.client.Close()
}

// finish reports the end of the link. It runs in the writer's goroutine, so
// that what is left in the ring is proved not to have been sent.
func (k *link) finish() {
	k.fail(context.Canceled)
	k.linker.ended(k)
	k.out.Close()
	orders, _ := k.out.TakeAll(nil)
	for _, o := range orders {
		if o.kind == startOrder {
			k.refuse(o.start)
		}
	}
	if k.linker.isClosed() {
		return
	}
	reason := context.Cause(k.ctx)
	k.linker.counters.linksLost.Inc(1)
	if errors.Is(reason, errSilent) {
		k.linker.counters.linksSilent.Inc(1)
	}
	k.linker.o.Log.Warn("linker: Lost the link to an agent", "agent", k.peer.Process.Name, "address", k.peer.Address, "error", reason)
	k.linker.put(dispatcher.LinkLost{Agent: k.peer.Process})
}

// refuse reports a start that has not left this process and never will.
func (k *link) refuse(start *task.Start) {
	k.linker.counters.unsent.Inc(1)
	k.linker.put(dispatcher.Refused{Agent: k.peer.Process, Report: Unsent(*start)})
}

// watch probes a quiet link and ends a silent one. A writer that is stuck in a
// full connection can't hinder it.
func (k *link) watch() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	received := uint64(0)
	for {
		select {
		case <-k.ctx.Done():
			k.client.Close()
			return
		case <-timer.C:
		case <-k.busy:
		}
		now := time.Now()
		result, next := k.progress.check(now, k.isBusy())
		switch result {
		case wait:
		case probe:
			received = k.client.Received()
			signal(k.pingDue)
		case silent:
			if k.client.Received()-received < livelyBytes {
				k.fail(errSilent)
				return
			}
			// A long frame is on its way.
			k.progress.saw(now)
			next = now
		}
		timer.Reset(next.Sub(now))
	}
}

func (k *link) isBusy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.outstanding) > 0
}

// began notes attempts that are about to be written.
func (k *link) began(starts []*task.Start) {
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
		k.progress.began(time.Now())
		signal(k.busy)
	}
}

// ended notes that nothing more is expected of an attempt.
func (k *link) ended(id task.ID, number task.Attempt) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.outstanding, attempt{id, number})
}

// Unsent is the report on a start that never left this process.
func Unsent(start task.Start) task.Report {
	return task.Report{
		Task:    start.Task,
		Attempt: start.Attempt,
		State:   task.Unstarted,
		Refusal: task.Unsent,
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
