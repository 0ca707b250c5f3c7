package linker_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
	v1 "agatevalve/wire/agatevalvev1"
)

// relay passes bytes between a linker and an agent, and can stop passing those
// of the connections that it has, while new ones work.
type relay struct {
	t        *testing.T
	listener net.Listener
	target   netip.AddrPort
	group    sync.WaitGroup

	mu sync.Mutex
	// pause is the time that each read of the agent's bytes costs.
	pause time.Duration
	// mute is the number of the newest connection that passes nothing.
	mute  int
	conns []net.Conn
	count int
}

func newRelay(t *testing.T, target netip.AddrPort, pause time.Duration) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, listener: listener, target: target, pause: pause}
	r.group.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// silence stops all present connections from passing bytes. They stay open.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mute = r.count
}

func (r *relay) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.group.Wait()
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.count++
		number := r.count
		r.conns = append(r.conns, near, far)
		r.mu.Unlock()
		r.group.Go(func() { r.pass(number, near, far, 0) })
		r.group.Go(func() { r.pass(number, far, near, r.pause) })
	}
}

func (r *relay) pass(number int, from, to net.Conn, pause time.Duration) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		time.Sleep(pause)
		if n > 0 && !r.isMute(number) {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (r *relay) isMute(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return number <= r.mute
}

func TestSilentLinkIsSettledOverANewConnection(t *testing.T) {
	arrived := make(chan struct{}, 1)
	fake := &fakeAgent{process: agent}
	fake.before = func(frame *v1.EntryFrame) error {
		if len(frame.GetStarts()) > 0 {
			arrived <- struct{}{}
		}
		return nil
	}
	// The agent has the task and says nothing of it over the link.
	fake.reply = func(frame *v1.EntryFrame) *v1.AgentFrame {
		return &v1.AgentFrame{From: &v1.Process{Name: agent.Name, Incarnation: uint64(agent.Incarnation)}, Pong: frame.GetPing()}
	}
	fake.settle = func(request *v1.SettleRequest) (*v1.SettleResponse, error) {
		report := &v1.Report{Task: request.GetTasks()[0], State: v1.TaskState_TASK_STATE_FINISHED, Response: &v1.Response{Status: 200}}
		return &v1.SettleResponse{Reports: []*v1.Report{report}}, nil
	}
	between := newRelay(t, fake.listen(t), 0)
	b := newBench(t, linker.Options{PingAfter: 50 * time.Millisecond, SilentAfter: 200 * time.Millisecond})
	peer := dispatcher.Peer{Process: agent, Address: between.address()}
	start := startOf(0)
	b.is.True(b.linker.Send(peer, start))
	<-arrived
	between.silence()
	b.is.Equal(await[dispatcher.LinkLost](b).Agent, agent)
	b.linker.Settle(peer, []dispatcher.AttemptRef{sentOf(start)})
	settled := await[dispatcher.Settled](b)
	b.is.Equal(settled.Reports[0].State, task.Finished)
	b.is.True(between.connections() >= 2) // The silent connection was not used again.
	fake.count(func() { b.is.Equal(len(fake.starts), 1) })
}

func TestSilentSettleIsTriedOverANewConnection(t *testing.T) {
	fake := &fakeAgent{process: agent}
	var between *relay
	first := true
	fake.settle = func(request *v1.SettleRequest) (*v1.SettleResponse, error) {
		if first {
			first = false
			between.silence() // The reply to the first call is lost without a trace.
		}
		report := &v1.Report{Task: request.GetTasks()[0], State: v1.TaskState_TASK_STATE_UNSTARTED}
		return &v1.SettleResponse{Reports: []*v1.Report{report}}, nil
	}
	between = newRelay(t, fake.listen(t), 0)
	b := newBench(t, linker.Options{})
	peer := dispatcher.Peer{Process: agent, Address: between.address()}
	b.linker.Settle(peer, []dispatcher.AttemptRef{sentOf(startOf(0))})
	b.is.Equal(await[dispatcher.Settled](b).Reports[0].State, task.Unstarted)
	fake.count(func() {
		b.is.True(fake.settles >= 2)
		b.is.True(between.connections() >= fake.settles) // Each try has a connection of its own.
	})
}

func TestLongFrameIsNoSilence(t *testing.T) {
	const frameSize = 2 << 20
	fake := &fakeAgent{process: agent}
	fake.reply = func(frame *v1.EntryFrame) *v1.AgentFrame {
		answer := &v1.AgentFrame{From: &v1.Process{Name: agent.Name, Incarnation: uint64(agent.Incarnation)}, Pong: frame.GetPing()}
		for _, start := range frame.GetStarts() {
			ref := &v1.TaskRef{Job: start.GetJob(), Index: start.GetIndex(), Attempt: start.GetAttempt()}
			answer.Results = append(answer.Results, &v1.Report{
				Task: ref, State: v1.TaskState_TASK_STATE_FINISHED,
				Response: &v1.Response{Status: 200, Body: make([]byte, frameSize)},
			})
		}
		return answer
	}
	// The frame takes 512 reads of 4 KiB, and so at least two seconds.
	between := newRelay(t, fake.listen(t), 4*time.Millisecond)
	b := newBench(t, linker.Options{PingAfter: 20 * time.Millisecond})
	peer := dispatcher.Peer{Process: agent, Address: between.address()}
	b.is.True(b.linker.Send(peer, startOf(0)))
	b.is.Equal(len(await[dispatcher.Ended](b).Report.Response.Body), frameSize)
	b.is.Equal(between.connections(), 1)
}
