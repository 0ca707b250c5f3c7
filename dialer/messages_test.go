package dialer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"agatevalve/dialer"
)

// startStream sends a streaming request with the body, and returns a function that
// returns what the server reads next, as the transport sent it: in one piece for
// each DATA frame.
func startStream(t *testing.T, body io.Reader) (next func() []byte) {
	t.Helper()
	pieces := make(chan []byte)
	handler := func(_ http.ResponseWriter, r *http.Request) {
		defer close(pieces)
		for {
			piece := make([]byte, 64<<10)
			n, err := r.Body.Read(piece)
			if n > 0 {
				pieces <- piece[:n]
			}
			if err != nil {
				return
			}
		}
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(handler))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	c := dialer.New(dialer.Options{})
	t.Cleanup(c.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, body)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if response, err := c.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	return func() []byte { return <-pieces }
}

// prefix returns the prefix of a message of this size.
func prefix(size int) []byte { return binary.BigEndian.AppendUint32([]byte{0}, uint32(size)) }

func TestMessageIsSentInOnePiece(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	next := startStream(t, reader)
	for _, content := range []string{"one", "", "another message"} {
		message := append(prefix(len(content)), content...)
		go func() {
			_, _ = writer.Write(message[:5])
			if content != "" {
				_, _ = writer.Write(message[5:])
			}
		}()
		is.Equal(string(next()), string(message))
	}
	is.NoErr(writer.Close())
	is.Equal(next(), nil)
}

// A message may be larger than what the transport reads at once.
func TestLargeMessageArrivesUnchanged(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	next := startStream(t, reader)
	content := bytes.Repeat([]byte("0123456789"), 10_000)
	go func() {
		for range 2 {
			_, _ = writer.Write(prefix(len(content)))
			_, _ = writer.Write(content)
		}
		_ = writer.Close()
	}()
	var received []byte
	for piece := next(); piece != nil; piece = next() {
		received = append(received, piece...)
	}
	message := append(prefix(len(content)), content...)
	is.True(bytes.Equal(received, append(bytes.Clone(message), message...)))
}

// A body that is not a stream of messages is not held back.
func TestBodyOfAnotherFormatIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	next := startStream(t, reader)
	for _, text := range []string{"abc", "defgh", "a longer text"} {
		go func() { _, _ = writer.Write([]byte(text)) }()
		is.Equal(string(next()), text)
	}
	is.NoErr(writer.Close())
}

func TestStreamThatEndsWithinAMessageIsPassedOn(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	next := startStream(t, reader)
	go func() {
		_, _ = writer.Write(prefix(10))
		_ = writer.Close()
	}()
	is.Equal(string(next()), string(prefix(10)))
	is.Equal(next(), nil)
}
