package attendant_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/attendant"
	"agatevalve/common/task"
	"agatevalve/loader"
	"agatevalve/runner"
)

// rawMinion writes raw bytes as its answers, and records the methods of the
// requests that it read.
type rawMinion struct {
	listener   net.Listener
	goroutines sync.WaitGroup
	mu         sync.Mutex
	methods    []string
}

func newRawMinion(t *testing.T, answer func(net.Conn)) *rawMinion {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	m := &rawMinion{listener: listener}
	m.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.goroutines.Go(func() { m.serve(conn, answer) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		m.goroutines.Wait()
	})
	return m
}

func (m *rawMinion) serve(conn net.Conn, answer func(net.Conn)) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		m.mu.Lock()
		m.methods = append(m.methods, request.Method)
		m.mu.Unlock()
		answer(conn)
		if request.Close {
			return
		}
	}
}

func (m *rawMinion) address() netip.AddrPort {
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (m *rawMinion) receivedMethods() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.methods
}

// startWith returns a start with the method and body.
func startWith(method, body string) task.Start {
	s := newStart(0, futureDeadline())
	s.Request.Method = method
	s.Request.Body = []byte(body)
	return s
}

// TestRequestsAreNotRetried has a minion that answers the first request without
// Connection: close, and closes the connection of the second one after reading
// it. A client that reused the first connection would resend a request without
// a body.
func TestRequestsAreNotRetried(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		for _, key := range []string{"", "k"} {
			t.Run(method+key, func(t *testing.T) {
				is := is.New(t)
				var calls int
				m := newRawMinion(t, func(conn net.Conn) {
					if calls++; calls == 1 {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
						return
					}
					_ = conn.Close()
				})
				minion := attendant.NewMinionClient(m.address(), mebibyte)
				s := startWith(method, "")
				if key != "" {
					s.Request.Header.Set("Idempotency-Key", key)
				}
				_, ok := minion.Run(t.Context(), s).(runner.MinionAnswered)
				is.True(ok)
				_, ok = minion.Run(t.Context(), s).(runner.MinionFailed)
				is.True(ok)
				is.Equal(m.receivedMethods(), []string{method, method})
			})
		}
	}
}

func TestIncompleteResponsesFail(t *testing.T) {
	for name, c := range map[string]struct {
		answer   string
		complete bool
	}{
		"with length":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		"chunked":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"without body":      {"HTTP/1.1 204 No Content\r\n\r\n", true},
		"cut body":          {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false},
		"cut chunk":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		"cut header":        {"HTTP/1.1 200 OK\r\nContent-", false},
		"ended by the cut":  {"HTTP/1.1 200 OK\r\n\r\nok", false},
		"declared too long": {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", false},
		"too long": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" + strings.Repeat("x", 64) + "\r\n0\r\n\r\n", false,
		},
		"long header":       {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", false},
		"other protocol":    {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", false},
		"unknown status":    {"HTTP/1.1 999 No\r\nContent-Length: 0\r\n\r\n", false},
		"no HTTP":           {"hello\r\n", false},
		"nothing":           {"", false},
		"blank in a header": {"HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newRawMinion(t, func(conn net.Conn) { _, _ = io.WriteString(conn, c.answer) })
			switch ended := attendant.NewMinionClient(m.address(), 32).Run(t.Context(), startWith(http.MethodPost, "b")).(type) {
			case runner.MinionAnswered:
				is.True(c.complete)
				is.Equal(ended.Response.Header.Get("A B"), "")
			case runner.MinionFailed:
				is.True(!c.complete)
				is.True(ended.Reason != "")
			default:
				is.Fail() // The minion was reached.
			}
			is.Equal(len(m.receivedMethods()), 1)
		})
	}
}

func TestRefusedConnectionIsReportedAsUnreached(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(listener.Close())
	_, ok := attendant.NewMinionClient(address, 32).Run(t.Context(), startWith(http.MethodPost, "b")).(runner.MinionUnreached)
	is.True(ok)
}

func TestCancelledCallFails(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	release := make(chan struct{})
	m := newRawMinion(t, func(net.Conn) {
		stop()
		<-release
	})
	_, ok := attendant.NewMinionClient(m.address(), 32).Run(ctx, startWith(http.MethodPost, "b")).(runner.MinionFailed)
	is.True(ok)
	close(release)
}

// BenchmarkMinion measures a call with a new connection per task.
func BenchmarkMinion(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	minion := attendant.NewMinionClient(netip.MustParseAddrPort(server.Listener.Addr().String()), 32)
	s := startWith(http.MethodPost, "b")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := minion.Run(b.Context(), s).(runner.MinionAnswered); !ok {
			b.Fatal("the minion gave no answer")
		}
	}
}

func TestUnreachableMinionRefusesTheStart(t *testing.T) {
	is := is.New(t)
	b := newTestAgent(t, 1, func(http.ResponseWriter, *http.Request) {})
	b.minion.Close()
	s := b.openLink(t.Context())
	is.NoErr(s.Send(startFrame(newStart(0, futureDeadline()))))
	got := b.receiveReports(s, 1)[0]
	is.Equal(got.State, task.Unstarted)
	is.Equal(got.Refusal, task.Unreachable)
	is.NoErr(b.agent.Close(t.Context()))
}

func TestDeadlineCancelsTheCall(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	b := newTestAgent(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(stopped)
	})
	s := b.openLink(t.Context())
	is.NoErr(s.Send(startFrame(newStart(0, time.Now().Add(300*time.Millisecond)))))
	got := b.receiveReports(s, 1)[0]
	is.Equal(got.State, task.Broken)
	is.Equal(got.Reason, "stopped at its deadline")
	<-stopped
	is.NoErr(s.Send(ackFrame(got)))
	is.NoErr(b.agent.Close(t.Context()))
}

func TestListenOnUsedAddressFails(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	_, err = attendant.New(attendant.Options{Settings: loader.Agent{
		Listen: listener.Addr().(*net.TCPAddr).AddrPort(), Slots: 1,
	}})
	is.True(strings.Contains(fmt.Sprint(err), "setting listen"))
}
