package coupler

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/clock"
	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/common/work"
	"agatevalve/dialer"
	"agatevalve/encoder"
	"agatevalve/jobber"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// relayIdleTimeout is the time without jobs after which a stream to another
	// entry is closed.
	relayIdleTimeout = 6 * time.Second
	// maxRelayedSpec is the largest specification of a job that is handed over, in
	// bytes, and maxRelayedBytes that of all jobs in a frame.
	maxRelayedSpec  = 64 << 10
	maxRelayedBytes = 4 << 20
	// relayReopenDelay is the minimum time between two attempts to open a stream to
	// the same entry.
	relayReopenDelay = 300 * time.Millisecond
)

// errIdle closes a stream that has carried no jobs for relayIdleTimeout.
var errIdle = errors.New("no jobs were handed over")

// RelayClientOptions are the dependencies of a RelayClient.
type RelayClientOptions struct {
	Self task.Process
	Log  *slog.Logger
}

// RelayClient carries jobs to other entries over one stream each, which it opens
// when the first job is to be carried. It implements relayer.Carrier and is safe
// for concurrent use.
type RelayClient struct {
	options RelayClientOptions
	ctx     context.Context
	cancel  context.CancelFunc

	mu         sync.Mutex
	streams    map[netip.AddrPort]*relayStream
	goroutines sync.WaitGroup
}

// relayStream is a stream to one entry. Its fields are guarded by the mutex of the
// client.
type relayStream struct {
	// queue holds what is to be sent; nil unless open.
	queue *ring.Ring[relayMessage]
	// closeStream ends the stream; nil before the first one.
	closeStream context.CancelCauseFunc
	// open is true from the first frame of the other entry to the end of the stream.
	open bool
	// reopenAt is the earliest time of the next attempt to open it.
	reopenAt time.Time
	// lastJobAt is the time of the last job or result.
	lastJobAt time.Time
	// pending holds the jobs without a result, by id; nil unless open.
	pending map[string]func(jobber.Result, bool)
	// running is true while a goroutine connects or serves it.
	running bool
	// capacity is the processor share of the entry in thousandths of a core; 0 if
	// unknown.
	capacity int
}

// relayMessage is a job to carry, or the id of one to withdraw.
type relayMessage struct {
	job       work.Job
	withdrawn string
}

// NewRelayClient returns a client without streams.
func NewRelayClient(o RelayClientOptions) *RelayClient {
	ctx, cancel := context.WithCancel(context.Background())
	return &RelayClient{options: o, ctx: ctx, cancel: cancel, streams: make(map[netip.AddrPort]*relayStream)}
}

// Carry implements relayer.Carrier. Without an open stream it opens one for later
// jobs and returns false.
func (c *RelayClient) Carry(peer netip.AddrPort, job work.Job, done func(jobber.Result, bool)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.streams[peer]
	if s == nil {
		s = &relayStream{}
		c.streams[peer] = s
	}
	now := clock.Now()
	if !s.open {
		if !s.running && !now.Before(s.reopenAt) && c.ctx.Err() == nil {
			s.running, s.reopenAt = true, now.Add(relayReopenDelay)
			c.goroutines.Go(func() { c.connectAndServe(peer, s) })
		}
		return false
	}
	if len(job.Spec) > maxRelayedSpec || s.pending[job.ID] != nil || !s.queue.Offer(relayMessage{job: job}) {
		return false
	}
	s.pending[job.ID], s.lastJobAt = done, now
	return true
}

// Capacity implements relayer.Carrier.
func (c *RelayClient) Capacity(peer netip.AddrPort) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[peer]; s != nil {
		return s.capacity
	}
	return 0
}

// Withdraw implements relayer.Carrier.
func (c *RelayClient) Withdraw(peer netip.AddrPort, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.streams[peer]; s != nil && s.open && !s.queue.Offer(relayMessage{withdrawn: id}) {
		s.closeStream(errUnresponsive) // The queue is full. The end of the stream withdraws all.
	}
}

// Close closes all streams and waits for their goroutines.
func (c *RelayClient) Close() {
	c.mu.Lock()
	c.cancel() // Nothing is opened after it.
	c.mu.Unlock()
	c.goroutines.Wait()
}

// connectAndServe opens a stream and serves it until it is closed.
func (c *RelayClient) connectAndServe(peer netip.AddrPort, s *relayStream) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	defer c.markStopped(s)
	client := dialer.New(dialer.Options{ConnectTimeout: connectTimeout, PingAfter: transportPingDelay})
	defer client.Close()
	stop := context.AfterFunc(ctx, client.Close)
	defer stop()
	service := agatevalvev1connect.NewRelayServiceClient(client, "http://"+peer.String(), connect.WithReadMaxBytes(maxFrameBytes), dialer.WithoutCompression())
	hb := newHeartbeat(cancel)
	defer hb.stop()
	hb.frameReceived(true)
	stream := service.Relay(ctx)
	// Send reports only that the stream has ended; Receive returns the cause.
	_ = stream.Send(&v1.RelayJobs{From: encoder.ProcessToWire(c.options.Self)})
	first, err := stream.Receive()
	if err != nil {
		c.options.Log.Info("coupler: Could not open a stream to another entry", "entry", peer, "error", err)
		return
	}
	queue := c.markOpen(s, int(first.GetProcessorMillis()), cancel)
	var writer sync.WaitGroup
	writer.Go(func() { cancel(c.writeJobs(ctx, stream, s, queue, hb)) })
	cancel(c.readResults(stream, s, hb))
	writer.Wait()
	c.options.Log.Info("coupler: A stream to another entry was closed", "entry", peer, "cause", context.Cause(ctx))
}

func (c *RelayClient) markOpen(s *relayStream, capacity int, closeStream context.CancelCauseFunc) *ring.Ring[relayMessage] {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.capacity, s.closeStream = capacity, closeStream
	s.open, s.queue, s.pending, s.lastJobAt = true, ring.New[relayMessage](sendQueueSize), make(map[string]func(jobber.Result, bool)), clock.Now()
	return s.queue
}

// markStopped ends a stream. Its jobs may have run at the other entry, which stops
// them when it notices.
func (c *RelayClient) markStopped(s *relayStream) {
	c.mu.Lock()
	pending := s.pending
	s.open, s.running, s.pending, s.queue = false, false, nil, nil
	c.mu.Unlock()
	for _, done := range pending {
		done(jobber.Result{Outcome: work.Unfinished, Reason: "the entry that ran it was lost"}, true)
	}
}

// readResults handles results until the stream ends.
func (c *RelayClient) readResults(stream *connect.BidiStreamForClient[v1.RelayJobs, v1.RelayResults], s *relayStream, hb *heartbeat) error {
	for {
		frame, err := stream.Receive()
		if err != nil {
			return err
		}
		hb.frameReceived(true) // A stream is never idle, so that both ends notice silence soon.
		for _, r := range frame.GetResults() {
			result, taken, err := resultFromWire(r)
			if err != nil {
				return err
			}
			if done := c.takePending(s, r.GetJob()); done != nil {
				done(result, taken)
			}
		}
	}
}

// takePending removes a job without a result; nil if it was withdrawn or is
// unknown.
func (c *RelayClient) takePending(s *relayStream, id string) func(jobber.Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := s.pending[id]
	delete(s.pending, id)
	s.lastJobAt = clock.Now()
	return done
}

// writeJobs sends queued jobs, or a probe if none was queued for a probe interval,
// until the stream is idle.
func (c *RelayClient) writeJobs(ctx context.Context, stream *connect.BidiStreamForClient[v1.RelayJobs, v1.RelayResults], s *relayStream, queue *ring.Ring[relayMessage], hb *heartbeat) error {
	timer := time.NewTimer(activeProbeInterval)
	defer timer.Stop()
	var messages []relayMessage
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		case <-queue.Ready():
		}
		messages, _ = queue.TakeUpTo(messages[:0], maxRelayedBytes/maxRelayedSpec)
		if len(messages) == 0 && c.closeIfIdle(s) {
			return errIdle
		}
		now := clock.Now()
		frame := &v1.RelayJobs{}
		for _, m := range messages {
			if m.withdrawn != "" {
				frame.Withdrawn = append(frame.Withdrawn, m.withdrawn)
				continue
			}
			frame.Jobs = append(frame.Jobs, jobToWire(m.job, now))
		}
		clear(messages)
		if err := stream.Send(frame); err != nil {
			return err
		}
		timer.Reset(hb.frameSent(true))
	}
}

// closeIfIdle marks a stream as closed if it has carried nothing for long.
func (c *RelayClient) closeIfIdle(s *relayStream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(s.pending) > 0 || s.queue.Len() > 0 || clock.Since(s.lastJobAt) < relayIdleTimeout {
		return false
	}
	s.open = false
	return true
}
