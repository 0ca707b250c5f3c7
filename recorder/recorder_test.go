package recorder_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/recorder"
)

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stalledWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

func TestLoggingDoesNotBlockOnStalledWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stalledWriter{release: make(chan struct{})}
		r := recorder.New(out, 10)
		log := r.Logger(slog.LevelInfo)
		start := time.Now()
		for range 100 {
			log.Info("scheduler: Answered a job")
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.True(r.Dropped() > 0)
		close(out.release)
		time.Sleep(time.Second)
		r.Close()
		is.True(strings.Contains(out.String(), `"msg":"recorder: Dropped log lines","lines":`))
	})
}

func TestCloseDoesNotWaitForStalledWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stalledWriter{release: make(chan struct{})}
		r := recorder.New(out, 10)
		r.Logger(slog.LevelInfo).Info("launcher: Stopped")
		start := time.Now()
		r.Close()
		is.True(time.Since(start) <= time.Second)
		close(out.release)
		time.Sleep(time.Second)
	})
}
