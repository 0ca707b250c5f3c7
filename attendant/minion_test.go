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

// rawMinion answers each connection by hand, and keeps the requests it read.
type rawMinion struct {
	listener net.Listener
	serving  sync.WaitGroup
	mu       sync.Mutex
	methods  []string
}

func newRawMinion(t *testing.T, answer func(net.Conn)) *rawMinion {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	m := &rawMinion{listener: listener}
	m.serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.serving.Go(func() { m.serve(conn, answer) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		m.serving.Wait()
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

func (m *rawMinion) seen() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.methods
}

func callWith(method, body string) task.Start {
	s := start(0, soon())
	s.Request.Method = method
	s.Request.Body = []byte(body)
	return s
}

// TestNothingIsSentAgain lets the minion read each request and hang up, after
// an answer that invites the client to keep the connection. A client that keeps
// it sends a request without body again.
func TestNothingIsSentAgain(t *testing.T) {
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
				minion := attendant.NewMinion(m.address(), mebibyte)
				s := callWith(method, "")
				if key != "" {
					s.Request.Header.Set("Idempotency-Key", key)
				}
				_, ok := minion.Run(t.Context(), s).(runner.MinionAnswered)
				is.True(ok)
				_, ok = minion.Run(t.Context(), s).(runner.MinionFailed)
				is.True(ok)
				is.Equal(m.seen(), []string{method, method})
			})
		}
	}
}

func TestOnlyWholeAnswersCount(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		whole  bool
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
			switch ended := attendant.NewMinion(m.address(), 32).Run(t.Context(), callWith(http.MethodPost, "b")).(type) {
			case runner.MinionAnswered:
				is.True(c.whole)
				is.Equal(ended.Response.Header.Get("A B"), "")
			case runner.MinionFailed:
				is.True(!c.whole)
				is.True(ended.Reason != "")
			default:
				is.Fail() // The minion was reached.
			}
			is.Equal(len(m.seen()), 1)
		})
	}
}

func TestUnreachedMinionIsProofOfNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(listener.Close())
	_, ok := attendant.NewMinion(address, 32).Run(t.Context(), callWith(http.MethodPost, "b")).(runner.MinionUnreached)
	is.True(ok)
}

func TestStoppedCallEnds(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	release := make(chan struct{})
	m := newRawMinion(t, func(net.Conn) {
		stop()
		<-release
	})
	_, ok := attendant.NewMinion(m.address(), 32).Run(ctx, callWith(http.MethodPost, "b")).(runner.MinionFailed)
	is.True(ok)
	close(release)
}

// BenchmarkMinion gives what a new connection for each task costs.
func BenchmarkMinion(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	minion := attendant.NewMinion(netip.MustParseAddrPort(server.Listener.Addr().String()), 32)
	s := callWith(http.MethodPost, "b")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := minion.Run(b.Context(), s).(runner.MinionAnswered); !ok {
			b.Fatal("no answer")
		}
	}
}

func TestAgentWithoutMinionRefuses(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1, func(http.ResponseWriter, *http.Request) {})
	b.minion.Close()
	s := b.link(t.Context())
	is.NoErr(s.Send(frameOf(start(0, soon()))))
	got := b.results(s, 1)[0]
	is.Equal(got.State, task.Unstarted)
	is.Equal(got.Refusal, task.Unreachable)
	is.NoErr(b.agent.Close(t.Context()))
}

func TestDeadlineStopsTheCall(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	b := newBench(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(stopped)
	})
	s := b.link(t.Context())
	is.NoErr(s.Send(frameOf(start(0, time.Now().Add(300*time.Millisecond)))))
	got := b.results(s, 1)[0]
	is.Equal(got.State, task.Broken)
	is.Equal(got.Reason, "stopped at its deadline")
	<-stopped
	is.NoErr(s.Send(ack(got)))
	is.NoErr(b.agent.Close(t.Context()))
}

func TestListenOnTakenAddress(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	_, err = attendant.New(attendant.Options{Settings: loader.Agent{
		Listen: listener.Addr().(*net.TCPAddr).AddrPort(), Slots: 1,
	}})
	is.True(strings.Contains(fmt.Sprint(err), "setting listen"))
}
