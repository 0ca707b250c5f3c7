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
	// DefaultAnswerBytes limits the size of another entry's answer.
	DefaultAnswerBytes = 64 << 20
	// maxFetches limits the calls in flight.
	maxFetches = 4096
)

// AskerOptions are the dependencies of an Asker.
type AskerOptions struct {
	Events Events
	// AnswerBytes limits the size of one answer; 0 stands for the default.
	AnswerBytes int
	Log         *slog.Logger
	Metrics     metrics.Registry
}

// Asker fetches the answers of jobs that other entries own. The call is
// idempotent, and so it may be repeated.
type Asker struct {
	o      AskerOptions
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// slots is a semaphore for the calls in flight.
	slots       chan struct{}
	ownersAsked metrics.Counter
	ownersLost  metrics.Counter
}

// NewAsker returns an asker without calls in flight.
func NewAsker(o AskerOptions) *Asker {
	if o.AnswerBytes == 0 {
		o.AnswerBytes = DefaultAnswerBytes
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Asker{
		o:           o,
		ctx:         ctx,
		cancel:      cancel,
		slots:       make(chan struct{}, maxFetches),
		ownersAsked: metrics.GetOrRegisterCounter("owners-asked", o.Metrics),
		ownersLost:  metrics.GetOrRegisterCounter("owners-lost", o.Metrics),
	}
}

// Ask fetches an answer from the owner of a job. It returns at once; the result
// is an OwnerAnswered or OwnerLost event.
func (a *Asker) Ask(question dispatcher.AskOwner) {
	a.ownersAsked.Inc(1)
	a.group.Go(func() {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		case <-a.ctx.Done():
			return
		}
		a.o.Events.Put(a.ctx, a.fetchWithRetries(question))
	})
}

// Close cancels all calls and waits for them to return.
func (a *Asker) Close() {
	a.cancel()
	a.group.Wait()
}

// fetchWithRetries returns the event for the outcome of up to maxFetchTries
// calls.
func (a *Asker) fetchWithRetries(q dispatcher.AskOwner) dispatcher.Event {
	ctx, cancel := context.WithDeadline(a.ctx, q.Deadline.Add(deadlineMargin))
	defer cancel()
	var lastErr error
	for attempt := range maxFetchTries {
		if attempt > 0 {
			sleep(ctx, meanRetryPause/2+rand.N(meanRetryPause))
		}
		response, err := a.fetch(ctx, q)
		if err == nil {
			return a.parseResponse(q, response)
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	a.ownersLost.Inc(1)
	a.o.Log.Warn("greeter: Could not get the answer from the owner of a job", "owner", q.Claim.Owner.Name, "job", q.Claim.Job, "error", lastErr)
	return dispatcher.OwnerLost{Job: q.Claim.Job}
}

// fetch makes one call over a new connection. The owner replies when the job
// has ended.
func (a *Asker) fetch(ctx context.Context, q dispatcher.AskOwner) (*v1.FetchResponse, error) {
	client := dialer.New(dialer.Options{PingAfter: ownerSilenceTimeout, PongWithin: ownerSilenceTimeout})
	defer client.Close()
	owner := agatevalvev1connect.NewEntryServiceClient(
		client, "http://"+q.Claim.OwnerAddress.String(), connect.WithReadMaxBytes(a.o.AnswerBytes), dialer.Plain(),
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
func (a *Asker) parseResponse(q dispatcher.AskOwner, response *v1.FetchResponse) dispatcher.Event {
	if !response.GetKnown() {
		return dispatcher.OwnerAnswered{Job: q.Claim.Job}
	}
	answer, err := encoder.AnswerFromWire(response.GetAnswer())
	if err != nil {
		a.o.Log.Warn("greeter: Dropped a malformed answer", "owner", q.Claim.Owner.Name, "job", q.Claim.Job, "error", err)
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
