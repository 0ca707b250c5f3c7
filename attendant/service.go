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

// maxAnswerBytes caps the responses in one answer to Settle or Fence. Entries
// read larger messages, which also hold headers.
const maxAnswerBytes = 32 << 20

var _ agatevalvev1connect.AgentServiceHandler = (*Attendant)(nil)

// Settle answers a question about attempts.
func (a *Attendant) Settle(
	ctx context.Context, request *connect.Request[v1.SettleRequest],
) (*connect.Response[v1.SettleResponse], error) {
	if err := a.checkTarget(request.Msg.GetTo()); err != nil {
		return nil, asConnect(err)
	}
	_, tasks, err := encoder.SettleFromWire(request.Msg)
	if err != nil {
		return nil, asConnect(err)
	}
	answer, err := ask[runner.AnswerSettle](ctx, a, func(t runner.Ticket) runner.Event {
		return runner.SettleRequested{Ticket: t, Attempts: tasks}
	})
	if err != nil {
		return nil, asConnect(err)
	}
	reports := encoder.ReportsToWire(bounded(answer.Reports))
	return connect.NewResponse(&v1.SettleResponse{Reports: reports}), nil
}

// Fence forbids the starts of a job below a generation.
func (a *Attendant) Fence(
	ctx context.Context, request *connect.Request[v1.FenceRequest],
) (*connect.Response[v1.FenceResponse], error) {
	if err := a.checkTarget(request.Msg.GetTo()); err != nil {
		return nil, asConnect(err)
	}
	fence, err := encoder.FenceFromWire(request.Msg)
	if err != nil {
		return nil, asConnect(err)
	}
	answer, err := ask[runner.AnswerFence](ctx, a, func(t runner.Ticket) runner.Event {
		return runner.FenceRequested{Ticket: t, Fence: fence}
	})
	if err != nil {
		return nil, asConnect(err)
	}
	reports := encoder.ReportsToWire(bounded(answer.Reports))
	return connect.NewResponse(&v1.FenceResponse{Reports: reports}), nil
}

// Drain makes the agent leave, or stay again. It does not end the process, so
// that an operator can take it back.
func (a *Attendant) Drain(
	ctx context.Context, request *connect.Request[v1.DrainRequest],
) (*connect.Response[v1.DrainResponse], error) {
	leave := request.Msg.GetLeave()
	if !leave && a.stopping.Load() {
		return nil, asConnect(errStopped())
	}
	a.o.Logger.Info("attendant: Drain asked for", "leave", leave, "who", request.Msg.GetWho())
	answer, err := a.drain(ctx, leave)
	if err != nil {
		return nil, asConnect(err)
	}
	return connect.NewResponse(&v1.DrainResponse{Load: encoder.LoadToWire(answer.Load)}), nil
}

func (a *Attendant) drain(ctx context.Context, leave bool) (runner.AnswerDrain, error) {
	return ask[runner.AnswerDrain](ctx, a, func(t runner.Ticket) runner.Event {
		return runner.DrainRequested{Ticket: t, Leave: leave}
	})
}

// checkTarget refuses a message to another run of the agent. The refusal says
// nothing about starts.
func (a *Attendant) checkTarget(m *v1.Process) error {
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

// bounded takes the responses out of the reports beyond what one answer may
// hold. Their state becomes Running, so that the entry asks again.
func bounded(reports []task.Report) []task.Report {
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

// tickets joins calls to the answers of the core.
type tickets struct {
	mu      sync.Mutex
	last    runner.Ticket
	waiting map[runner.Ticket]chan runner.Command
}

func (t *tickets) open() (runner.Ticket, chan runner.Command) {
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

func (t *tickets) close(ticket runner.Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, ticket)
}

// deliver gives an answer to its call, unless nobody waits for it any more.
func (t *tickets) deliver(ticket runner.Ticket, answer runner.Command) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.waiting[ticket]; ok {
		c <- answer
		delete(t.waiting, ticket)
	}
}

// ask hands an event to the core and waits for the answer of type T.
func ask[T runner.Command](ctx context.Context, a *Attendant, event func(runner.Ticket) runner.Event) (T, error) {
	var none T
	ticket, answers := a.tickets.open()
	defer a.tickets.close(ticket)
	if !a.inputs.Put(ctx, input{event: event(ticket)}) {
		return none, errStopped()
	}
	select {
	case answer := <-answers:
		if r, ok := answer.(runner.Reject); ok {
			return none, r.Err
		}
		return answer.(T), nil
	case <-a.ctx.Done():
		return none, errStopped()
	case <-ctx.Done():
		return none, fault.Wrap(ctx.Err(), fault.Uncertain, "ask again", "nobody waits for the answer")
	}
}

// asConnect gives an error the code that entries act upon: only a message to
// another incarnation is a failed precondition.
func asConnect(err error) error {
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
