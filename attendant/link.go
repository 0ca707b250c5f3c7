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
	// linkNotes caps the notes that wait to be written to one entry.
	linkNotes = 4096
	// frameNotes caps the notes of one frame.
	frameNotes = 256
	// frameBytes is the size of response bodies after which a frame is full.
	frameBytes = 1 << 20
	// linkSilence is how long an entry, which pings, may bring no frame.
	linkSilence = 30 * time.Second
)

// past is a deadline that ends a read or write at once.
var past = time.Unix(1, 0)

var (
	errReplaced = errors.New("the entry has opened another link")
	errSlow     = errors.New("the entry does not read its frames")
)

type stream = connect.BidiStream[v1.EntryFrame, v1.AgentFrame]

// note is one thing to tell an entry.
type note struct {
	// command is Accept, Refuse, Send or Tell, or nil for a pong.
	command runner.Command
	load    dispatcher.Load
	pong    uint64
}

// link is one stream from an entry.
type link struct {
	attendant *Attendant
	entry     task.Process
	stream    *stream
	notes     *ring.Ring[note]

	mu sync.Mutex
	// control sets the deadlines of the stream; nil once its handler returns.
	control *http.ResponseController
	// reason is set once, before the stream's deadlines end it.
	reason error
}

// Link serves the stream of one entry.
func (a *Attendant) Link(ctx context.Context, s *stream) error {
	l, err := a.greet(ctx, s)
	if err != nil {
		return asConnect(err)
	}
	a.counters.linksOpened.Inc(1)
	if !a.inputs.Put(ctx, input{event: runner.LinkOpened{Entry: l.entry}, link: l}) {
		return asConnect(errStopped())
	}
	var writer sync.WaitGroup
	writer.Go(l.write)
	err = l.read(ctx)
	l.end(err)
	a.inputs.Put(context.Background(), input{event: runner.LinkClosed{Entry: l.entry}, link: l})
	writer.Wait()
	l.leave()
	a.o.Logger.Info("attendant: Link ended", "entry", l.entry.Name, "reason", l.reason)
	return asConnect(l.reason)
}

// greet reads the first frame, which names both ends.
func (a *Attendant) greet(ctx context.Context, s *stream) (*link, error) {
	first, err := s.Receive()
	if err != nil {
		return nil, err
	}
	if err := a.checkTarget(first.GetTo()); err != nil {
		return nil, err
	}
	entry, err := encoder.ProcessFromWire(first.GetFrom())
	if err != nil {
		return nil, err
	}
	l := &link{
		attendant: a,
		entry:     entry,
		stream:    s,
		control:   controllerOf(ctx),
		notes:     ring.New[note](linkNotes),
	}
	hello := &v1.AgentFrame{
		From: encoder.ProcessToWire(a.self),
		Load: encoder.LoadToWire(a.Load()),
		Pong: first.GetPing(),
	}
	if err := s.Send(hello); err != nil {
		return nil, err
	}
	return l, nil
}

// offer queues a note, and ends the link when the entry reads too slowly. What
// it then misses it settles.
func (l *link) offer(n note) {
	if !l.notes.Offer(n) {
		l.fail(errSlow)
	}
}

// fail ends the link at once. The first reason stands.
func (l *link) fail(reason error) {
	l.end(reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.control != nil {
		_ = l.control.SetWriteDeadline(past) // A stream that has ended needs none.
	}
}

// finish lets the writer write what waits, and end the link.
func (l *link) finish() { l.notes.Close() }

// end makes the reader return, and the writer once nothing waits.
func (l *link) end(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason != nil {
		return
	}
	l.reason = reason
	l.notes.Close()
	if l.control != nil {
		_ = l.control.SetReadDeadline(past) // A stream that has ended needs none.
	}
}

// extend gives the entry time for its next frame, unless the link ends.
func (l *link) extend() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reason != nil {
		return l.reason
	}
	return l.control.SetReadDeadline(time.Now().Add(linkSilence))
}

// leave gives up the stream, which must not be touched once its handler has
// returned.
func (l *link) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.control = nil
}

func (l *link) read(ctx context.Context) error {
	for {
		if err := l.extend(); err != nil {
			return err
		}
		frame, err := l.stream.Receive()
		if err != nil {
			return err
		}
		if err := l.take(ctx, frame); err != nil {
			return err
		}
	}
}

// take gives the events of one frame to the core. A cancel comes after the
// starts, because it may name one of them.
func (l *link) take(ctx context.Context, frame *v1.EntryFrame) error {
	if frame.GetTo() != nil {
		if err := l.attendant.checkTarget(frame.GetTo()); err != nil {
			return err
		}
	}
	events, err := eventsOf(l.entry, frame)
	if err != nil {
		l.attendant.counters.framesRefused.Inc(1)
		return err
	}
	l.attendant.hear(frame.GetRevision())
	for _, e := range events {
		if !l.attendant.inputs.Put(ctx, input{event: e}) {
			return errStopped()
		}
	}
	if frame.GetPing() != 0 && !l.attendant.inputs.Put(ctx, input{link: l, ping: frame.GetPing()}) {
		return errStopped()
	}
	return nil
}

func eventsOf(entry task.Process, frame *v1.EntryFrame) ([]runner.Event, error) {
	var events []runner.Event
	for _, m := range frame.GetStarts() {
		event, err := startOf(entry, m)
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

// startOf returns the event of a start. One that names its attempt and can't be
// read otherwise is refused alone, so that it doesn't end the link for others.
func startOf(entry task.Process, m *v1.Start) (runner.Event, error) {
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

// write sends all waiting notes in as few frames as possible, until the link
// ends.
func (l *link) write() {
	var batch []note
	for open := true; open; {
		<-l.notes.Ready()
		batch, open = l.notes.TakeUpTo(batch[:0], frameNotes)
		for len(batch) > 0 {
			frame, rest := frameOf(batch)
			if err := l.stream.Send(frame); err != nil {
				l.fail(err)
				return
			}
			batch = rest
		}
	}
	l.end(errStopped())
}

// frameOf builds one frame of bounded size and returns the notes that are left.
func frameOf(notes []note) (*v1.AgentFrame, []note) {
	frame := &v1.AgentFrame{}
	size := 0
	for i, n := range notes {
		if size >= frameBytes {
			return frame, notes[i:]
		}
		frame.Load = encoder.LoadToWire(n.load)
		frame.Pong = max(frame.Pong, n.pong)
		switch c := n.command.(type) {
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

func errStopped() error {
	return fault.New(fault.Unavailable, "use another agent", "the agent has stopped")
}
