package greeter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"agatevalve/dialer"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// maxFetchTries is the number of calls to an owner after which it is
	// reported as lost.
	maxFetchTries = 3
	// meanRetryPause is the mean time between two calls.
	meanRetryPause = 100 * time.Millisecond
	// ownerSilenceTimeout is both the silence after which the connection to an
	// owner is pinged and the time allowed for the reply to the ping.
	ownerSilenceTimeout = 400 * time.Millisecond
	// deadlineMargin is added to a job's deadline, so that a reply which the
	// owner sends at the deadline still arrives.
	deadlineMargin = 50 * time.Millisecond
	// DefaultMaxAnswerBytes limits the size of another entry's answer.
	DefaultMaxAnswerBytes = 64 << 20
	// maxFetches limits the calls in flight.
	maxFetches = 4096
)

// OwnerClientOptions are the dependencies of an OwnerClient.
type OwnerClientOptions struct {
	Events Events
	// MaxAnswerBytes limits the size of one answer; 0 stands for the default.
	MaxAnswerBytes int
	Log            *slog.Logger
	Metrics        metrics.Registry
}

// OwnerClient fetches the answers of jobs that other entries own. The call is
// idempotent, and so it may be repeated.
type OwnerClient struct {
	o      OwnerClientOptions
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// slots is a semaphore for the calls in flight.
	slots       chan struct{}
	ownersAsked metrics.Counter
	ownersLost  metrics.Counter
}

// NewOwnerClient returns an OwnerClient without calls in flight.
func NewOwnerClient(o OwnerClientOptions) *OwnerClient {
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &OwnerClient{
		o:           o,
		ctx:         ctx,
		cancel:      cancel,
		slots:       make(chan struct{}, maxFetches),
		ownersAsked: metrics.GetOrRegisterCounter("owners-asked", o.Metrics),
		ownersLost:  metrics.GetOrRegisterCounter("owners-lost", o.Metrics),
	}
}

// FetchAnswer fetches an answer from the owner of a job. It returns at once;
// the result is an OwnerAnswered or OwnerLost event.
func (c *OwnerClient) FetchAnswer(q dispatcher.AskOwner) {
	c.ownersAsked.Inc(1)
	c.group.Go(func() {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
		case <-c.ctx.Done():
			return
		}
		c.o.Events.Put(c.ctx, c.fetchWithRetries(q))
	})
}

// Close cancels all calls and waits for them to return.
func (c *OwnerClient) Close() {
	c.cancel()
	c.group.Wait()
}

// fetchWithRetries returns the event for the outcome of up to maxFetchTries
// calls.
func (c *OwnerClient) fetchWithRetries(q dispatcher.AskOwner) dispatcher.Event {
	ctx, cancel := context.WithDeadline(c.ctx, q.Deadline.Add(deadlineMargin))
	defer cancel()
	var lastErr error
	for attempt := range maxFetchTries {
		if attempt > 0 {
			sleep(ctx, meanRetryPause/2+rand.N(meanRetryPause))
		}
		response, err := c.fetch(ctx, q)
		if err == nil {
			return c.parseResponse(q, response)
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	c.ownersLost.Inc(1)
	c.o.Log.Warn("greeter: Could not get the answer from the owner of a job", "owner", q.Claim.Owner.Name, "job", q.Claim.Job, "error", lastErr)
	return dispatcher.OwnerLost{Job: q.Claim.Job}
}

// fetch makes one call over a new connection. The owner replies when the job
// has ended.
func (c *OwnerClient) fetch(ctx context.Context, q dispatcher.AskOwner) (*v1.FetchResponse, error) {
	client := dialer.New(dialer.Options{PingAfter: ownerSilenceTimeout, PongTimeout: ownerSilenceTimeout})
	defer client.Close()
	owner := agatevalvev1connect.NewEntryServiceClient(
		client, "http://"+q.Claim.OwnerAddress.String(), connect.WithReadMaxBytes(c.o.MaxAnswerBytes), dialer.WithoutCompression(),
	)
	request := encoder.FetchToWire(q.Claim.Owner, dispatcher.AnswerRequested{
		Team:     q.Claim.Team,
		Job:      q.Claim.Job,
		Digest:   q.Claim.Digest,
		Deadline: q.Deadline,
	})
	response, err := owner.Fetch(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// parseResponse returns the event for a response. An owner that doesn't hold
// the job, as after a restart, replies with Known false.
func (c *OwnerClient) parseResponse(q dispatcher.AskOwner, response *v1.FetchResponse) dispatcher.Event {
	if !response.GetKnown() {
		return dispatcher.OwnerAnswered{Job: q.Claim.Job}
	}
	answer, err := encoder.AnswerFromWire(response.GetAnswer())
	if err != nil {
		c.o.Log.Warn("greeter: Dropped a malformed answer", "owner", q.Claim.Owner.Name, "job", q.Claim.Job, "error", err)
		return dispatcher.OwnerLost{Job: q.Claim.Job}
	}
	return dispatcher.OwnerAnswered{Job: q.Claim.Job, Known: true, Answer: answer}
}

// sleep returns after the given time, or as soon as ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
