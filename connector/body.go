package connector

import (
	"errors"
	"io"
	"sync"
)

var errBodyStopped = errors.New("the call has ended")

// singleUseBody is a request body that can be read only once and records whether
// it was read to its end. It has no GetBody, so net/http can't rewind it to send
// the request again.
type singleUseBody struct {
	size int
	// onProgress is called by each Read that returns bytes.
	onProgress func()
	mu         sync.Mutex
	unread     []byte
	// stopped is true if further reads fail.
	stopped bool
}

func newSingleUseBody(content []byte, onProgress func()) *singleUseBody {
	return &singleUseBody{size: len(content), unread: content, onProgress: onProgress}
}

// Read returns the next bytes, or errBodyStopped after stop.
func (b *singleUseBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, errBodyStopped
	}
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	b.onProgress()
	return n, nil
}

// Close does nothing, as stop ends the body.
func (b *singleUseBody) Close() error { return nil }

// stop makes all further reads fail and reports whether the body was read to its
// end. If not, the service can't have received a complete request.
func (b *singleUseBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	return len(b.unread) == 0
}
