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

// relay forwards bytes between a linker and an agent. It can stop forwarding on
// its present connections without closing them, while new ones still work.
type relay struct {
	t        *testing.T
	listener net.Listener
	target   netip.AddrPort
	group    sync.WaitGroup

	mu sync.Mutex
	// readDelay is added to each read of up to 4 KiB from the agent.
	readDelay time.Duration
	// mutedUpTo is the number of the newest muted connection; older ones are
	// muted too.
	mutedUpTo int
	conns     []net.Conn
	count     int
}

func newRelay(t *testing.T, target netip.AddrPort, readDelay time.Duration) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, listener: listener, target: target, readDelay: readDelay}
	r.group.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// muteAll stops the forwarding on all present connections. They stay open.
func (r *relay) muteAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mutedUpTo = r.count
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		r.count++
		number := r.count
		r.conns = append(r.conns, client, server)
		r.mu.Unlock()
		r.group.Go(func() { r.copyBytes(number, client, server, 0) })
		r.group.Go(func() { r.copyBytes(number, server, client, r.readDelay) })
	}
}

func (r *relay) copyBytes(number int, from, to net.Conn, readDelay time.Duration) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		time.Sleep(readDelay)
		if n > 0 && !r.isMuted(number) {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (r *relay) isMuted(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return number <= r.mutedUpTo
}

func TestSilentLinkIsSettledOverANewConnection(t *testing.T) {
	startReceived := make(chan struct{}, 1)
	fake := &fakeAgent{process: agent}
	fake.onFrame = func(frame *v1.EntryFrame) error {
		if len(frame.GetStarts()) > 0 {
			startReceived <- struct{}{}
		}
		return nil
	}
	// The agent runs the task but reports nothing about it over the link.
	fake.makeAnswer = func(frame *v1.EntryFrame) *v1.AgentFrame {
		return &v1.AgentFrame{From: &v1.Process{Name: agent.Name, Incarnation: uint64(agent.Incarnation)}, Pong: frame.GetPing()}
	}
	fake.onSettle = func(request *v1.SettleRequest) (*v1.SettleResponse, error) {
		report := &v1.Report{Task: request.GetTasks()[0], State: v1.TaskState_TASK_STATE_FINISHED, Response: &v1.Response{Status: 200}}
		return &v1.SettleResponse{Reports: []*v1.Report{report}}, nil
	}
	proxy := newRelay(t, fake.serve(t), 0)
	f := newFixture(t, linker.Options{PingAfter: 50 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond})
	peer := dispatcher.Peer{Process: agent, Address: proxy.address()}
	start := testStart(0)
	f.is.True(f.linker.Send(peer, start))
	<-startReceived
	proxy.muteAll()
	f.is.Equal(await[dispatcher.LinkLost](f).Agent, agent)
	f.linker.Settle(peer, []dispatcher.AttemptRef{refOf(start)})
	settled := await[dispatcher.Settled](f)
	f.is.Equal(settled.Reports[0].State, task.Finished)
	f.is.True(proxy.connections() >= 2) // The muted connection wasn't used again.
	fake.locked(func() { f.is.Equal(len(fake.starts), 1) })
}

func TestSilentSettleIsTriedOverANewConnection(t *testing.T) {
	fake := &fakeAgent{process: agent}
	var proxy *relay
	firstCall := true
	fake.onSettle = func(request *v1.SettleRequest) (*v1.SettleResponse, error) {
		if firstCall {
			firstCall = false
			proxy.muteAll() // The response to the first call is lost, with no error.
		}
		report := &v1.Report{Task: request.GetTasks()[0], State: v1.TaskState_TASK_STATE_UNSTARTED}
		return &v1.SettleResponse{Reports: []*v1.Report{report}}, nil
	}
	proxy = newRelay(t, fake.serve(t), 0)
	f := newFixture(t, linker.Options{})
	peer := dispatcher.Peer{Process: agent, Address: proxy.address()}
	f.linker.Settle(peer, []dispatcher.AttemptRef{refOf(testStart(0))})
	f.is.Equal(await[dispatcher.Settled](f).Reports[0].State, task.Unstarted)
	fake.locked(func() {
		f.is.True(fake.settleCalls >= 2)
		f.is.True(proxy.connections() >= fake.settleCalls) // Each try uses a new connection.
	})
}

// The transfer of a large frame takes longer than the ping timeout, which must
// not fail the link.
func TestSlowLargeFrameKeepsTheLinkAlive(t *testing.T) {
	const frameSize = 2 << 20
	fake := &fakeAgent{process: agent}
	fake.makeAnswer = func(frame *v1.EntryFrame) *v1.AgentFrame {
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
	proxy := newRelay(t, fake.serve(t), 4*time.Millisecond)
	f := newFixture(t, linker.Options{PingAfter: 20 * time.Millisecond})
	peer := dispatcher.Peer{Process: agent, Address: proxy.address()}
	f.is.True(f.linker.Send(peer, testStart(0)))
	f.is.Equal(len(await[dispatcher.Ended](f).Report.Response.Body), frameSize)
	f.is.Equal(proxy.connections(), 1)
}
