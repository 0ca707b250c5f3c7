package attendant

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/fault"
	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/runner"
	v1 "agatevalve/wire/agatevalvev1"
)

const (
	// maxQueuedMessages caps the messages that wait to be written to one entry.
	maxQueuedMessages = 4096
	// maxFrameMessages caps the messages of one frame.
	maxFrameMessages = 256
	// targetFrameBytes is the total size of response bodies from which on a
	// frame takes no further message.
	targetFrameBytes = 1 << 20
	// frameReadTimeout bounds the time between frames from an entry, which
	// sends pings.
	frameReadTimeout = 30 * time.Second
)

// expiredDeadline makes a pending read or write fail immediately.
var expiredDeadline = time.Unix(1, 0)

var (
	errReplaced   = errors.New("the entry has opened another link")
	errSlowReader = errors.New("the entry does not read its frames")
)

type stream = connect.BidiStream[v1.EntryFrame, v1.AgentFrame]

// message is a command to be sent to an entry, or a pong.
type message struct {
	// command is Accept, Refuse, SendReport or SendLoad, or nil for a pong.
	command runner.Command
	load    dispatcher.Load
	pong    uint64
}

// link is the stream of one entry.
type link struct {
	attendant *Attendant
	entry     task.Process
	stream    *stream
	outgoing  *ring.Ring[message]

	mu sync.Mutex
	// controller sets the deadlines of the stream. It is nil once the handler
	// of the stream is about to return.
	controller *http.ResponseController
	// endReason is the first reason to end the link. It is set before the
	// stream's deadlines expire.
	endReason error
}

// Link serves the stream of one entry until it ends.
func (a *Attendant) Link(ctx context.Context, s *stream) error {
	l, err := a.handshake(ctx, s)
	if err != nil {
		return toConnectError(err)
	}
	a.counters.linksOpened.Inc(1)
	if !a.inputs.Put(ctx, loopInput{event: runner.LinkOpened{Entry: l.entry}, link: l}) {
		return toConnectError(errStopped())
	}
	var writer sync.WaitGroup
	writer.Go(l.writeFrames)
	err = l.readFrames(ctx)
	l.shutDown(err)
	a.inputs.Put(context.Background(), loopInput{event: runner.LinkClosed{Entry: l.entry}, link: l})
	writer.Wait()
	l.releaseStream()
	a.options.Logger.Info("attendant: Link ended", "entry", l.entry.Name, "reason", l.endReason)
	return toConnectError(l.endReason)
}

// handshake reads the first frame, which names both processes, and answers it.
func (a *Attendant) handshake(ctx context.Context, s *stream) (*link, error) {
	first, err := s.Receive()
	if err != nil {
		return nil, err
	}
	if err := a.checkRecipient(first.GetTo()); err != nil {
		return nil, err
	}
	entry, err := encoder.ProcessFromWire(first.GetFrom())
	if err != nil {
		return nil, err
	}
	l := &link{
		attendant:  a,
		entry:      entry,
		stream:     s,
		controller: controllerFrom(ctx),
		outgoing:   ring.New[message](maxQueuedMessages),
	}
	greeting := &v1.AgentFrame{
		From: encoder.ProcessToWire(a.self),
		Load: encoder.LoadToWire(a.Load()),
		Pong: first.GetPing(),
	}
	if err := s.Send(greeting); err != nil {
		return nil, err
	}
	return l, nil
}

// enqueue queues a message. It ends the link when the queue is full because the
// entry reads too slowly; the entry then settles the attempts whose messages it
// missed.
func (l *link) enqueue(m message) {
	if !l.outgoing.Offer(m) {
		l.abort(errSlowReader)
	}
}

// abort ends the link without writing the queued messages. Only the first
// reason is kept.
func (l *link) abort(reason error) {
	l.shutDown(reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.controller != nil {
		_ = l.controller.SetWriteDeadline(expiredDeadline) // Fails only on a stream that has ended.
	}
}

// closeAfterFlush ends the link once the queued messages are written.
func (l *link) closeAfterFlush() { l.outgoing.Close() }

// shutDown makes the reader return at once, and the writer once it has written
// the queued messages.
func (l *link) shutDown(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason != nil {
		return
	}
	l.endReason = reason
	l.outgoing.Close()
	if l.controller != nil {
		_ = l.controller.SetReadDeadline(expiredDeadline) // Fails only on a stream that has ended.
	}
}

// extendReadDeadline sets the deadline of the next frame, unless the link is
// ending.
func (l *link) extendReadDeadline() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endReason != nil {
		return l.endReason
	}
	return l.controller.SetReadDeadline(time.Now().Add(frameReadTimeout))
}

// releaseStream drops the controller, which must not be used once the handler
// of the stream has returned.
func (l *link) releaseStream() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controller = nil
}

// readFrames handles frames until the link ends, and returns the reason.
func (l *link) readFrames(ctx context.Context) error {
	for {
		if err := l.extendReadDeadline(); err != nil {
			return err
		}
		frame, err := l.stream.Receive()
		if err != nil {
			return err
		}
		if err := l.handleFrame(ctx, frame); err != nil {
			return err
		}
	}
}

// handleFrame passes the events of one frame to the core loop.
func (l *link) handleFrame(ctx context.Context, frame *v1.EntryFrame) error {
	if frame.GetTo() != nil {
		if err := l.attendant.checkRecipient(frame.GetTo()); err != nil {
			return err
		}
	}
	events, err := decodeEvents(l.entry, frame)
	if err != nil {
		l.attendant.counters.framesRefused.Inc(1)
		return err
	}
	l.attendant.observeRevision(frame.GetRevision())
	for _, e := range events {
		if !l.attendant.inputs.Put(ctx, loopInput{event: e}) {
			return errStopped()
		}
	}
	if frame.GetPing() != 0 && !l.attendant.inputs.Put(ctx, loopInput{link: l, ping: frame.GetPing()}) {
		return errStopped()
	}
	return nil
}

// decodeEvents returns the events of a frame. Cancels follow the starts,
// because they may refer to one of them.
func decodeEvents(entry task.Process, frame *v1.EntryFrame) ([]runner.Event, error) {
	var events []runner.Event
	for _, m := range frame.GetStarts() {
		event, err := decodeStart(entry, m)
		if err != nil {
			return nil, err
		}
		events = append(events, event)
	}
	for _, m := range frame.GetCancels() {
		id, number, err := encoder.RefFromWire(m)
		if err != nil {
			return nil, err
		}
		events = append(events, runner.Cancelled{Task: id, Attempt: number})
	}
	for _, m := range frame.GetAcks() {
		id, number, err := encoder.RefFromWire(m)
		if err != nil {
			return nil, err
		}
		events = append(events, runner.Acknowledged{Task: id, Attempt: number})
	}
	return events, nil
}

// decodeStart returns the event of a start. A malformed start that still
// identifies its attempt is refused individually, so that it doesn't end the
// link for other tasks.
func decodeStart(entry task.Process, m *v1.Start) (runner.Event, error) {
	start, err := encoder.StartFromWire(m)
	if err == nil {
		return runner.StartReceived{From: entry, Start: start}, nil
	}
	id, number, refErr := encoder.RefFromWire(&v1.TaskRef{Job: m.GetJob(), Index: m.GetIndex(), Attempt: m.GetAttempt()})
	if refErr != nil {
		return nil, err
	}
	return runner.StartUnreadable{From: entry, Task: id, Attempt: number}, nil
}

// writeFrames sends the queued messages in as few frames as possible, until the
// link ends.
func (l *link) writeFrames() {
	var batch []message
	for open := true; open; {
		<-l.outgoing.Ready()
		batch, open = l.outgoing.TakeUpTo(batch[:0], maxFrameMessages)
		for len(batch) > 0 {
			frame, rest := buildFrame(batch)
			if err := l.stream.Send(frame); err != nil {
				l.abort(err)
				return
			}
			batch = rest
		}
	}
	l.shutDown(errStopped())
}

// buildFrame builds one frame of limited size and returns the remaining
// messages.
func buildFrame(messages []message) (*v1.AgentFrame, []message) {
	frame := &v1.AgentFrame{}
	size := 0
	for i, m := range messages {
		if size >= targetFrameBytes {
			return frame, messages[i:]
		}
		frame.Load = encoder.LoadToWire(m.load)
		frame.Pong = max(frame.Pong, m.pong)
		switch c := m.command.(type) {
		case runner.Accept:
			frame.Accepted = append(frame.Accepted, encoder.RefToWire(c.Task, c.Attempt))
		case runner.Refuse:
			frame.Refused = append(frame.Refused, encoder.ReportToWire(c.Report))
		case runner.SendReport:
			frame.Results = append(frame.Results, encoder.ReportToWire(c.Report))
			size += len(c.Report.Response.Body)
		}
	}
	return frame, nil
}

// errStopped is the error of calls to an agent that has stopped.
func errStopped() error {
	return fault.New(fault.Unavailable, "use another agent", "the agent has stopped")
}
