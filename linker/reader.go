package linker

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	v1 "agatevalve/wire/agatevalvev1"
)

// read turns the agent's frames into events until the link ends. A frame that
// can't be read ends the link too: what it carried is settled over a new one.
func (k *link) read() {
	select {
	case <-k.hello:
	case <-k.ctx.Done():
		return
	}
	defer func() { _ = k.stream.CloseResponse() }() // The link has ended; nothing is left to read.
	greeted := false
	for {
		frame, err := k.stream.Receive()
		if err != nil {
			k.countUnreadable(err)
			k.fail(fmt.Errorf("read: %w", err))
			return
		}
		if !k.isFromPeer(frame, greeted) {
			k.linker.counters.framesDropped.Inc(1)
			k.fail(errReplaced)
			return
		}
		k.progress.saw(time.Now())
		if !greeted {
			greeted = true
			load, told := k.loadOf(frame)
			k.linker.opened(k, load, told)
			close(k.greeted)
		}
		k.take(frame)
	}
}

// isFromPeer reports whether a frame comes from the run of the agent that the
// link was opened to. The first frame must say so; later ones may be silent.
func (k *link) isFromPeer(frame *v1.AgentFrame, greeted bool) bool {
	if frame.GetFrom() == nil {
		return greeted
	}
	from, err := encoder.ProcessFromWire(frame.GetFrom())
	return err == nil && from == k.peer.Process
}

// take gives the events of one frame in the order that the agent's work has.
func (k *link) take(frame *v1.AgentFrame) {
	for _, ref := range frame.GetAccepted() {
		id, number, err := encoder.RefFromWire(ref)
		if err != nil {
			k.drop(err)
			continue
		}
		k.linker.put(dispatcher.Accepted{Agent: k.peer.Process, Task: id, Attempt: number})
	}
	for _, message := range frame.GetRefused() {
		if report, ok := k.report(message); ok {
			k.linker.put(dispatcher.Refused{Agent: k.peer.Process, Report: report})
		}
	}
	for _, message := range frame.GetResults() {
		if report, ok := k.report(message); ok {
			k.linker.put(dispatcher.Ended{Agent: k.peer.Process, Report: report})
		}
	}
	k.takeLoad(frame)
}

func (k *link) takeLoad(frame *v1.AgentFrame) {
	load, told := k.loadOf(frame)
	if !told {
		return
	}
	if load.Revision > k.linker.o.Revision() {
		k.linker.o.Hear(load.Revision)
	}
	k.linker.put(dispatcher.LoadReported{Agent: k.peer.Process, Load: load})
}

// loadOf returns the load that a frame tells of, if any.
func (k *link) loadOf(frame *v1.AgentFrame) (dispatcher.Load, bool) {
	if frame.GetLoad() == nil {
		return dispatcher.Load{}, false
	}
	load, err := encoder.LoadFromWire(frame.GetLoad())
	if err != nil {
		k.drop(err)
		return dispatcher.Load{}, false
	}
	return load, true
}

func (k *link) report(message *v1.Report) (task.Report, bool) {
	report, err := encoder.ReportFromWire(message)
	if err != nil {
		k.drop(err)
		return task.Report{}, false
	}
	k.ended(report.Task, report.Attempt)
	return report, true
}

// drop counts a part of a frame that means nothing.
func (k *link) drop(err error) {
	k.linker.counters.framesDropped.Inc(1)
	k.linker.o.Log.Warn("linker: Dropped a part of a frame", "agent", k.peer.Process.Name, "error", err)
}

func (k *link) countUnreadable(err error) {
	var e *connect.Error
	if errors.As(err, &e) && !connect.IsWireError(err) && e.Code() == connect.CodeInvalidArgument {
		k.linker.counters.framesDropped.Inc(1)
	}
}
