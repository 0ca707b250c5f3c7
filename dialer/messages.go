package dialer

import (
	"encoding/binary"
	"io"
	"net/http"
)

// prefixBytes is the size of the prefix of each message in a stream: one byte of
// flags and four bytes for the size of the message.
const prefixBytes = 5

// messageTransport sends the messages of streaming requests in one piece each. The
// RPC library writes the prefix of a message and its content one after the other,
// and the HTTP/2 transport would send each in a packet of its own.
type messageTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t messageTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body != nil && request.Body != http.NoBody && request.ContentLength <= 0 {
		request = request.Clone(request.Context())
		request.Body = &messageBody{ReadCloser: request.Body}
	}
	return t.RoundTripper.RoundTrip(request)
}

// messageBody reads the prefix of a message together with its content. It passes a
// body of any other format on unchanged.
type messageBody struct {
	io.ReadCloser

	// remaining is the number of bytes of the current message that were not read
	// yet.
	remaining int64
	// opaque is true once a read was not aligned with the messages.
	opaque bool
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.opaque || n == 0 {
		return n, err
	}
	if b.remaining > 0 {
		b.advance(n)
		return n, err
	}
	if n != prefixBytes {
		b.opaque = true
		return n, err
	}
	b.remaining = int64(binary.BigEndian.Uint32(p[1:prefixBytes]))
	if err != nil || b.remaining == 0 || n == len(p) {
		return n, err
	}
	content, err := b.ReadCloser.Read(p[n:])
	b.advance(content)
	return n + content, err
}

// advance records that n bytes of the current message were read.
func (b *messageBody) advance(n int) {
	b.remaining -= int64(n)
	b.opaque = b.remaining < 0
}
