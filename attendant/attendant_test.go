package attendant_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"agatevalve/attendant"
	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dialer"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/loader"
	"agatevalve/tabler"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const mebibyte = 1 << 20

var entry = task.Process{Name: "entry-1", Incarnation: 7}

// emptyTable is a table service that lists no entries.
type emptyTable struct{ tabler.Table }

func (emptyTable) Scan(context.Context, string, string) ([]tabler.Row, error) { return nil, nil }

// testAgent is an agent with a minion and a client of its service.
type testAgent struct {
	is     *is.I
	agent  *attendant.Attendant
	client agatevalvev1connect.AgentServiceClient
	// requestCount counts the requests received by the minion.
	requestCount atomic.Int64
	minion       *httptest.Server
}

// newTestAgent starts an agent whose minion runs the handler.
func newTestAgent(t *testing.T, slots int, handler http.HandlerFunc) *testAgent {
	t.Helper()
	b := &testAgent{is: is.New(t)}
	minion := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.requestCount.Add(1)
		handler(w, r)
	}))
	agent, err := attendant.New(attendant.Options{
		Settings: loader.Agent{
			Name:        "agent-1",
			Zone:        "cartago",
			Listen:      netip.MustParseAddrPort("127.0.0.1:0"),
			Minion:      netip.MustParseAddrPort(minion.Listener.Addr().String()),
			Pools:       []string{"desk"},
			Slots:       slots,
			Remember:    1000,
			ResultBytes: 8 * mebibyte,
			StopWithin:  10 * time.Second,
		},
		Table:       emptyTable{},
		QuietPeriod: time.Millisecond,
		// The length of the queue limits the size of a response.
		QueueLength: 2,
	})
	b.is.NoErr(err)
	b.agent, b.minion = agent, minion
	client := dialer.New(dialer.Options{})
	b.client = agatevalvev1connect.NewAgentServiceClient(client, "http://"+agent.Address().String())
	t.Cleanup(func() {
		client.Close()
		minion.CloseClientConnections()
		minion.Close()
		goleak.VerifyNone(t)
	})
	return b
}

type stream = connect.BidiStreamForClient[v1.EntryFrame, v1.AgentFrame]

// openLink opens a link and reads the agent's first frame.
func (b *testAgent) openLink(ctx context.Context) *stream {
	s := b.client.Link(ctx)
	b.is.NoErr(s.Send(&v1.EntryFrame{
		From: encoder.ProcessToWire(entry), To: encoder.ProcessToWire(b.agent.Process()), Ping: 1, Revision: 3,
	}))
	greeting, err := s.Receive()
	b.is.NoErr(err)
	b.is.Equal(greeting.GetFrom().GetIncarnation(), uint64(b.agent.Process().Incarnation))
	return s
}

// receiveReports reads frames until it has n refusals and results.
func (b *testAgent) receiveReports(s *stream, n int) []task.Report {
	var reports []task.Report
	for len(reports) < n {
		frame, err := s.Receive()
		b.is.NoErr(err)
		got, err := encoder.ReportsFromWire(append(frame.GetRefused(), frame.GetResults()...))
		b.is.NoErr(err)
		reports = append(reports, got...)
	}
	return reports
}

// newStart returns a start whose header has a hop-by-hop field and a non-ASCII
// value.
func newStart(index int, deadline time.Time) task.Start {
	return task.Start{
		Task: task.ID{Job: task.JobID{1}, Index: index}, Attempt: 1, Generation: 1, Team: "t", Pool: "desk", Deadline: deadline,
		Request: task.Request{
			Method: http.MethodPost, Path: "/holds?x=1", Host: "desk.example",
			Header: http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Tower": {"caf\xe9"}}, Body: []byte("body"),
		},
	}
}

// futureDeadline is later than any test here takes.
func futureDeadline() time.Time { return time.Now().Add(20 * time.Second) }

func startFrame(starts ...task.Start) *v1.EntryFrame {
	f := &v1.EntryFrame{}
	for _, s := range starts {
		f.Starts = append(f.Starts, encoder.StartToWire(s))
	}
	return f
}

func ackFrame(r task.Report) *v1.EntryFrame {
	return &v1.EntryFrame{Acks: []*v1.TaskRef{encoder.RefToWire(r.Task, r.Attempt)}}
}

func TestTaskRoundTrip(t *testing.T) {
	b := newTestAgent(t, 2, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Seen", fmt.Sprintf("%s %s %s %s %q %q %q", r.Method, r.RequestURI, r.Host, body,
			r.Header.Get("Task-Id"), r.Header.Get("X-Hop"), r.Header.Get("X-Tower")))
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, strings.Repeat("y", 100_000))
	})
	s := b.openLink(t.Context())
	b.is.NoErr(s.Send(startFrame(newStart(0, futureDeadline()))))
	got := b.receiveReports(s, 1)[0]
	b.is.Equal(got.State, task.Finished)
	b.is.Equal(got.Response.Status, http.StatusCreated)
	b.is.Equal(len(got.Response.Body), 100_000)
	b.is.Equal(got.Response.Header.Get("Seen"),
		`POST /holds?x=1 desk.example body "01000000000000000000000000000000-0" "" "caf\xe9"`)
	b.is.NoErr(s.Send(ackFrame(got)))
	b.is.NoErr(b.agent.Close(t.Context()))
	b.is.Equal(b.requestCount.Load(), int64(1))
}

func TestMalformedStartDoesNotEndTheLink(t *testing.T) {
	b := newTestAgent(t, 2, func(http.ResponseWriter, *http.Request) {})
	s := b.openLink(t.Context())
	bad := newStart(0, futureDeadline())
	bad.Request.Method = "no token"
	b.is.NoErr(s.Send(startFrame(bad, newStart(1, futureDeadline()))))
	for _, r := range b.receiveReports(s, 2) {
		b.is.Equal(r.State == task.Unstarted, r.Task.Index == 0)
		if r.State == task.Unstarted {
			b.is.Equal(r.Refusal, task.Malformed)
			continue
		}
		b.is.NoErr(s.Send(ackFrame(r)))
	}
	b.is.NoErr(b.agent.Close(t.Context()))
}

func TestMessageToAnotherIncarnationIsRefused(t *testing.T) {
	b := newTestAgent(t, 1, func(http.ResponseWriter, *http.Request) {})
	other := b.agent.Process()
	other.Incarnation++
	s := b.client.Link(t.Context())
	b.is.NoErr(s.Send(&v1.EntryFrame{From: encoder.ProcessToWire(entry), To: encoder.ProcessToWire(other)}))
	_, err := s.Receive()
	b.is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	_, err = b.client.Settle(t.Context(), connect.NewRequest(encoder.SettleToWire(other, nil)))
	b.is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	fence := dispatcher.Fence{Agent: dispatcher.Peer{Process: other}, Generation: 1, Deadline: futureDeadline()}
	_, err = b.client.Fence(t.Context(), connect.NewRequest(encoder.FenceToWire(fence)))
	b.is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	b.is.NoErr(b.agent.Close(t.Context()))
}

func TestCloseFinishesRunningTasks(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	b := newTestAgent(t, 1, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	})
	s := b.openLink(t.Context())
	b.is.NoErr(s.Send(startFrame(newStart(0, futureDeadline()))))
	<-begun
	closed := make(chan error)
	go func() { closed <- b.agent.Close(context.Background()) }()
	for leaving := false; !leaving; {
		frame, err := s.Receive()
		b.is.NoErr(err)
		leaving = frame.GetLoad().GetLeaving()
	}
	b.is.NoErr(s.Send(startFrame(newStart(1, futureDeadline()))))
	b.is.Equal(b.receiveReports(s, 1)[0].Refusal, task.Leaving)
	close(release)
	got := b.receiveReports(s, 1)[0]
	b.is.Equal(got.State, task.Finished)
	b.is.NoErr(s.Send(ackFrame(got)))
	b.is.NoErr(<-closed)
	b.is.Equal(b.requestCount.Load(), int64(1))
}

func TestResultIsDeliveredOverALaterLink(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	b := newTestAgent(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "late")
	})
	ctx, cancel := context.WithCancel(t.Context())
	s := b.openLink(ctx)
	first := newStart(0, futureDeadline())
	b.is.NoErr(s.Send(startFrame(first)))
	<-begun
	cancel()
	settle := encoder.SettleToWire(b.agent.Process(), []dispatcher.AttemptRef{
		{Task: first.Task, Attempt: 1, Deadline: first.Deadline},
		{Task: task.ID{Index: 9}, Attempt: 1, Deadline: first.Deadline},
	})
	answer, err := b.client.Settle(t.Context(), connect.NewRequest(settle))
	b.is.NoErr(err)
	reports, err := encoder.ReportsFromWire(answer.Msg.GetReports())
	b.is.NoErr(err)
	b.is.Equal(reports[0].State, task.Running)
	b.is.Equal(reports[1].State, task.Unstarted)
	s = b.openLink(t.Context())
	close(release)
	got := b.receiveReports(s, 1)[0]
	b.is.Equal(string(got.Response.Body), "late")
	b.is.NoErr(s.Send(ackFrame(got)))
	b.is.NoErr(b.agent.Close(t.Context()))
}

func TestSlowEntryDoesNotBlockOtherCalls(t *testing.T) {
	const tasks = 5
	begun := make(chan struct{}, tasks)
	b := newTestAgent(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		_, _ = w.Write(make([]byte, 1_200_000))
	})
	slow := b.openLink(t.Context())
	deadline := futureDeadline()
	var sent []dispatcher.AttemptRef
	for i := range tasks {
		st := newStart(i, deadline)
		b.is.NoErr(slow.Send(startFrame(st)))
		<-begun
		sent = append(sent, dispatcher.AttemptRef{Task: st.Task, Attempt: 1, Deadline: deadline})
		// Settle calls on another connection are answered while the entry
		// doesn't read its results.
		for !b.allFinished(sent) {
		}
	}
	for i := uint64(1); slow.Send(&v1.EntryFrame{Ping: i}) == nil; i++ {
	}
	for _, err := slow.Receive(); err == nil; _, err = slow.Receive() {
	}
	reopened := b.openLink(t.Context())
	for _, r := range b.receiveReports(reopened, tasks) {
		b.is.NoErr(reopened.Send(ackFrame(r)))
	}
	b.is.NoErr(b.agent.Close(t.Context()))
	b.is.Equal(b.requestCount.Load(), int64(tasks))
}

// allFinished reports whether all attempts have a result.
func (b *testAgent) allFinished(sent []dispatcher.AttemptRef) bool {
	settle := encoder.SettleToWire(b.agent.Process(), sent)
	answer, err := b.client.Settle(context.Background(), connect.NewRequest(settle))
	b.is.NoErr(err)
	for _, r := range answer.Msg.GetReports() {
		if r.GetState() == v1.TaskState_TASK_STATE_RUNNING {
			return false
		}
		b.is.Equal(r.GetState(), v1.TaskState_TASK_STATE_FINISHED)
	}
	return true
}

func TestCloseReturnsAtItsDeadline(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	b := newTestAgent(t, 1, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	})
	s := b.openLink(t.Context())
	b.is.NoErr(s.Send(startFrame(newStart(0, futureDeadline()))))
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := b.agent.Close(ctx)
	b.is.Equal(fault.KindOf(err), fault.Uncertain)
	b.is.True(strings.Contains(err.Error(), "1 running"))
	close(release)
}

func TestDrainCanBeReverted(t *testing.T) {
	b := newTestAgent(t, 1, func(http.ResponseWriter, *http.Request) {})
	s := b.openLink(t.Context())
	answer, err := b.client.Drain(t.Context(), connect.NewRequest(&v1.DrainRequest{Leave: true, Who: "ana"}))
	b.is.NoErr(err)
	b.is.True(answer.Msg.GetLoad().GetLeaving())
	b.is.NoErr(s.Send(startFrame(newStart(0, futureDeadline()))))
	b.is.Equal(b.receiveReports(s, 1)[0].Refusal, task.Leaving)
	_, err = b.client.Drain(t.Context(), connect.NewRequest(&v1.DrainRequest{Who: "ana"}))
	b.is.NoErr(err)
	b.is.NoErr(s.Send(startFrame(newStart(1, futureDeadline()))))
	got := b.receiveReports(s, 1)[0]
	b.is.Equal(got.State, task.Finished)
	b.is.NoErr(s.Send(ackFrame(got)))
	b.is.NoErr(b.agent.Close(t.Context()))
}
