package screener_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"agatevalve/common/clock"
	"agatevalve/common/work"
	"agatevalve/jobber"
	"agatevalve/screener"
)

const resubmitDelay = 150 * time.Millisecond

// jobs counts the jobs that run. They end at once.
type jobs struct {
	started atomic.Int32
	// onStart is called when a job starts, unless it is nil.
	onStart atomic.Pointer[func()]
}

func (j *jobs) Submit(context.Context, work.Job) jobber.Result {
	j.started.Add(1)
	if f := j.onStart.Load(); f != nil {
		(*f)()
	}
	return jobber.Result{Outcome: work.Succeeded}
}

func (*jobs) UnstartedJobs(string) int { return 0 }

// serve starts an entry that submits a job for each request, and returns a connection
// to it.
func serve(t *testing.T) (*jobs, net.Conn) {
	t.Helper()
	return serveWith(t, func(ctx context.Context) context.Context { return ctx })
}

// serveWith is serve with a change of the context with which jobs are submitted.
func serveWith(t *testing.T, change func(context.Context) context.Context) (*jobs, net.Conn) {
	t.Helper()
	j := &jobs{}
	s := screener.New(screener.Options{Jobs: j, ResubmitDelay: resubmitDelay, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry()})
	server := httptest.NewUnstartedServer(s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived := clock.Now()
		_, _ = io.ReadAll(r.Body)
		s.Submit(change(r.Context()), work.Job{ID: "a", Arrived: arrived})
		w.WriteHeader(http.StatusNoContent)
	})))
	server.Config.ConnContext = s.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return j, conn
}

// send sends a request, and then reads the response unless it ends the connection
// after a delay.
func send(t *testing.T, conn net.Conn, endAfter time.Duration) {
	t.Helper()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		t.Fatal(err)
	}
	if endAfter > 0 {
		time.Sleep(endAfter)
		_ = conn.Close()
		return
	}
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
}

// Guards against two runs of one task at once: a request that a cut had held back ran
// while the job ran at the entry to which its caller had gone.
func TestLateRequestOfACallerThatHasLeftDoesNotRun(t *testing.T) {
	is := is.New(t)
	j, conn := serve(t)
	time.Sleep(2 * resubmitDelay)
	send(t, conn, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	is.Equal(j.started.Load(), int32(0))
}

// Guards against late requests that run in a process short of processor time, where
// the end of the connection waits in the kernel and the context has not ended.
func TestEndThatTheServerHasNotReadIsNoticed(t *testing.T) {
	is := is.New(t)
	j, conn := serveWith(t, context.WithoutCancel)
	time.Sleep(2 * resubmitDelay)
	send(t, conn, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	is.Equal(j.started.Load(), int32(0))
}

func TestLateRequestOfACallerThatStaysRuns(t *testing.T) {
	is := is.New(t)
	j, conn := serve(t)
	time.Sleep(2 * resubmitDelay)
	send(t, conn, 0)
	is.Equal(j.started.Load(), int32(1))
}

// A response on the connection shows that the next request was sent after it.
func TestAgeOfARequestIsBoundedByTheLastUseOfItsConnection(t *testing.T) {
	is := is.New(t)
	now := clock.Now()
	is.True(!screener.MayBeLate(now, now.Add(-time.Second), 1300*time.Millisecond))
	is.True(screener.MayBeLate(now, now.Add(-1250*time.Millisecond), 1300*time.Millisecond))
}

// Guards against a late request whose end arrives only after it has run: the kernel
// waited for the response before it acknowledged the request.
func TestLateRequestIsAcknowledgedBeforeItRuns(t *testing.T) {
	is := is.New(t)
	j, conn := serve(t)
	for range 8 {
		send(t, conn, 0) // The kernel now expects a response to each request.
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var unacked atomic.Int32
	unacked.Store(-1)
	check := func() {
		_ = raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				unacked.Store(int32(info.Unacked))
			}
		})
	}
	j.onStart.Store(&check)
	time.Sleep(2 * resubmitDelay)
	send(t, conn, 0)
	is.Equal(unacked.Load(), int32(0)) // The caller's kernel could have sent the end of the connection.
}
