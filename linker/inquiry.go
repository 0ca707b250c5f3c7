package linker

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/task"
	"agatevalve/dialer"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// maxInquiries caps the settle and fence calls in flight.
	maxInquiries = 64
	// firstRetry and lastRetry bound the pause between two tries of a call.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// answerSilence bounds the silence of the connection of one try.
	answerSilence = 250 * time.Millisecond
)

// Settle asks an agent over a new connection about attempts whose link broke,
// and gives Settled or SettleFailed. It returns at once.
func (l *Linker) Settle(peer dispatcher.Peer, tasks []dispatcher.AttemptRef) {
	request := encoder.SettleToWire(peer.Process, tasks)
	deadline := latest(tasks)
	l.group.Go(func() {
		var reports []task.Report
		err := l.inquire(peer, deadline, func(ctx context.Context, agent agatevalvev1connect.AgentServiceClient) error {
			response, err := agent.Settle(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			reports, err = encoder.ReportsFromWire(response.Msg.GetReports())
			return err
		})
		if err != nil {
			l.o.Log.Warn("linker: Could not settle tasks with an agent", "agent", peer.Process.Name, "tasks", len(tasks), "error", err)
			l.put(dispatcher.SettleFailed{Agent: peer.Process, Gone: isGone(err), Attempts: tasks})
			return
		}
		l.put(dispatcher.Settled{Agent: peer.Process, Reports: reports})
	})
}

// Fence asks an agent over a new connection to refuse the starts of older
// owners of a job, and gives Fenced or FenceFailed. It returns at once.
func (l *Linker) Fence(f dispatcher.Fence) {
	request := encoder.FenceToWire(f)
	l.group.Go(func() {
		var reports []task.Report
		err := l.inquire(f.Agent, f.Deadline, func(ctx context.Context, agent agatevalvev1connect.AgentServiceClient) error {
			response, err := agent.Fence(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			reports, err = encoder.ReportsFromWire(response.Msg.GetReports())
			return err
		})
		if err != nil {
			l.o.Log.Warn("linker: Could not fence a job at an agent", "agent", f.Agent.Process.Name, "job", f.Job, "error", err)
			l.put(dispatcher.FenceFailed{Job: f.Job, Agent: f.Agent.Process})
			return
		}
		l.put(dispatcher.Fenced{Job: f.Job, Agent: f.Agent.Process, Reports: reports})
	})
}

type inquiry func(context.Context, agatevalvev1connect.AgentServiceClient) error

// inquire repeats an idempotent call, each try over a new connection, until it
// is answered, the agent's run is known to have ended, or the deadline passes.
func (l *Linker) inquire(peer dispatcher.Peer, deadline time.Time, call inquiry) error {
	ctx, cancel := context.WithDeadline(l.asking, deadline)
	defer cancel()
	pause := firstRetry
	var last error
	for {
		err := l.try(ctx, peer, call)
		if err == nil || isGone(err) {
			return err
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return last
		}
		pause = min(2*pause, lastRetry)
	}
}

// try makes one call. Only the silence of its connection is bounded, because a
// long answer may take a while.
func (l *Linker) try(ctx context.Context, peer dispatcher.Peer, call inquiry) error {
	select {
	case l.inquiries <- struct{}{}:
		defer func() { <-l.inquiries }()
	case <-ctx.Done():
		return ctx.Err()
	}
	l.counters.inquiries.Inc(1)
	client := dialer.New(dialer.Options{PingAfter: answerSilence, PongWithin: answerSilence})
	defer client.Close()
	agent := agatevalvev1connect.NewAgentServiceClient(
		client, "http://"+peer.Address.String(), connect.WithReadMaxBytes(l.o.MessageBytes), dialer.Plain(),
	)
	err := call(ctx, agent)
	if err != nil {
		l.counters.inquiryErrors.Inc(1)
	}
	return err
}

// isGone reports whether a process of another incarnation answered.
func isGone(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeFailedPrecondition
}

func latest(tasks []dispatcher.AttemptRef) time.Time {
	var deadline time.Time
	for _, s := range tasks {
		if s.Deadline.After(deadline) {
			deadline = s.Deadline
		}
	}
	return deadline
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
