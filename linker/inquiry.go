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
	// maxInquiries limits the Settle and Fence calls in flight.
	maxInquiries = 64
	// minRetryPause and maxRetryPause bound the mean backoff between two tries
	// of a call.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	// inquirySilenceTimeout is both the silence after which the connection of a
	// call is pinged and the time allowed for the reply to the ping.
	inquirySilenceTimeout = 250 * time.Millisecond
)

// Settle asks an agent, over a new connection, for the state of attempts whose
// link broke. It returns at once; the result is a Settled or SettleFailed
// event.
func (l *Linker) Settle(peer dispatcher.Peer, tasks []dispatcher.AttemptRef) {
	request := encoder.SettleToWire(peer.Process, tasks)
	deadline := latestDeadline(tasks)
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
			l.o.Log.Warn("linker: Could not get the state of tasks from an agent", "agent", peer.Process.Name, "tasks", len(tasks), "error", err)
			l.publish(dispatcher.SettleFailed{Agent: peer.Process, Gone: isOtherIncarnation(err), Attempts: tasks})
			return
		}
		l.publish(dispatcher.Settled{Agent: peer.Process, Reports: reports})
	})
}

// Fence asks an agent, over a new connection, to refuse starts of a job from
// its former owners. It returns at once; the result is a Fenced or FenceFailed
// event.
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
			l.publish(dispatcher.FenceFailed{Job: f.Job, Agent: f.Agent.Process})
			return
		}
		l.publish(dispatcher.Fenced{Job: f.Job, Agent: f.Agent.Process, Reports: reports})
	})
}

// inquiry is a Settle or Fence call to an agent. It is idempotent.
type inquiry func(context.Context, agatevalvev1connect.AgentServiceClient) error

// inquire repeats a call, each time over a new connection, until the agent
// answers, another incarnation of the agent answers, or the deadline passes.
func (l *Linker) inquire(peer dispatcher.Peer, deadline time.Time, call inquiry) error {
	ctx, cancel := context.WithDeadline(l.inquiryCtx, deadline)
	defer cancel()
	pause := minRetryPause
	var lastErr error
	for {
		err := l.inquireOnce(ctx, peer, call)
		if err == nil || isOtherIncarnation(err) {
			return err
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err
		}
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return lastErr
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// inquireOnce makes one call. It has no timeout besides that for a silent
// connection, because a long answer may take a while to transfer.
func (l *Linker) inquireOnce(ctx context.Context, peer dispatcher.Peer, call inquiry) error {
	select {
	case l.inquiries <- struct{}{}:
		defer func() { <-l.inquiries }()
	case <-ctx.Done():
		return ctx.Err()
	}
	l.counters.inquiries.Inc(1)
	client := dialer.New(dialer.Options{PingAfter: inquirySilenceTimeout, PongTimeout: inquirySilenceTimeout})
	defer client.Close()
	agent := agatevalvev1connect.NewAgentServiceClient(
		client, "http://"+peer.Address.String(), connect.WithReadMaxBytes(l.o.MaxMessageBytes), dialer.WithoutCompression(),
	)
	err := call(ctx, agent)
	if err != nil {
		l.counters.inquiryErrors.Inc(1)
	}
	return err
}

// isOtherIncarnation reports whether the call was refused because the process
// at the address has another incarnation.
func isOtherIncarnation(err error) bool {
	return connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeFailedPrecondition
}

// latestDeadline returns the latest deadline of the attempts.
func latestDeadline(tasks []dispatcher.AttemptRef) time.Time {
	var deadline time.Time
	for _, ref := range tasks {
		if ref.Deadline.After(deadline) {
			deadline = ref.Deadline
		}
	}
	return deadline
}

// sleep reports false if ctx ends before the pause is over.
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
