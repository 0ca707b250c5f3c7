package attendant

import (
	"context"
	"errors"
	"sync"

	"connectrpc.com/connect"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/encoder"
	"agatevalve/runner"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// maxAnswerBytes caps the response bodies in one answer to Settle or Fence.
// Entries accept larger messages, to leave room for headers.
const maxAnswerBytes = 32 << 20

var _ agatevalvev1connect.AgentServiceHandler = (*Attendant)(nil)

// Settle returns the states of the attempts in the request.
func (a *Attendant) Settle(
	ctx context.Context, request *connect.Request[v1.SettleRequest],
) (*connect.Response[v1.SettleResponse], error) {
	if err := a.checkRecipient(request.Msg.GetTo()); err != nil {
		return nil, toConnectError(err)
	}
	_, tasks, err := encoder.SettleFromWire(request.Msg)
	if err != nil {
		return nil, toConnectError(err)
	}
	answer, err := askCore[runner.AnswerSettle](ctx, a, func(t runner.Ticket) runner.Event {
		return runner.SettleRequested{Ticket: t, Attempts: tasks}
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	reports := encoder.ReportsToWire(limitResponses(answer.Reports))
	return connect.NewResponse(&v1.SettleResponse{Reports: reports}), nil
}

// Fence forbids starts of a job with a lower generation, and returns the states
// of its attempts.
func (a *Attendant) Fence(
	ctx context.Context, request *connect.Request[v1.FenceRequest],
) (*connect.Response[v1.FenceResponse], error) {
	if err := a.checkRecipient(request.Msg.GetTo()); err != nil {
		return nil, toConnectError(err)
	}
	fence, err := encoder.FenceFromWire(request.Msg)
	if err != nil {
		return nil, toConnectError(err)
	}
	answer, err := askCore[runner.AnswerFence](ctx, a, func(t runner.Ticket) runner.Event {
		return runner.FenceRequested{Ticket: t, Fence: fence}
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	reports := encoder.ReportsToWire(limitResponses(answer.Reports))
	return connect.NewResponse(&v1.FenceResponse{Reports: reports}), nil
}

// Drain makes the agent refuse new starts, or accept them again. The process
// keeps running, so that an operator can revert the drain.
func (a *Attendant) Drain(
	ctx context.Context, request *connect.Request[v1.DrainRequest],
) (*connect.Response[v1.DrainResponse], error) {
	leave := request.Msg.GetLeave()
	if !leave && a.stopping.Load() {
		return nil, toConnectError(errStopped())
	}
	a.options.Logger.Info("attendant: Drain requested", "leave", leave, "who", request.Msg.GetWho())
	answer, err := a.drain(ctx, leave)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&v1.DrainResponse{Load: encoder.LoadToWire(answer.Load)}), nil
}

// drain passes a drain request to the core.
func (a *Attendant) drain(ctx context.Context, leave bool) (runner.AnswerDrain, error) {
	return askCore[runner.AnswerDrain](ctx, a, func(t runner.Ticket) runner.Event {
		return runner.DrainRequested{Ticket: t, Leave: leave}
	})
}

// checkRecipient refuses a message for another incarnation of the agent. The
// refusal doesn't say whether that one ran anything.
func (a *Attendant) checkRecipient(m *v1.Process) error {
	to, err := encoder.ProcessFromWire(m)
	if err != nil {
		return err
	}
	if to != a.self {
		return fault.New(fault.Conflict, "wait for the next announcement, and treat what was sent as possibly started",
			"agent %s has incarnation %d; the message is for %s with incarnation %d",
			a.self.Name, a.self.Incarnation, to.Name, to.Incarnation)
	}
	return nil
}

// limitResponses removes the responses that exceed the size of one answer. It
// reports their attempts as Running, so that the entry asks again.
func limitResponses(reports []task.Report) []task.Report {
	size := 0
	for i, r := range reports {
		size += len(r.Response.Body)
		if size > maxAnswerBytes && size > len(r.Response.Body) && r.State == task.Finished {
			reports[i] = task.Report{Task: r.Task, Attempt: r.Attempt, State: task.Running}
			size -= len(r.Response.Body)
		}
	}
	return reports
}

// pendingRequests correlates requests to the core with its answers, by ticket.
type pendingRequests struct {
	mu      sync.Mutex
	last    runner.Ticket
	waiting map[runner.Ticket]chan runner.Command
}

// open returns a new ticket and the channel of its answer.
func (t *pendingRequests) open() (runner.Ticket, chan runner.Command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = make(map[runner.Ticket]chan runner.Command)
	}
	t.last++
	answer := make(chan runner.Command, 1)
	t.waiting[t.last] = answer
	return t.last, answer
}

// close forgets a ticket; a later answer to it is dropped.
func (t *pendingRequests) close(ticket runner.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, ticket)
}

// deliver passes an answer to the request that waits for it, if any.
func (t *pendingRequests) deliver(ticket runner.Ticket, answer runner.Command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.waiting[ticket]; ok {
		c <- answer
		delete(t.waiting, ticket)
	}
}

// askCore sends an event to the core and waits for the answer of type T.
func askCore[T runner.Command](ctx context.Context, a *Attendant, event func(runner.Ticket) runner.Event) (T, error) {
	var zero T
	ticket, answers := a.pending.open()
	defer a.pending.close(ticket)
	if !a.inputs.Put(ctx, loopInput{event: event(ticket)}) {
		return zero, errStopped()
	}
	select {
	case answer := <-answers:
		if r, ok := answer.(runner.Reject); ok {
			return zero, r.Err
		}
		return answer.(T), nil
	case <-a.ctx.Done():
		return zero, errStopped()
	case <-ctx.Done():
		return zero, fault.Wrap(ctx.Err(), fault.Uncertain, "ask again", "nobody waits for the answer")
	}
}

// toConnectError gives an error the Connect code on which entries act:
// FailedPrecondition means a message for another incarnation, and nothing else.
func toConnectError(err error) error {
	if err == nil {
		return nil
	}
	var coded *connect.Error
	if errors.As(err, &coded) {
		return err
	}
	code := connect.CodeInternal
	switch fault.KindOf(err) {
	case fault.Invalid:
		code = connect.CodeInvalidArgument
	case fault.Conflict:
		code = connect.CodeFailedPrecondition
	case fault.Unavailable:
		code = connect.CodeUnavailable
	case fault.Expired:
		code = connect.CodeOutOfRange
	case fault.Uncertain:
		code = connect.CodeDeadlineExceeded
	}
	return connect.NewError(code, err)
}
