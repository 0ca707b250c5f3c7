package dialer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"agatevalve/dialer"
)

// serve starts a server that counts requests. With abortFirst set, it aborts
// the connection of the first request.
func serve(t *testing.T, count *atomic.Int32, abortFirst bool) string {
	t.Helper()
	handler := func(w http.ResponseWriter, _ *http.Request) {
		if count.Add(1) == 1 && abortFirst {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(handler))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

func get(t *testing.T, c *dialer.Client, url string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestOneConnectionCarriesSeveralCalls(t *testing.T) {
	is := is.New(t)
	var count atomic.Int32
	url := serve(t, &count, false)
	c := dialer.New(dialer.Options{})
	defer c.Close()
	is.NoErr(get(t, c, url))
	is.NoErr(get(t, c, url))
	is.Equal(count.Load(), int32(2))
}

func TestBrokenCallIsNotResent(t *testing.T) {
	is := is.New(t)
	var count atomic.Int32
	url := serve(t, &count, true)
	c := dialer.New(dialer.Options{})
	defer c.Close()
	is.True(get(t, c, url) != nil)
	is.Equal(count.Load(), int32(1)) // The request may have been executed, so it must not be resent.
}

func TestClosedClientNeverDialsAgain(t *testing.T) {
	is := is.New(t)
	var count atomic.Int32
	url := serve(t, &count, false)
	c := dialer.New(dialer.Options{})
	is.NoErr(get(t, c, url))
	c.Close()
	is.True(get(t, c, url) != nil)
	is.Equal(count.Load(), int32(1))
}

func TestBrokenConnectionIsNotReplaced(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var accepted atomic.Int32
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_, _ = conn.Read(make([]byte, 64)) // A part of the request has been received.
			_ = conn.Close()
		}
	}()
	c := dialer.New(dialer.Options{})
	defer c.Close()
	url := "http://" + listener.Addr().String()
	is.True(get(t, c, url) != nil)
	is.True(get(t, c, url) != nil)
	is.NoErr(listener.Close())
	<-done
	is.Equal(accepted.Load(), int32(1))
}
