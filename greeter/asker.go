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
	// askTries is how often an owner is tried before it counts as lost.
	askTries = 3
	// askPause is the mean pause between two tries.
	askPause = 100 * time.Millisecond
	// ownerSilence bounds the silence of the connection to an owner.
	ownerSilence = 400 * time.Millisecond
	// askMargin is added to a deadline, so that the owner's own reply at the
	// deadline still arrives.
	askMargin = 50 * time.Millisecond
	// DefaultAnswerBytes caps the answer of another entry.
	DefaultAnswerBytes = 64 << 20
	// mostAsked caps the questions in flight.
	mostAsked = 4096
)

// AskerOptions are the dependencies of an Asker.
type AskerOptions struct {
	Events Events
	// AnswerBytes caps one answer; 0 takes the default.
	AnswerBytes int
	Log         *slog.Logger
	Metrics     metrics.Registry
}

// Asker waits for the answers of jobs that other entries own. A question is
// idempotent and may be repeated.
type Asker struct {
	o      AskerOptions
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// slots caps the questions in flight.
	slots chan struct{}
	asked metrics.Counter
	lost  metrics.Counter
}

// NewAsker returns an asker without questions.
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
		o:      o,
		ctx:    ctx,
		cancel: cancel,
		slots:  make(chan struct{}, mostAsked),
		asked:  metrics.GetOrRegisterCounter("owners-asked", o.Metrics),
		lost:   metrics.GetOrRegisterCounter("owners-lost", o.Metrics),
	}
}

// Ask waits for an owner's answer and gives OwnerAnswered or OwnerLost. It
// returns at once.
func (a *Asker) Ask(question dispatcher.AskOwner) {
	a.asked.Inc(1)
	a.group.Go(func() {
		select {
		case a.slots <- struct{}{}:
			defer func() { <-a.slots }()
		case <-a.ctx.Done():
			return
		}
		a.o.Events.Put(a.ctx, a.ask(question))
	})
}

// Close ends all questions.
func (a *Asker) Close() {
	a.cancel()
	a.group.Wait()
}

func (a *Asker) ask(q dispatcher.AskOwner) dispatcher.Event {
	ctx, cancel := context.WithDeadline(a.ctx, q.Deadline.Add(askMargin))
	defer cancel()
	var last error
	for try := range askTries {
		if try > 0 {
			pause(ctx, askPause/2+rand.N(askPause))
		}
		response, err := a.fetch(ctx, q)
		if err == nil {
			return a.answered(q, response)
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	a.lost.Inc(1)
	a.o.Log.Warn("greeter: Lost the owner of a job", "owner", q.Claim.Owner.Name, "job", q.Claim.Job, "error", last)
	return dispatcher.OwnerLost{Job: q.Claim.Job}
}

func (a *Asker) fetch(ctx context.Context, q dispatcher.AskOwner) (*v1.FetchResponse, error) {
	client := dialer.New(dialer.Options{PingAfter: ownerSilence, PongWithin: ownerSilence})
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

// answered maps a response. An owner that doesn't hold the job, as after a
// restart, says so with Known false.
func (a *Asker) answered(q dispatcher.AskOwner, response *v1.FetchResponse) dispatcher.Event {
	if !response.GetKnown() {
		return dispatcher.OwnerAnswered{Job: q.Claim.Job}
	}
	answer, err := encoder.AnswerFromWire(response.GetAnswer())
	if err != nil {
		a.o.Log.Warn("greeter: Dropped an answer", "owner", q.Claim.Owner.Name, "job", q.Claim.Job, "error", err)
		return dispatcher.OwnerLost{Job: q.Claim.Job}
	}
	return dispatcher.OwnerAnswered{Job: q.Claim.Job, Known: true, Answer: answer}
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
