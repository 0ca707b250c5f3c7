package connector

import (
	"io"
	"sync"
	"time"
)

const (
	// maxTimeoutFactor is the longest progress timeout in multiples of its base.
	maxTimeoutFactor = 16
	// latencyFactor is the progress timeout in multiples of the latency of the last
	// successful call.
	latencyFactor = 4
)

// adaptiveTimeout is the progress timeout of new calls, which all calls of a client
// share. It doubles with each call that times out, so that calls succeed again
// when the service has become slower, and follows the latency of successful
// calls.
type adaptiveTimeout struct {
	base time.Duration
	mu   sync.Mutex
	// timeout is from base to maxTimeoutFactor*base.
	timeout time.Duration
}

func newAdaptiveTimeout(base time.Duration) *adaptiveTimeout {
	return &adaptiveTimeout{base: base, timeout: base}
}

// increase doubles the timeout after a call that made no progress.
func (a *adaptiveTimeout) increase() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timeout = min(2*a.timeout, maxTimeoutFactor*a.base)
}

// adapt sets the timeout after a successful call.
func (a *adaptiveTimeout) adapt(latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timeout = min(max(latencyFactor*latency, a.base), maxTimeoutFactor*a.base)
}

// startWatchdog starts the progress timeout of one call. It calls onTimeout if the
// watchdog is not reset in time.
func (a *adaptiveTimeout) startWatchdog(onTimeout func()) *watchdog {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &watchdog{
		adaptive: a,
		timeout:  a.timeout,
		started:  time.Now(),
		timer:    time.AfterFunc(a.timeout, onTimeout),
	}
}

// watchdog is the timer of one call that expires when no byte is sent or received.
type watchdog struct {
	adaptive *adaptiveTimeout
	timeout  time.Duration
	started  time.Time
	timer    *time.Timer
}

// reset restarts the timer, unless it has expired.
func (w *watchdog) reset() {
	if w.timer.Stop() {
		w.timer.Reset(w.timeout)
	}
}

// stop stops the timer.
func (w *watchdog) stop() { w.timer.Stop() }

// recordLatency adapts the timeout of later calls to the duration of this one.
func (w *watchdog) recordLatency() { w.adaptive.adapt(time.Since(w.started)) }

// progressReader resets a watchdog whenever bytes are read from source.
type progressReader struct {
	source   io.Reader
	watchdog *watchdog
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.watchdog.reset()
	}
	return n, err
}
