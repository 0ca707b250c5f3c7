package coupler

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
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
	// jobs counts the jobs that run.
	jobs sync.WaitGroup
}

// NewRelayServer returns a server.
func NewRelayServer(o RelayServerOptions) *RelayServer { return &RelayServer{options: o} }

// Handle adds the handler for other entries to a mux.
func (s *RelayServer) Handle(mux *http.ServeMux) {
	mux.Handle(agatevalvev1connect.NewRelayServiceHandler(s, connect.WithReadMaxBytes(maxFrameBytes)))
}

// Wait waits until no job of another entry runs, or ctx ends.
func (s *RelayServer) Wait(ctx context.Context) {
	idle := make(chan struct{})
	go func() {
		s.jobs.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
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
		hb.frameReceived(len(frame.GetJobs())+len(frame.GetWithdrawn()) > 0)
		now := clock.Now()
		for _, wireJob := range frame.GetJobs() {
			job, err := jobFromWire(wireJob, now)
			if err != nil {
				return connect.NewError(connect.CodeInvalidArgument, err)
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
	ctx, cancel := context.WithCancel(ctx)
	jobs.add(job.ID, cancel)
	s.jobs.Go(func() {
		defer jobs.cancel(job.ID)
		result, taken := s.options.TakeOver(ctx, job)
		results.Put(ctx, resultToWire(job.ID, result, taken))
	})
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
	timer.Reset(hb.frameSent(false))
	var queued []*v1.RelayResult
	for {
		select {
		case <-ctx.Done():
			return connect.NewError(connect.CodeUnavailable, context.Cause(ctx))
		case <-timer.C:
		case <-results.Ready():
		}
		queued, _ = results.TakeAll(queued[:0])
		if err := stream.Send(&v1.RelayResults{Results: queued}); err != nil {
			return err
		}
		timer.Reset(hb.frameSent(len(queued) > 0))
		queued = nil
	}
}
