package connector

import (
	"io"
	"sync"
	"time"
)

const (
	// maxPatience bounds the progress deadline, in multiples of its base.
	maxPatience = 16
	// patienceMargin is the progress deadline in multiples of the last answer's time.
	patienceMargin = 4
)

// patience is the progress deadline of new calls. It doubles with each silent
// call, so that a service that got slow is heard again, and follows the time
// of the answers down.
type patience struct {
	base time.Duration
	mu   sync.Mutex
	// limit lies between base and maxPatience*base.
	limit time.Duration
}

func newPatience(base time.Duration) *patience {
	return &patience{base: base, limit: base}
}

func (p *patience) grow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = min(2*p.limit, maxPatience*p.base)
}

func (p *patience) follow(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = min(max(patienceMargin*took, p.base), maxPatience*p.base)
}

// watch starts the progress deadline of one call. It calls onSilence when no
// touch came in time.
func (p *patience) watch(onSilence func()) *watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &watch{
		patience: p,
		limit:    p.limit,
		began:    time.Now(),
		timer:    time.AfterFunc(p.limit, onSilence),
	}
}

// watch is the progress deadline of one call.
type watch struct {
	patience *patience
	limit    time.Duration
	began    time.Time
	timer    *time.Timer
}

// touch records progress.
func (w *watch) touch() {
	if w.timer.Stop() {
		w.timer.Reset(w.limit)
	}
}

// stop ends the watch.
func (w *watch) stop() { w.timer.Stop() }

// succeed tells how long the call took, for the calls to come.
func (w *watch) succeed() { w.patience.follow(time.Since(w.began)) }

type watchedReader struct {
	source io.Reader
	watch  *watch
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.watch.touch()
	}
	return n, err
}
