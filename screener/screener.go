// Package screener keeps submissions from running whose callers have gone elsewhere.
// After an interruption the network delivers requests late, and the end of their
// connections a round trip after them. By then the caller may have submitted its job
// at another entry, which runs it. A request that may have been under way for that
// long therefore waits until its caller has been seen to stay.
package screener

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"agatevalve/common/clock"
	"agatevalve/common/work"
	"agatevalve/jobber"
)

const (
	// defaultResubmitDelay is the ResubmitDelay where the settings have none.
	defaultResubmitDelay = 1300 * time.Millisecond
	// freshnessMargin is subtracted from the resubmit delay, since the callers' clocks
	// and the handling of a request are not exact.
	freshnessMargin = 100 * time.Millisecond
	// confirmationDelay is the time in which the end of a connection follows the last
	// request on it: a round trip to callers in another availability zone, and the
	// time to notice it.
	confirmationDelay = 15 * time.Millisecond
)

// Jobs runs jobs.
type Jobs interface {
	// Submit runs a job and returns its result when it has ended.
	Submit(ctx context.Context, job work.Job) jobber.Result
	// UnstartedJobs returns the number of jobs of a route without a started task.
	UnstartedJobs(route string) int
}

// Options are the dependencies of a Screener.
type Options struct {
	Jobs Jobs
	// ResubmitDelay is the time after which a caller that has left may submit its job
	// at another entry; 0 for the default.
	ResubmitDelay time.Duration
	Log           *slog.Logger
	Metrics       metrics.Registry
}

// Screener passes the jobs of callers on. It is safe for concurrent use.
type Screener struct {
	options            Options
	delayed, abandoned metrics.Counter
}

// New returns a Screener.
func New(o Options) *Screener {
	if o.ResubmitDelay <= 0 {
		o.ResubmitDelay = defaultResubmitDelay
	}
	return &Screener{
		options:   o,
		delayed:   metrics.GetOrRegisterCounter("submissions-delayed", o.Metrics),
		abandoned: metrics.GetOrRegisterCounter("submissions-abandoned", o.Metrics),
	}
}

// connection is a caller's connection.
type connection struct {
	conn net.Conn

	mu sync.Mutex
	// usedAt is the time at which the connection was accepted or the last response on
	// it was written. A later request was sent after it.
	usedAt time.Time
}

// request is a request on a connection. What is known of its age is that it was sent
// after sentAfter.
type request struct {
	*connection

	sentAfter time.Time
}

// contextKey is the type of the keys of contexts.
type contextKey uint8

const (
	connectionKey contextKey = iota
	requestKey
)

// ConnContext adds a new connection to the context of its requests. It is for the
// field of this name of http.Server.
func (*Screener) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey, &connection{conn: conn, usedAt: clock.Now()})
}

// Handler returns a handler that notes when connections are used.
func (*Screener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		defer c.use()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey, request{connection: c, sentAfter: c.lastUse()})))
	})
}

func (c *connection) use() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usedAt = clock.Now()
}

func (c *connection) lastUse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usedAt
}

// UnstartedJobs returns the number of jobs of a route without a started task.
func (s *Screener) UnstartedJobs(route string) int { return s.options.Jobs.UnstartedJobs(route) }

// Submit runs a job and returns its result when it has ended. The job of a late
// request runs only if its caller stays.
func (s *Screener) Submit(ctx context.Context, job work.Job) jobber.Result {
	r, ok := ctx.Value(requestKey).(request)
	if !ok || !MayBeLate(job.Arrived, r.sentAfter, s.options.ResubmitDelay) {
		return s.options.Jobs.Submit(ctx, job)
	}
	s.delayed.Inc(1)
	r.acknowledge()
	timer := time.NewTimer(confirmationDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	// A process that waited for the processor may get to the timer first.
	if ctx.Err() == nil && !r.ended() {
		return s.options.Jobs.Submit(ctx, job)
	}
	s.abandoned.Inc(1)
	s.options.Log.Info("screener: The caller of a late request has left", "job", job.ID, "connection-quiet-for", job.Arrived.Sub(r.sentAfter))
	return jobber.Result{Outcome: work.Unfinished, Reason: "the caller has left"}
}

// MayBeLate reports whether a request that has arrived may be so old that its caller
// has submitted the job elsewhere, given a time after which it was sent.
func MayBeLate(arrived, sentAfter time.Time, resubmitDelay time.Duration) bool {
	return arrived.Sub(sentAfter) > resubmitDelay-freshnessMargin
}

// acknowledge makes the kernel acknowledge what it has received. It would otherwise
// wait for a response for some 40 ms, and the caller's kernel sends the end of the
// connection only after what it sends again has been acknowledged.
func (c *connection) acknowledge() {
	c.control(func(fd int) {
		// Without the option the end of the connection is only noticed later.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_QUICKACK, 1)
	})
}

// ended reports whether the kernel has received the end of the connection after the
// last request.
func (c *connection) ended() bool {
	ended := false
	c.control(func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
	})
	return ended
}

// control calls do with the descriptor of the connection if it is open and has one.
func (c *connection) control(do func(fd int)) {
	conn, ok := c.conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { do(int(fd)) }) // Fails on a closed connection, whose context ends.
	}
}
