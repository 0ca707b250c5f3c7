package listener_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/listener"
)

// echo serves requests by returning their bodies, on connections whose reads are
// buffered.
func echo(t *testing.T) string {
	t.Helper()
	l, err := listener.Open("test", netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	l.BufferReads()
	l.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	}), 16<<10, slog.New(slog.DiscardHandler))
	t.Cleanup(func() { _ = l.Stop(context.Background()) })
	return l.Address().String()
}

func TestBufferedConnectionsCarryBothProtocols(t *testing.T) {
	address := echo(t)
	for name, choose := range map[string]func(*http.Protocols, bool){
		"HTTP/1.1": (*http.Protocols).SetHTTP1, "HTTP/2.0": (*http.Protocols).SetUnencryptedHTTP2,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			transport := &http.Transport{Protocols: new(http.Protocols)}
			choose(transport.Protocols, true)
			defer transport.CloseIdleConnections()
			for _, size := range []int{0, 1, 5000, 300_000} {
				sent := bytes.Repeat([]byte("x"), size)
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(sent))
				is.NoErr(err)
				response, err := transport.RoundTrip(request)
				is.NoErr(err)
				received, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.NoErr(response.Body.Close())
				is.Equal(response.Proto, name)
				is.True(bytes.Equal(received, sent))
			}
		})
	}
}

// Two requests that arrive in one packet are both answered.
func TestBufferedConnectionKeepsWhatFollowsARequest(t *testing.T) {
	is := is.New(t)
	conn, err := net.Dial("tcp", echo(t))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	request := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	_, err = conn.Write([]byte(request + request))
	is.NoErr(err)
	var received []byte
	for bytes.Count(received, []byte("abc")) < 2 {
		piece := make([]byte, 4096)
		n, err := conn.Read(piece)
		is.NoErr(err)
		received = append(received, piece[:n]...)
	}
}
