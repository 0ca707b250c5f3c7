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
	// maxFrameOrders limits the orders written in one frame.
	maxFrameOrders = 256
	// fullFrameBytes is the total size of request bodies at which a frame is
	// closed and another one begun.
	fullFrameBytes = 1 << 20
	// firstPing is the sequence number of the ping in the first frame.
	firstPing = 1
)

// orderKind tells what an order asks of the agent.
type orderKind uint8

const (
	startOrder orderKind = iota + 1
	cancelOrder
	ackOrder
)

// order is an instruction to the agent that is queued for a link.
type order struct {
	kind orderKind
	// start is set for startOrder.
	start *task.Start
	// ref is set for cancelOrder and ackOrder.
	ref dispatcher.AttemptRef
}

// writeLoop does the handshake and then writes the queued orders in as few
// frames as possible.
func (k *link) writeLoop() {
	defer k.finish()
	if !k.handshake() {
		return
	}
	pings := uint64(firstPing)
	var orders []order
	for {
		ping := false
		select {
		case <-k.ctx.Done():
			return
		case <-k.pingDue:
			ping = true
		case <-k.orders.Ready():
		}
		var open bool
		if orders, open = k.orders.TakeUpTo(orders[:0], maxFrameOrders); !open {
			k.closeGracefully()
			return
		}
		frames := k.buildFrames(orders)
		if ping {
			pings++
			frames = addPing(frames, pings)
			k.linker.counters.pingsSent.Inc(1)
		}
		clear(orders)
		if !k.sendFrames(frames) {
			return
		}
	}
}

// closeGracefully closes the sending side of the stream and waits for the link
// to end, so that the agent reads all that was sent.
func (k *link) closeGracefully() {
	if k.stream.CloseRequest() == nil {
		<-k.ctx.Done()
	}
}

// handshake sends the first frame and waits until the agent has proved its
// incarnation. No start is sent before that, so that for a link which fails to
// open all starts are known to be unsent.
func (k *link) handshake() bool {
	first := &v1.EntryFrame{
		From:     encoder.ProcessToWire(k.linker.o.Self),
		To:       encoder.ProcessToWire(k.peer.Process),
		Ping:     firstPing,
		Revision: k.linker.o.Revision(),
	}
	if err := k.stream.Send(first); err != nil {
		k.fail(fmt.Errorf("open: %w", err))
		return false
	}
	close(k.handshakeSent)
	select {
	case <-k.verified:
		return true
	case <-k.ctx.Done():
		return false
	}
}

// sendFrames writes frames to the stream. It fails the link and reports false
// on an error.
func (k *link) sendFrames(frames []*v1.EntryFrame) bool {
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

// buildFrames packs orders into frames of bounded size. A start that was
// cancelled or whose deadline has passed is reported as unsent instead.
func (k *link) buildFrames(orders []order) []*v1.EntryFrame {
	cancelledUnsent := cancelledBeforeSend(orders)
	now := time.Now()
	var frames []*v1.EntryFrame
	var starts []*task.Start
	frame, size := &v1.EntryFrame{}, 0
	for _, o := range orders {
		switch o.kind {
		case startOrder:
			if cancelledUnsent[attempt{o.start.Task, o.start.Attempt}] || !o.start.Deadline.After(now) {
				k.reportUnsent(o.start)
				continue
			}
			starts = append(starts, o.start)
			frame.Starts = append(frame.Starts, encoder.StartToWire(*o.start))
			size += len(o.start.Request.Body)
		case cancelOrder:
			k.untrack(o.ref.Task, o.ref.Attempt)
			if !cancelledUnsent[attempt{o.ref.Task, o.ref.Attempt}] {
				frame.Cancels = append(frame.Cancels, encoder.RefToWire(o.ref.Task, o.ref.Attempt))
			}
		case ackOrder:
			frame.Acks = append(frame.Acks, encoder.RefToWire(o.ref.Task, o.ref.Attempt))
		}
		if size >= fullFrameBytes {
			frames = append(frames, frame)
			frame, size = &v1.EntryFrame{}, 0
		}
	}
	k.trackStarts(starts)
	if len(frame.GetStarts())+len(frame.GetCancels())+len(frame.GetAcks()) > 0 {
		frames = append(frames, frame)
	}
	return frames
}

// cancelledBeforeSend returns the attempts with a cancel among the orders. The
// value is true for those whose start is among them too.
func cancelledBeforeSend(orders []order) map[attempt]bool {
	var cancels map[attempt]bool
	for _, o := range orders {
		if o.kind != cancelOrder {
			continue
		}
		if cancels == nil {
			cancels = make(map[attempt]bool)
		}
		cancels[attempt{o.ref.Task, o.ref.Attempt}] = false
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

// addPing adds a ping to the last frame, or to a new one if there is none.
func addPing(frames []*v1.EntryFrame, number uint64) []*v1.EntryFrame {
	if len(frames) == 0 {
		return []*v1.EntryFrame{{Ping: number}}
	}
	frames[len(frames)-1].Ping = number
	return frames
}
