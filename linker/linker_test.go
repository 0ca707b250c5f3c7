package linker_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/linker"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// testTimeout bounds the wait for an event that must happen. It isn't a
// requirement on speed.
const testTimeout = 20 * time.Second

var (
	self  = task.Process{Name: "entry-1", Incarnation: 7}
	agent = task.Process{Name: "agent-1", Incarnation: 9}
)

// fakeAgent answers every start and records what it received.
type fakeAgent struct {
	agatevalvev1connect.UnimplementedAgentServiceHandler

	// process is the identity that the agent claims.
	process task.Process
	// onFrame is called before each frame is handled. An error ends the link.
	onFrame func(frame *v1.EntryFrame) error
	// onSettle answers a Settle call. If nil, the call is refused as meant for
	// another incarnation.
	onSettle func(request *v1.SettleRequest) (*v1.SettleResponse, error)
	// makeAnswer returns the answer to a frame. If nil, every start is accepted
	// and has a result.
	makeAnswer func(frame *v1.EntryFrame) *v1.AgentFrame

	// discardStarts is set by benchmarks, so that memory doesn't grow.
	discardStarts bool

	mu          sync.Mutex
	starts      []*v1.Start
	cancels     []*v1.TaskRef
	acks        []*v1.TaskRef
	pings       int
	linksOpened int
	settleCalls int
}

func (a *fakeAgent) Link(_ context.Context, stream *connect.BidiStream[v1.EntryFrame, v1.AgentFrame]) error {
	a.locked(func() { a.linksOpened++ })
	for {
		frame, err := stream.Receive()
		if err != nil {
			return err
		}
		a.locked(func() {
			if !a.discardStarts {
				a.starts = append(a.starts, frame.GetStarts()...)
			}
			a.cancels = append(a.cancels, frame.GetCancels()...)
			a.acks = append(a.acks, frame.GetAcks()...)
			if frame.GetPing() != 0 {
				a.pings++
			}
		})
		if a.onFrame != nil {
			if err := a.onFrame(frame); err != nil {
				return err
			}
		}
		if err := stream.Send(a.answer(frame)); err != nil {
			return err
		}
	}
}

func (a *fakeAgent) Settle(_ context.Context, request *connect.Request[v1.SettleRequest]) (*connect.Response[v1.SettleResponse], error) {
	a.locked(func() { a.settleCalls++ })
	if a.onSettle == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("another incarnation"))
	}
	response, err := a.onSettle(request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

func (a *fakeAgent) answer(frame *v1.EntryFrame) *v1.AgentFrame {
	if a.makeAnswer != nil {
		return a.makeAnswer(frame)
	}
	answer := &v1.AgentFrame{From: encoder.ProcessToWire(a.process), Pong: frame.GetPing()}
	for _, start := range frame.GetStarts() {
		ref := &v1.TaskRef{Job: start.GetJob(), Index: start.GetIndex(), Attempt: start.GetAttempt()}
		answer.Accepted = append(answer.Accepted, ref)
		answer.Results = append(answer.Results, &v1.Report{
			Task: ref, State: v1.TaskState_TASK_STATE_FINISHED, Response: &v1.Response{Status: 200},
		})
	}
	return answer
}

// locked runs f while holding mu.
func (a *fakeAgent) locked(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

// serve serves the agent until the test ends and returns its address.
func (a *fakeAgent) serve(t testing.TB) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewAgentServiceHandler(a))
	server := &http.Server{Handler: mux, Protocols: protocols}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// fixture is a linker with the events that it published.
type fixture struct {
	t        *testing.T
	is       *is.I
	linker   *linker.Linker
	events   *ring.Ring[dispatcher.Event]
	received []dispatcher.Event
}

func newFixture(t *testing.T, o linker.Options) *fixture {
	t.Helper()
	f := &fixture{t: t, is: is.New(t), events: ring.New[dispatcher.Event](1024)}
	o.Self, o.Events = self, f.events
	f.linker = linker.New(o)
	t.Cleanup(f.linker.Close)
	return f
}

// await returns the next event of type E. It fails the test if none arrives.
func await[E dispatcher.Event](f *fixture) E {
	f.t.Helper()
	deadline := time.After(testTimeout)
	for {
		for i, ev := range f.received {
			if match, ok := ev.(E); ok {
				f.received = append(f.received[:i:i], f.received[i+1:]...)
				return match
			}
		}
		select {
		case <-f.events.Ready():
			f.received, _ = f.events.TakeAll(f.received)
		case <-deadline:
			var want E
			f.t.Fatalf("no %T event arrived; received: %+v", want, f.received)
		}
	}
}

// testStart returns the start of a task of one job.
func testStart(index int) task.Start {
	return task.Start{
		Task:     task.ID{Job: task.KeyedJobID("desk", "one"), Index: index},
		Attempt:  1,
		Team:     "desk",
		Pool:     "ascenso-desk",
		Deadline: time.Now().Add(testTimeout),
		Request:  task.Request{Method: http.MethodPost, Path: "/holds", Header: http.Header{}},
	}
}

// refOf returns the reference to the attempt of a start.
func refOf(s task.Start) dispatcher.AttemptRef {
	return dispatcher.AttemptRef{Task: s.Task, Attempt: s.Attempt, Deadline: s.Deadline}
}

func TestLinkCarriesStartsAndResults(t *testing.T) {
	fake := &fakeAgent{process: agent}
	f := newFixture(t, linker.Options{ProbeTimeout: testTimeout})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	for i := range 100 {
		f.is.True(f.linker.Send(peer, testStart(i)))
	}
	ended := make(map[int]int)
	for range 100 {
		ended[await[dispatcher.Ended](f).Report.Task.Index]++
	}
	f.is.Equal(len(ended), 100)
	fake.locked(func() {
		f.is.Equal(len(fake.starts), 100)
		f.is.Equal(fake.linksOpened, 1) // All starts use the same link.
	})
}

func TestStartIsNeverWrittenTwice(t *testing.T) {
	errCut := errors.New("the link is cut")
	fake := &fakeAgent{process: agent}
	fake.onFrame = func(frame *v1.EntryFrame) error {
		if len(frame.GetStarts()) > 0 {
			return errCut
		}
		return nil
	}
	fake.onSettle = func(request *v1.SettleRequest) (*v1.SettleResponse, error) {
		response := &v1.SettleResponse{}
		for _, ref := range request.GetTasks() {
			response.Reports = append(response.Reports, &v1.Report{Task: ref, State: v1.TaskState_TASK_STATE_RUNNING})
		}
		return response, nil
	}
	f := newFixture(t, linker.Options{})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	start := testStart(0)
	f.is.True(f.linker.Send(peer, start))
	f.is.Equal(await[dispatcher.LinkLost](f).Agent, agent)
	f.linker.Settle(peer, []dispatcher.AttemptRef{refOf(start)})
	settled := await[dispatcher.Settled](f)
	f.is.Equal(len(settled.Reports), 1)
	f.is.Equal(settled.Reports[0].State, task.Running)
	fake.locked(func() { f.is.Equal(len(fake.starts), 1) }) // The start wasn't sent again after the link broke.
}

// If the link fails before the start is queued, Send returns false, which also
// proves that the start wasn't sent. That happened in 5 of 9,000 runs on a busy
// machine. The test is repeated until a start was queued.
func TestStartToUnreachableAgentIsReportedUnsent(t *testing.T) {
	const maxTries = 20
	for range maxTries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		address := netip.MustParseAddrPort(listener.Addr().String())
		is.New(t).NoErr(listener.Close())
		f := newFixture(t, linker.Options{})
		peer := dispatcher.Peer{Process: agent, Address: address}
		queued := f.linker.Send(peer, testStart(0))
		if queued {
			refused := await[dispatcher.Refused](f)
			f.is.Equal(refused.Report.State, task.Unstarted)
			f.is.Equal(refused.Report.Refusal, task.Unsent)
		}
		await[dispatcher.LinkLost](f)
		f.is.True(!f.linker.Send(peer, testStart(1))) // The backoff prevents a new link.
		if queued {
			return
		}
	}
	t.Fatalf("no start was queued in %d tries", maxTries)
}

func TestOtherIncarnationGetsNoStart(t *testing.T) {
	fake := &fakeAgent{process: task.Process{Name: agent.Name, Incarnation: agent.Incarnation + 1}}
	f := newFixture(t, linker.Options{})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	start := testStart(0)
	f.is.True(f.linker.Send(peer, start))
	f.is.Equal(await[dispatcher.Refused](f).Report.Refusal, task.Unsent)
	await[dispatcher.LinkLost](f)
	f.linker.Settle(peer, []dispatcher.AttemptRef{refOf(start)})
	failed := await[dispatcher.SettleFailed](f)
	f.is.True(failed.Gone)
	fake.locked(func() { f.is.Equal(len(fake.starts), 0) })
}

func TestMalformedReportsAreDropped(t *testing.T) {
	fake := &fakeAgent{process: agent}
	fake.makeAnswer = func(frame *v1.EntryFrame) *v1.AgentFrame {
		answer := &v1.AgentFrame{From: encoder.ProcessToWire(agent), Pong: frame.GetPing()}
		for _, start := range frame.GetStarts() {
			ref := &v1.TaskRef{Job: start.GetJob(), Index: start.GetIndex(), Attempt: start.GetAttempt()}
			answer.Accepted = append(answer.Accepted, &v1.TaskRef{Job: []byte("short")}, ref)
			answer.Results = append(answer.Results,
				&v1.Report{Task: ref, State: 99},
				&v1.Report{Task: ref, State: v1.TaskState_TASK_STATE_FINISHED, Response: &v1.Response{Status: 204}},
			)
			answer.Load = &v1.Load{Slots: -1}
		}
		return answer
	}
	f := newFixture(t, linker.Options{})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	f.is.True(f.linker.Send(peer, testStart(3)))
	f.is.Equal(await[dispatcher.Accepted](f).Task.Index, 3)
	f.is.Equal(await[dispatcher.Ended](f).Report.Response.Status, 204)
}

func TestStartCancelledWhileQueuedIsNotSent(t *testing.T) {
	release := make(chan struct{})
	fake := &fakeAgent{process: agent}
	fake.onFrame = func(*v1.EntryFrame) error {
		<-release // This delays the handshake, so that both orders stay in the queue.
		return nil
	}
	f := newFixture(t, linker.Options{ProbeTimeout: testTimeout})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	start := testStart(0)
	f.is.True(f.linker.Send(peer, start))
	f.linker.Cancel(peer, refOf(start))
	f.is.True(f.linker.Send(peer, testStart(1)))
	close(release)
	f.is.Equal(await[dispatcher.Refused](f).Report.Task.Index, 0)
	f.is.Equal(await[dispatcher.Ended](f).Report.Task.Index, 1)
	fake.locked(func() {
		f.is.Equal(len(fake.starts), 1)
		f.is.Equal(len(fake.cancels), 0)
	})
}

func TestSendFailsWhenTheQueueIsFull(t *testing.T) {
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	fake := &fakeAgent{process: agent}
	fake.onFrame = func(*v1.EntryFrame) error {
		<-release
		return nil
	}
	f := newFixture(t, linker.Options{QueueSize: 2, ProbeTimeout: testTimeout})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	f.is.True(f.linker.Send(peer, testStart(0)))
	f.is.True(f.linker.Send(peer, testStart(1)))
	f.is.True(!f.linker.Send(peer, testStart(2)))
}

func TestCloseSendsQueuedOrders(t *testing.T) {
	fake := &fakeAgent{process: agent}
	f := newFixture(t, linker.Options{ProbeTimeout: testTimeout, CloseTimeout: testTimeout})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	start := testStart(0)
	f.is.True(f.linker.Send(peer, start))
	await[dispatcher.Ended](f)
	for i := range 1000 {
		s := testStart(i)
		f.linker.Acknowledge(peer, refOf(s))
	}
	f.linker.Close()
	fake.locked(func() { f.is.Equal(len(fake.acks), 1000) })
}
