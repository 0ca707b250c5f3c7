package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/connector"
	"agatevalve/emulator"
	"agatevalve/tabler"
)

var (
	rowA   = tabler.Key{Table: "t", Row: "a"}
	writeA = []tabler.Write{{Key: rowA, Value: []byte("one")}}
	// anyStore is the address of services behind an in-memory connection.
	anyStore = netip.MustParseAddrPort("127.0.0.1:1")
)

// newClient returns a client of a test server with the given handler.
func newClient(t *testing.T, handler http.Handler) *connector.Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := connector.New(connector.Options{Store: netip.MustParseAddrPort(server.Listener.Addr().String())})
	t.Cleanup(client.Close)
	return client
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	client := newClient(t, emulator.Handler(emulator.NewTable(emulator.Options{})))
	result, err := client.Commit(ctx, writeA)
	is.NoErr(err)
	is.Equal(result, tabler.Result{Applied: true, Conflicts: []tabler.Row{}})
	stored := []tabler.Row{{Key: rowA, Version: 1, Value: []byte("one")}}

	result, err = client.Commit(ctx, writeA)
	is.NoErr(err)
	is.Equal(result, tabler.Result{Conflicts: stored})
	rows, err := client.Read(ctx, []tabler.Key{rowA, {Table: "t", Row: "b"}})
	is.NoErr(err)
	is.Equal(rows, stored)
	rows, err = client.Scan(ctx, "t", "")
	is.NoErr(err)
	is.Equal(rows, stored)
}

func TestFaultsOfTheService(t *testing.T) {
	tests := []struct {
		name  string
		fault emulator.Fault
		kind  fault.Kind
	}{
		{"down", emulator.Fault{Kind: emulator.Down}, fault.Unavailable},
		{"lost reply", emulator.Fault{Kind: emulator.LoseReplies}, fault.Uncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := emulator.NewTable(emulator.Options{})
			client := newClient(t, emulator.Handler(table))
			is.NoErr(table.SetFault(tt.fault))
			_, err := client.Commit(t.Context(), writeA)
			is.Equal(fault.KindOf(err), tt.kind)
			_, err = client.Read(t.Context(), []tabler.Key{rowA})
			is.Equal(fault.KindOf(err), fault.Unavailable)
			table.ClearFaults()
			rows, err := client.Read(t.Context(), []tabler.Key{rowA})
			is.NoErr(err)
			is.Equal(len(rows) == 1, tt.kind == fault.Uncertain)
		})
	}
}

func TestRefusedTransactionIsNotUncertain(t *testing.T) {
	is := is.New(t)
	client := newClient(t, emulator.Handler(emulator.NewTable(emulator.Options{MaxBytes: 1})))
	_, err := client.Commit(t.Context(), writeA)
	is.Equal(fault.KindOf(err), fault.TooLarge)
}

func TestUnreachableServiceIsUnavailable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	server.Close()
	client := connector.New(connector.Options{Store: address})
	_, err := client.Commit(t.Context(), writeA)
	is.Equal(fault.KindOf(err), fault.Unavailable)
}

func TestMalformedReplies(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
	}{
		{"empty", 200, ""},
		{"missing fields", 200, "{}"},
		{"contradiction", 200, `{"applied": false}`},
		{"both", 200, `{"applied": true, "conflicts": [{"table": "t", "row": "a", "version": 1}]}`},
		{"unexpected row", 200, `{"applied": false, "conflicts": [{"table": "t", "row": "z", "version": 1}]}`},
		{"conflict of the expected version", 200, `{"applied": false, "conflicts": [{"table": "t", "row": "a"}]}`},
		{"type", 200, `{"applied": "yes"}`},
		{"status without refusal", 503, "busy"},
		{"refusal of kind internal", 500, `{"kind": "internal", "text": "x", "remedy": "y"}`},
		{"redirect", 307, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			_, err := client.Commit(t.Context(), writeA)
			is.Equal(fault.KindOf(err), fault.Uncertain)
			is.Equal(calls.Load(), int32(1))
		})
	}
}

func TestMalformedRows(t *testing.T) {
	for _, body := range []string{
		"", "{}", `{"rows": [{"table": "t", "row": "z", "version": 1}]}`, `{"rows": [{"table": "t", "row": "a"}]}`,
		`{"rows": [{"table": "t", "row": "a", "version": 1}, {"table": "t", "row": "a", "version": 1}]}`,
	} {
		is := is.New(t)
		client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		_, err := client.Read(t.Context(), []tabler.Key{rowA})
		is.Equal(fault.KindOf(err), fault.Invalid)
		_, err = client.Scan(t.Context(), "t", "a")
		is.Equal(fault.KindOf(err), fault.Invalid)
	}
}

// pipeDialer opens in-memory connections. It numbers them from 1 and runs serve for
// each in a goroutine.
type pipeDialer struct {
	dialed atomic.Int32
	serve  func(number int32, connection net.Conn)
}

func (p *pipeDialer) dial(context.Context, string, string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	number := p.dialed.Add(1)
	go func() {
		defer func() { _ = serverEnd.Close() }()
		p.serve(number, serverEnd)
	}()
	return clientEnd, nil
}

const appliedReply = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"applied\":true}"

// serveOneRequest reads a whole request and writes reply.
func serveOneRequest(reader *bufio.Reader, connection net.Conn, reply string) error {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	_, err = io.WriteString(connection, reply)
	return err
}

// If a pooled connection closes before the response, net/http resends a request
// that it considers repeatable. A commit must not be resent, and its error must
// say whether the service received the whole request.
func TestCutConnectionIsNotResent(t *testing.T) {
	tests := []struct {
		name string
		// readSecondRequest reads a part of the second request before the connection
		// is closed.
		readSecondRequest func(reader *bufio.Reader)
		kind              fault.Kind
	}{
		{"after the whole request", func(r *bufio.Reader) { _ = serveOneRequest(r, discardConn{}, "") }, fault.Uncertain},
		{"within the header", func(r *bufio.Reader) { _, _ = r.ReadByte() }, fault.Unavailable},
		{"without reading", func(*bufio.Reader) {}, fault.Unavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var requests atomic.Int32
				p := &pipeDialer{serve: func(_ int32, connection net.Conn) {
					reader := bufio.NewReaderSize(connection, 16) // A larger buffer would read ahead.
					if serveOneRequest(reader, connection, appliedReply) != nil {
						return
					}
					requests.Add(1)
					if _, err := reader.Peek(1); err != nil {
						return
					}
					requests.Add(1)
					tt.readSecondRequest(reader)
				}}
				client := connector.New(connector.Options{Store: anyStore, Dial: p.dial})
				defer client.Close()
				_, err := client.Commit(t.Context(), writeA)
				is.NoErr(err)
				synctest.Wait()
				large := []tabler.Write{{Key: rowA, Value: []byte(strings.Repeat("x", 100<<10))}}
				_, err = client.Commit(t.Context(), large)
				is.Equal(fault.KindOf(err), tt.kind)
				is.True(strings.Contains(err.Error(), anyStore.String())) // The error names the address.
				synctest.Wait()
				is.Equal(p.dialed.Load(), int32(1)) // A resend would open a second connection.
				is.Equal(requests.Load(), int32(2))
			})
		})
	}
}

// discardConn discards all writes.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error) { return len(p), nil }

func TestStalledConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipeDialer{serve: func(number int32, connection net.Conn) {
			reader := bufio.NewReader(connection)
			if number == 1 {
				_, _ = io.Copy(io.Discard, reader) // It reads requests but never responds.
				return
			}
			for serveOneRequest(reader, connection, appliedReply) == nil {
			}
		}}
		client := connector.New(connector.Options{Store: anyStore, Dial: p.dial, ProgressTimeout: time.Second})
		defer client.Close()
		started := time.Now()
		_, err := client.Commit(t.Context(), writeA)
		is.Equal(fault.KindOf(err), fault.Uncertain)
		is.Equal(time.Since(started), time.Second)
		_, err = client.Commit(t.Context(), writeA)
		is.NoErr(err)
		is.Equal(p.dialed.Load(), int32(2))
	})
}

func TestIdleConnectionsAreClosedAfterAStalledOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipeDialer{serve: func(number int32, connection net.Conn) {
			reader := bufio.NewReader(connection)
			time.Sleep(time.Millisecond) // Keeps both first calls open at the same time.
			if serveOneRequest(reader, connection, appliedReply) != nil {
				return
			}
			if number <= 2 {
				_, _ = io.Copy(io.Discard, reader)
				return
			}
			for serveOneRequest(reader, connection, appliedReply) == nil {
			}
		}}
		client := connector.New(connector.Options{Store: anyStore, Dial: p.dial, ProgressTimeout: time.Second})
		defer client.Close()
		done := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := client.Commit(t.Context(), writeA)
				done <- err
			}()
		}
		is.NoErr(<-done)
		is.NoErr(<-done)
		synctest.Wait()
		is.Equal(p.dialed.Load(), int32(2))
		_, err := client.Commit(t.Context(), writeA) // Uses one of the two connections, which no longer respond.
		is.Equal(fault.KindOf(err), fault.Uncertain)
		_, err = client.Commit(t.Context(), writeA)
		is.NoErr(err)
		is.Equal(p.dialed.Load(), int32(3))
	})
}

func TestTimeoutGrowsUntilASlowServiceAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipeDialer{serve: func(_ int32, connection net.Conn) {
			reader := bufio.NewReader(connection)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return
				}
				time.Sleep(3 * time.Second)
				_, _ = io.WriteString(connection, appliedReply)
			}
		}}
		client := connector.New(connector.Options{Store: anyStore, Dial: p.dial, ProgressTimeout: time.Second})
		defer client.Close()
		var kinds []fault.Kind
		for range 3 {
			_, err := client.Commit(t.Context(), writeA)
			kinds = append(kinds, fault.KindOf(err))
			if err == nil {
				break
			}
		}
		is.Equal(kinds, []fault.Kind{fault.Uncertain, fault.Uncertain, fault.Internal}) // KindOf(nil) is Internal: the third call succeeds.
		client.Close()
		time.Sleep(time.Minute)
	})
}

func TestResponseIsBounded(t *testing.T) {
	is := is.New(t)
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for range 20 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	_, err := client.Commit(t.Context(), writeA)
	is.Equal(fault.KindOf(err), fault.Uncertain)
	is.True(strings.Contains(err.Error(), "exceeds"))
}
