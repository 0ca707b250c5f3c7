package linker

import (
	"fmt"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	v1 "agatevalve/wire/agatevalvev1"
)

const (
	// frameOrders caps the orders of one frame.
	frameOrders = 256
	// frameBytes is the size of request bodies after which a frame is full.
	frameBytes = 1 << 20
	// helloPing numbers the ping of the first frame.
	helloPing = 1
)

type orderKind uint8

const (
	startOrder orderKind = iota + 1
	cancelOrder
	ackOrder
)

// order is one item that waits to be written to a link.
type order struct {
	kind orderKind
	// start is set for startOrder.
	start *task.Start
	// sent is set for cancelOrder and ackOrder.
	sent dispatcher.AttemptRef
}

// write greets the agent and then writes all waiting orders in as few frames
// as possible.
func (k *link) write() {
	defer k.finish()
	if !k.greet() {
		return
	}
	pings := uint64(helloPing)
	var orders []order
	for {
		ping := false
		select {
		case <-k.ctx.Done():
			return
		case <-k.pingDue:
			ping = true
		case <-k.out.Ready():
		}
		var open bool
		if orders, open = k.out.TakeUpTo(orders[:0], frameOrders); !open {
			k.leave()
			return
		}
		frames := k.frames(orders)
		if ping {
			pings++
			frames = withPing(frames, pings)
			k.linker.counters.pingsSent.Inc(1)
		}
		clear(orders)
		if !k.send(frames) {
			return
		}
	}
}

// leave ends the stream in good order, so that the agent reads all of it.
func (k *link) leave() {
	if k.stream.CloseRequest() == nil {
		<-k.ctx.Done()
	}
}

// greet sends the first frame and waits until the agent has proved its
// incarnation, so that a link which never opens leaves no start in doubt.
func (k *link) greet() bool {
	first := &v1.EntryFrame{
		From:     encoder.ProcessToWire(k.linker.o.Self),
		To:       encoder.ProcessToWire(k.peer.Process),
		Ping:     helloPing,
		Revision: k.linker.o.Revision(),
	}
	if err := k.stream.Send(first); err != nil {
		k.fail(fmt.Errorf("open: %w", err))
		return false
	}
	close(k.hello)
	select {
	case <-k.greeted:
		return true
	case <-k.ctx.Done():
		return false
	}
}

func (k *link) send(frames []*v1.EntryFrame) bool {
	for _, f := range frames {
		f.Revision = k.linker.o.Revision()
		if err := k.stream.Send(f); err != nil {
			k.fail(fmt.Errorf("write: %w", err))
			return false
		}
		k.linker.counters.framesSent.Inc(1)
		k.linker.counters.startsSent.Inc(int64(len(f.GetStarts())))
	}
	return true
}

// frames maps orders to frames of bounded size. A start that was cancelled or
// whose deadline passed before it was written is refused and not sent.
func (k *link) frames(orders []order) []*v1.EntryFrame {
	withdrawn := cancelled(orders)
	now := time.Now()
	var frames []*v1.EntryFrame
	var started []*task.Start
	frame, size := &v1.EntryFrame{}, 0
	for _, o := range orders {
		switch o.kind {
		case startOrder:
			if withdrawn[attempt{o.start.Task, o.start.Attempt}] || !o.start.Deadline.After(now) {
				k.refuse(o.start)
				continue
			}
			started = append(started, o.start)
			frame.Starts = append(frame.Starts, encoder.StartToWire(*o.start))
			size += len(o.start.Request.Body)
		case cancelOrder:
			k.ended(o.sent.Task, o.sent.Attempt)
			if !withdrawn[attempt{o.sent.Task, o.sent.Attempt}] {
				frame.Cancels = append(frame.Cancels, encoder.RefToWire(o.sent.Task, o.sent.Attempt))
			}
		case ackOrder:
			frame.Acks = append(frame.Acks, encoder.RefToWire(o.sent.Task, o.sent.Attempt))
		}
		if size >= frameBytes {
			frames = append(frames, frame)
			frame, size = &v1.EntryFrame{}, 0
		}
	}
	k.began(started)
	if len(frame.GetStarts())+len(frame.GetCancels())+len(frame.GetAcks()) > 0 {
		frames = append(frames, frame)
	}
	return frames
}

// cancelled returns the attempts whose start and cancel both wait.
func cancelled(orders []order) map[attempt]bool {
	var cancels map[attempt]bool
	for _, o := range orders {
		if o.kind != cancelOrder {
			continue
		}
		if cancels == nil {
			cancels = make(map[attempt]bool)
		}
		cancels[attempt{o.sent.Task, o.sent.Attempt}] = false
	}
	if cancels == nil {
		return nil
	}
	for _, o := range orders {
		if o.kind != startOrder {
			continue
		}
		key := attempt{o.start.Task, o.start.Attempt}
		if _, ok := cancels[key]; ok {
			cancels[key] = true
		}
	}
	return cancels
}

func withPing(frames []*v1.EntryFrame, number uint64) []*v1.EntryFrame {
	if len(frames) == 0 {
		return []*v1.EntryFrame{{Ping: number}}
	}
	frames[len(frames)-1].Ping = number
	return frames
}
