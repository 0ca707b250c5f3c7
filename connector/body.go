package connector

import (
	"errors"
	"io"
	"sync"
)

var errSealed = errors.New("the call has ended")

// onceBody is a request body that is sent at most once and knows whether its
// end was handed out. It has no GetBody, so that net/http can't rewind it.
type onceBody struct {
	size  int
	touch func()
	mu    sync.Mutex
	// rest is what was not handed out yet.
	rest []byte
	// sealed means that nothing more is handed out.
	sealed bool
}

func newOnceBody(content []byte, touch func()) *onceBody {
	return &onceBody{size: len(content), rest: content, touch: touch}
}

// Read hands out the next bytes, unless the body is sealed.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return 0, errSealed
	}
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	b.touch()
	return n, nil
}

// Close does nothing; seal ends the body.
func (b *onceBody) Close() error { return nil }

// seal stops the body for good, and reports whether all of it was handed out.
// When it wasn't, the service can't have received a whole request.
func (b *onceBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return len(b.rest) == 0
}
