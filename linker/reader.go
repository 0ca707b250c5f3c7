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

// readLoop publishes the agent's frames as events until the link ends. A frame
// that can't be decoded ends the link too; the core then asks for the reports
// that it held over a new connection.
func (k *link) readLoop() {
	select {
	case <-k.handshakeSent:
	case <-k.ctx.Done():
		return
	}
	defer func() { _ = k.stream.CloseResponse() }() // The link has ended; nothing is left to read.
	verified := false
	for {
		frame, err := k.stream.Receive()
		if err != nil {
			k.countUnreadable(err)
			k.fail(fmt.Errorf("read: %w", err))
			return
		}
		if !k.isFromPeer(frame, verified) {
			k.linker.counters.framesDropped.Inc(1)
			k.fail(errWrongProcess)
			return
		}
		k.liveness.frameReceived(time.Now())
		if !verified {
			verified = true
			load, hasLoad := k.parseLoad(frame)
			k.linker.linkVerified(k, load, hasLoad)
			close(k.verified)
		}
		k.handleFrame(frame)
	}
}

// isFromPeer reports whether a frame comes from the incarnation that the link
// was opened to. The first frame must name its sender; later ones may omit it.
func (k *link) isFromPeer(frame *v1.AgentFrame, verified bool) bool {
	if frame.GetFrom() == nil {
		return verified
	}
	from, err := encoder.ProcessFromWire(frame.GetFrom())
	return err == nil && from == k.peer.Process
}

// handleFrame publishes the events of one frame, in the order in which they
// happen to a task: accepted or refused, ended. The load comes last.
func (k *link) handleFrame(frame *v1.AgentFrame) {
	for _, ref := range frame.GetAccepted() {
		id, number, err := encoder.RefFromWire(ref)
		if err != nil {
			k.countDropped(err)
			continue
		}
		k.linker.publish(dispatcher.Accepted{Agent: k.peer.Process, Task: id, Attempt: number})
	}
	for _, message := range frame.GetRefused() {
		if report, ok := k.parseReport(message); ok {
			k.linker.publish(dispatcher.Refused{Agent: k.peer.Process, Report: report})
		}
	}
	for _, message := range frame.GetResults() {
		if report, ok := k.parseReport(message); ok {
			k.linker.publish(dispatcher.Ended{Agent: k.peer.Process, Report: report})
		}
	}
	k.handleLoad(frame)
}

// handleLoad publishes the load in a frame, if any.
func (k *link) handleLoad(frame *v1.AgentFrame) {
	load, hasLoad := k.parseLoad(frame)
	if !hasLoad {
		return
	}
	if load.Revision > k.linker.o.Revision() {
		k.linker.o.OnNewerRevision(load.Revision)
	}
	k.linker.publish(dispatcher.LoadReported{Agent: k.peer.Process, Load: load})
}

// parseLoad returns the load in a frame. It reports false if there is none or
// it is malformed.
func (k *link) parseLoad(frame *v1.AgentFrame) (dispatcher.Load, bool) {
	if frame.GetLoad() == nil {
		return dispatcher.Load{}, false
	}
	load, err := encoder.LoadFromWire(frame.GetLoad())
	if err != nil {
		k.countDropped(err)
		return dispatcher.Load{}, false
	}
	return load, true
}

// parseReport returns a report and stops tracking its attempt. It reports false
// if the report is malformed.
func (k *link) parseReport(message *v1.Report) (task.Report, bool) {
	report, err := encoder.ReportFromWire(message)
	if err != nil {
		k.countDropped(err)
		return task.Report{}, false
	}
	k.untrack(report.Task, report.Attempt)
	return report, true
}

// countDropped counts and logs a malformed part of a frame.
func (k *link) countDropped(err error) {
	k.linker.counters.framesDropped.Inc(1)
	k.linker.o.Log.Warn("linker: Dropped a malformed part of a frame", "agent", k.peer.Process.Name, "error", err)
}

// countUnreadable counts a frame that couldn't be decoded. Other read errors,
// as of a broken connection, aren't counted.
func (k *link) countUnreadable(err error) {
	var e *connect.Error
	if errors.As(err, &e) && !connect.IsWireError(err) && e.Code() == connect.CodeInvalidArgument {
		k.linker.counters.framesDropped.Inc(1)
	}
}
