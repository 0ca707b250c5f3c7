package coupler

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/clock"
	"agatevalve/common/ring"
	"agatevalve/common/work"
	"agatevalve/encoder"
	"agatevalve/jobber"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// waitInterval is the interval at which a stopping entry checks whether jobs of
// other entries are still to be answered.
const waitInterval = 5 * time.Millisecond

// RelayServerOptions are the dependencies of a RelayServer.
type RelayServerOptions struct {
	// TakeOver runs a job until it has ended or ctx ends. It returns false at once
	// if this entry does not take the job.
	TakeOver func(ctx context.Context, job work.Job) (jobber.Result, bool)
	// ProcessorMillis is the processor share of this entry in thousandths of a core;
	// 0 if unknown.
	ProcessorMillis int
	Log             *slog.Logger
}

// RelayServer runs the jobs that other entries hand over. A job is stopped when
// its entry withdraws it or is silent, before its caller may submit it again. It
// is safe for concurrent use.
type RelayServer struct {
	options RelayServerOptions
	// jobs counts the jobs without a result that was sent.
	jobs atomic.Int64
}

// NewRelayServer returns a server.
func NewRelayServer(o RelayServerOptions) *RelayServer { return &RelayServer{options: o} }

// Handle adds the handler for other entries to a mux.
func (s *RelayServer) Handle(mux *http.ServeMux) {
	mux.Handle(agatevalvev1connect.NewRelayServiceHandler(s, connect.WithReadMaxBytes(maxFrameBytes)))
}

// Wait waits until all jobs of other entries are answered, or ctx ends.
func (s *RelayServer) Wait(ctx context.Context) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for s.jobs.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// takenJobs are the jobs of one stream.
type takenJobs struct {
	mu sync.Mutex
	// cancels holds the functions that stop running jobs, by id.
	cancels map[string]context.CancelFunc
}

// Relay serves a stream from another entry until it is closed. It implements
// RelayServiceHandler.
func (s *RelayServer) Relay(ctx context.Context, stream *connect.BidiStream[v1.RelayJobs, v1.RelayResults]) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	process, err := encoder.ProcessFromWire(first.GetFrom())
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	hb := newHeartbeat(cancel)
	defer hb.stop()
	hb.frameReceived(true)
	results := ring.New[*v1.RelayResult](sendQueueSize)
	jobs := &takenJobs{cancels: make(map[string]context.CancelFunc)}
	go func() { cancel(s.readJobs(ctx, stream, jobs, results, hb)) }() // Ends with the stream.
	err = s.writeResults(ctx, stream, results, hb)
	cancel(err)
	results.Close()
	unsent, _ := results.TakeAll(nil)
	s.jobs.Add(-int64(len(unsent)))
	s.options.Log.Info("coupler: A stream from another entry was closed", "entry", process.Name, "cause", context.Cause(ctx), "error", err)
	return err
}

// readJobs starts and stops jobs until the stream ends.
func (s *RelayServer) readJobs(ctx context.Context, stream *connect.BidiStream[v1.RelayJobs, v1.RelayResults], jobs *takenJobs, results *ring.Ring[*v1.RelayResult], hb *heartbeat) error {
	for {
		frame, err := stream.Receive()
		if err != nil {
			return err
		}
		hb.frameReceived(true) // A stream is never idle, so that both ends notice silence soon.
		now := clock.Now()
		for _, wireJob := range frame.GetJobs() {
			job, err := jobFromWire(wireJob, now)
			if err != nil {
				s.options.Log.Warn("coupler: Did not take an invalid job of another entry", "error", err)
				s.jobs.Add(1)
				results.Put(ctx, resultToWire(wireJob.GetId(), jobber.Result{}, false))
				continue
			}
			s.start(ctx, job, jobs, results)
		}
		for _, id := range frame.GetWithdrawn() {
			jobs.cancel(id)
		}
	}
}

// start runs a job on a goroutine of its own, which queues the result.
func (s *RelayServer) start(ctx context.Context, job work.Job, jobs *takenJobs, results *ring.Ring[*v1.RelayResult]) {
	if ctx.Err() != nil {
		return
	}
	jobCtx, cancel := context.WithCancel(ctx)
	jobs.add(job.ID, cancel)
	s.jobs.Add(1)
	go func() { // Ends with the job, or with the stream.
		result, taken := s.options.TakeOver(jobCtx, job)
		jobs.cancel(job.ID) // Before the result, after which the job may come again.
		if !results.Put(ctx, resultToWire(job.ID, result, taken)) {
			s.jobs.Add(-1)
		}
	}()
}

func (t *takenJobs) add(id string, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[id] = cancel
}

func (t *takenJobs) cancel(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel := t.cancels[id]; cancel != nil {
		cancel()
		delete(t.cancels, id)
	}
}

// writeResults sends queued results, or a probe if none was queued for a probe
// interval. The first frame is a probe, which shows the other entry that this one
// takes jobs.
func (s *RelayServer) writeResults(ctx context.Context, stream *connect.BidiStream[v1.RelayJobs, v1.RelayResults], results *ring.Ring[*v1.RelayResult], hb *heartbeat) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	if err := stream.Send(&v1.RelayResults{ProcessorMillis: uint32(s.options.ProcessorMillis)}); err != nil {
		return err
	}
	timer.Reset(hb.frameSent(true))
	var queued []*v1.RelayResult
	for {
		select {
		case <-ctx.Done():
			return connect.NewError(connect.CodeUnavailable, context.Cause(ctx))
		case <-timer.C:
		case <-results.Ready():
		}
		queued, _ = results.TakeAll(queued[:0])
		err := stream.Send(&v1.RelayResults{Results: queued})
		s.jobs.Add(-int64(len(queued)))
		if err != nil {
			return err
		}
		timer.Reset(hb.frameSent(true))
		queued = nil
	}
}
