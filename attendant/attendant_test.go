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

// noTable is a table service without entries.
type noTable struct{ tabler.Table }

func (noTable) Scan(context.Context, string, string) ([]tabler.Row, error) { return nil, nil }

// bench is an agent with its minion.
type bench struct {
	is     *is.I
	agent  *attendant.Attendant
	client agatevalvev1connect.AgentServiceClient
	// seen counts the requests at the minion.
	seen   atomic.Int64
	minion *httptest.Server
}

func newBench(t *testing.T, slots int, handler http.HandlerFunc) *bench {
	t.Helper()
	b := &bench{is: is.New(t)}
	minion := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.seen.Add(1)
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
		Table:  noTable{},
		Linger: time.Millisecond,
		// The queue decides how large a response may be.
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

// link opens a link and reads the greeting.
func (b *bench) link(ctx context.Context) *stream {
	s := b.client.Link(ctx)
	b.is.NoErr(s.Send(&v1.EntryFrame{
		From: encoder.ProcessToWire(entry), To: encoder.ProcessToWire(b.agent.Process()), Ping: 1, Revision: 3,
	}))
	hello, err := s.Receive()
	b.is.NoErr(err)
	b.is.Equal(hello.GetFrom().GetIncarnation(), uint64(b.agent.Process().Incarnation))
	return s
}

// results reads frames until there are n refusals and results.
func (b *bench) results(s *stream, n int) []task.Report {
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

func start(index int, deadline time.Time) task.Start {
	return task.Start{
		Task: task.ID{Job: task.JobID{1}, Index: index}, Attempt: 1, Generation: 1, Team: "t", Pool: "desk", Deadline: deadline,
		Request: task.Request{
			Method: http.MethodPost, Path: "/holds?x=1", Host: "desk.example",
			Header: http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Tower": {"caf\xe9"}}, Body: []byte("body"),
		},
	}
}

func soon() time.Time { return time.Now().Add(20 * time.Second) }

func frameOf(starts ...task.Start) *v1.EntryFrame {
	f := &v1.EntryFrame{}
	for _, s := range starts {
		f.Starts = append(f.Starts, encoder.StartToWire(s))
	}
	return f
}

func ack(r task.Report) *v1.EntryFrame {
	return &v1.EntryFrame{Acks: []*v1.TaskRef{encoder.RefToWire(r.Task, r.Attempt)}}
}

func TestTaskReachesTheMinionAndBack(t *testing.T) {
	b := newBench(t, 2, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Seen", fmt.Sprintf("%s %s %s %s %q %q %q", r.Method, r.RequestURI, r.Host, body,
			r.Header.Get("Task-Id"), r.Header.Get("X-Hop"), r.Header.Get("X-Tower")))
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, strings.Repeat("y", 100_000))
	})
	s := b.link(t.Context())
	b.is.NoErr(s.Send(frameOf(start(0, soon()))))
	got := b.results(s, 1)[0]
	b.is.Equal(got.State, task.Finished)
	b.is.Equal(got.Response.Status, http.StatusCreated)
	b.is.Equal(len(got.Response.Body), 100_000)
	b.is.Equal(got.Response.Header.Get("Seen"),
		`POST /holds?x=1 desk.example body "01000000000000000000000000000000-0" "" "caf\xe9"`)
	b.is.NoErr(s.Send(ack(got)))
	b.is.NoErr(b.agent.Close(t.Context()))
	b.is.Equal(b.seen.Load(), int64(1))
}

func TestUnreadableStartIsRefusedAlone(t *testing.T) {
	b := newBench(t, 2, func(http.ResponseWriter, *http.Request) {})
	s := b.link(t.Context())
	bad := start(0, soon())
	bad.Request.Method = "no token"
	b.is.NoErr(s.Send(frameOf(bad, start(1, soon()))))
	for _, r := range b.results(s, 2) {
		b.is.Equal(r.State == task.Unstarted, r.Task.Index == 0)
		if r.State == task.Unstarted {
			b.is.Equal(r.Refusal, task.Malformed)
			continue
		}
		b.is.NoErr(s.Send(ack(r)))
	}
	b.is.NoErr(b.agent.Close(t.Context()))
}

func TestAnotherIncarnationIsRefused(t *testing.T) {
	b := newBench(t, 1, func(http.ResponseWriter, *http.Request) {})
	other := b.agent.Process()
	other.Incarnation++
	s := b.client.Link(t.Context())
	b.is.NoErr(s.Send(&v1.EntryFrame{From: encoder.ProcessToWire(entry), To: encoder.ProcessToWire(other)}))
	_, err := s.Receive()
	b.is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	_, err = b.client.Settle(t.Context(), connect.NewRequest(encoder.SettleToWire(other, nil)))
	b.is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	fence := dispatcher.Fence{Agent: dispatcher.Peer{Process: other}, Generation: 1, Deadline: soon()}
	_, err = b.client.Fence(t.Context(), connect.NewRequest(encoder.FenceToWire(fence)))
	b.is.Equal(connect.CodeOf(err), connect.CodeFailedPrecondition)
	b.is.NoErr(b.agent.Close(t.Context()))
}

func TestStopFinishesWhatRuns(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	b := newBench(t, 1, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	})
	s := b.link(t.Context())
	b.is.NoErr(s.Send(frameOf(start(0, soon()))))
	<-begun
	closed := make(chan error)
	go func() { closed <- b.agent.Close(context.Background()) }()
	for leaving := false; !leaving; {
		frame, err := s.Receive()
		b.is.NoErr(err)
		leaving = frame.GetLoad().GetLeaving()
	}
	b.is.NoErr(s.Send(frameOf(start(1, soon()))))
	b.is.Equal(b.results(s, 1)[0].Refusal, task.Leaving)
	close(release)
	got := b.results(s, 1)[0]
	b.is.Equal(got.State, task.Finished)
	b.is.NoErr(s.Send(ack(got)))
	b.is.NoErr(<-closed)
	b.is.Equal(b.seen.Load(), int64(1))
}

func TestResultSurvivesItsLink(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	b := newBench(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(w, "late")
	})
	ctx, cut := context.WithCancel(t.Context())
	s := b.link(ctx)
	first := start(0, soon())
	b.is.NoErr(s.Send(frameOf(first)))
	<-begun
	cut()
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
	s = b.link(t.Context())
	close(release)
	got := b.results(s, 1)[0]
	b.is.Equal(string(got.Response.Body), "late")
	b.is.NoErr(s.Send(ack(got)))
	b.is.NoErr(b.agent.Close(t.Context()))
}

func TestSlowEntryHindersNobody(t *testing.T) {
	const tasks = 5
	begun := make(chan struct{}, tasks)
	b := newBench(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		_, _ = w.Write(make([]byte, 1_200_000))
	})
	slow := b.link(t.Context())
	deadline := soon()
	var sent []dispatcher.AttemptRef
	for i := range tasks {
		st := start(i, deadline)
		b.is.NoErr(slow.Send(frameOf(st)))
		<-begun
		sent = append(sent, dispatcher.AttemptRef{Task: st.Task, Attempt: 1, Deadline: deadline})
		// Another connection is answered while nobody reads the results.
		for !b.finished(sent) {
		}
	}
	for i := uint64(1); slow.Send(&v1.EntryFrame{Ping: i}) == nil; i++ {
	}
	for _, err := slow.Receive(); err == nil; _, err = slow.Receive() {
	}
	again := b.link(t.Context())
	for _, r := range b.results(again, tasks) {
		b.is.NoErr(again.Send(ack(r)))
	}
	b.is.NoErr(b.agent.Close(t.Context()))
	b.is.Equal(b.seen.Load(), int64(tasks))
}

// finished reports whether all attempts have a result.
func (b *bench) finished(sent []dispatcher.AttemptRef) bool {
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

func TestStopIsBounded(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	b := newBench(t, 1, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	})
	s := b.link(t.Context())
	b.is.NoErr(s.Send(frameOf(start(0, soon()))))
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := b.agent.Close(ctx)
	b.is.Equal(fault.KindOf(err), fault.Uncertain)
	b.is.True(strings.Contains(err.Error(), "1 running"))
	close(release)
}

func TestDrainedAgentComesBack(t *testing.T) {
	b := newBench(t, 1, func(http.ResponseWriter, *http.Request) {})
	s := b.link(t.Context())
	answer, err := b.client.Drain(t.Context(), connect.NewRequest(&v1.DrainRequest{Leave: true, Who: "ana"}))
	b.is.NoErr(err)
	b.is.True(answer.Msg.GetLoad().GetLeaving())
	b.is.NoErr(s.Send(frameOf(start(0, soon()))))
	b.is.Equal(b.results(s, 1)[0].Refusal, task.Leaving)
	_, err = b.client.Drain(t.Context(), connect.NewRequest(&v1.DrainRequest{Who: "ana"}))
	b.is.NoErr(err)
	b.is.NoErr(s.Send(frameOf(start(1, soon()))))
	got := b.results(s, 1)[0]
	b.is.Equal(got.State, task.Finished)
	b.is.NoErr(s.Send(ack(got)))
	b.is.NoErr(b.agent.Close(t.Context()))
}
