// Package recorder writes structured logs without ever blocking the goroutine that
// logs. Lines are queued in a bounded ring. When it is full, lines are dropped and
// counted, and the count is logged as a line of its own.
package recorder

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"agatevalve/common/ring"
)

const (
	// DefaultCapacity is the default maximum number of queued lines. At about 250
	// bytes each they take a megabyte.
	DefaultCapacity = 4096
	// batchInterval is the pause between two writes, for which lines are batched.
	batchInterval = 50 * time.Millisecond
	// closeTimeout limits how long Close waits for a stalled writer.
	closeTimeout = 200 * time.Millisecond
)

// Recorder queues the lines of a logger and writes them in the background. It is
// safe for concurrent use.
type Recorder struct {
	out       io.Writer
	queue     *ring.Ring[[]byte]
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// New starts a recorder that writes to out and queues at most capacity lines; 0
// means DefaultCapacity.
func New(out io.Writer, capacity int) *Recorder {
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	r := &Recorder{out: out, queue: ring.New[[]byte](capacity), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.writeLines()
	}()
	return r
}

// Logger returns a logger that writes JSON lines to the recorder.
func (r *Recorder) Logger(level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(r, &slog.HandlerOptions{Level: level}))
}

// Write queues one line, or drops it if the queue is full. It never blocks and
// never returns an error.
func (r *Recorder) Write(line []byte) (int, error) {
	if !r.queue.Offer(bytes.Clone(line)) {
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Close writes the queued lines. It gives up after closeTimeout if the writer is
// stalled.
func (r *Recorder) Close() {
	r.closeOnce.Do(r.queue.Close)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	}
}

// writeLines writes queued lines in batches until the queue is closed and empty.
func (r *Recorder) writeLines() {
	var reported int64 // The number of dropped lines that were reported in the log.
	var lines [][]byte
	var batch bytes.Buffer
	for {
		<-r.queue.Ready()
		var open bool
		lines, open = r.queue.TakeAll(lines[:0])
		batch.Reset()
		for _, line := range lines {
			batch.Write(line)
		}
		clear(lines)
		if dropped := r.dropped.Load(); dropped > reported {
			fmt.Fprintf(&batch, `{"time":%q,"level":"WARN","msg":"recorder: Dropped log lines","lines":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), dropped-reported)
			reported = dropped
		}
		if batch.Len() > 0 {
			_, _ = r.out.Write(batch.Bytes()) // There is nowhere else to report that the log can't be written.
		}
		if !open {
			return
		}
		time.Sleep(batchInterval)
	}
}
