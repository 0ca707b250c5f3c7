package soaker

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/work"
)

// minionProcess runs the minion of an agent as a process of its own. The listening
// socket belongs to this process, so that connections and requests that no
// incarnation has accepted wait for the next one.
type minionProcess struct {
	agent    *agent
	listener *os.File
	logFile  *os.File
	clock    monotonicClock
	// eventReader and eventWriter are the pipe of all incarnations.
	eventReader, eventWriter *os.File

	// mu is held from before the end of an incarnation until all that it did and its
	// end are recorded.
	mu sync.Mutex
	// cmd is the current incarnation; nil while there is none. input is its input, and
	// ended is closed when it has exited.
	cmd   *exec.Cmd
	input io.WriteCloser
	ended chan struct{}
	// stops is the number of faults that stop it now.
	stops int
	// starts counts the incarnations, and names the names that they had.
	starts, names int
	// delays are those of the current incarnation.
	delays killDelays
	// closed prevents a further incarnation.
	closed bool

	// description is that of the latest incarnation, leaseExpiry that of its lease and
	// lapseDelay the maximum delay of the kill after it. The checker's lock is held.
	description work.Minion
	leaseExpiry time.Time
	lapseDelay  time.Duration

	// marksMu is never held beside another lock.
	marksMu sync.Mutex
	// marks holds the marks that have not been read yet, and lastMark the last number.
	marks    map[int]chan struct{}
	lastMark int
}

// startMinionProcess starts the minion of an agent as a process of its own.
func (h *harness) startMinionProcess(a *agent, address netip.AddrPort) (*minionProcess, error) {
	listener, err := listenerAsFile(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "end what listens there", "listen for a minion")
	}
	m := &minionProcess{agent: a, listener: listener, clock: newMonotonicClock(), marks: make(map[int]chan struct{})}
	if m.logFile, err = os.Create(filepath.Join(h.options.Dir, "minion-"+address.Addr().String()+".log")); err != nil {
		return nil, err
	}
	if m.eventReader, m.eventWriter, err = os.Pipe(); err != nil {
		return nil, err
	}
	h.checker.mu.Lock()
	h.checker.minions = append(h.checker.minions, m)
	h.checker.mu.Unlock()
	go m.readEvents()
	return m, m.start(false)
}

// listenerAsFile returns a listening socket.
func listenerAsFile(address netip.AddrPort) (*os.File, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // The file keeps the socket.
	return listener.(*net.TCPListener).File()
}

// Advance implements checkedMinion. The process ends its runs itself.
func (*minionProcess) Advance(time.Time) {}

// Describe implements checkedMinion.
func (m *minionProcess) Describe() work.Minion { return m.description }

// limit returns the time by which all runs end without a further renewal. The
// checker's lock is held.
func (m *minionProcess) limit() time.Time { return m.leaseExpiry.Add(m.lapseDelay) }

// start starts the next incarnation, with keepName under the name of the last one.
func (m *minionProcess) start(keepName bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.agent.harness
	if m.closed || m.cmd != nil {
		return nil
	}
	m.starts++
	if !keepName {
		m.names++
	}
	h.checker.mu.Lock()
	m.description, m.leaseExpiry, m.lapseDelay = m.agent.describeMinion(m.starts, m.names), time.Time{}, 0
	settings := minionSettings{
		Minion: m.description, DurationFactor: m.agent.durationFactor(), AllowOvercommit: m.agent.allowsOvercommit(),
		Agent: netip.AddrPortFrom(h.address(3, m.agent.index), registryPort),
	}
	h.checker.mu.Unlock()
	if h.options.PlantedFault == LateEnds {
		settings.LateEnd, settings.DurationFactor = lateEnd, lateEndFactor
	}
	cmd := exec.CommandContext(h.ctx, h.options.Entry, "soak-minion")
	cmd.Env = append(os.Environ(), "GOMAXPROCS="+maxProcs)
	cmd.ExtraFiles = []*os.File{m.listener, m.eventWriter}
	cmd.Stderr = m.logFile
	input, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.input, m.ended, m.stops, m.delays = cmd, input, ended, 0, killDelays{}
	m.send(settings)
	go func() {
		_ = cmd.Wait() // The next one is started regardless of the exit status.
		close(ended)
		m.handleExit(cmd)
	}()
	return nil
}

// send sends a line to the process. The lock is held.
func (m *minionProcess) send(line any) {
	_ = json.NewEncoder(m.input).Encode(line) // The process may have just exited.
}

// handleExit records the end of an incarnation that a task has crashed, and starts
// another one later.
func (m *minionProcess) handleExit(cmd *exec.Cmd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != cmd || m.closed {
		return // It was killed, and that has been recorded.
	}
	m.recordEnd(time.Now())
	m.restartAfter(crashDowntime, false)
}

// recordEnd records that the current incarnation has ended. The lock is held.
func (m *minionProcess) recordEnd(at time.Time) {
	m.mark()
	c := m.agent.harness.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRuns(m.description.Name, at)
	m.cmd = nil
}

// restartAfter starts the next incarnation after a pause.
func (m *minionProcess) restartAfter(pause time.Duration, keepName bool) {
	time.AfterFunc(pause, func() {
		if err := m.start(keepName); err != nil && m.agent.harness.ctx.Err() == nil {
			m.agent.harness.checker.addViolation("start: minion of %s: %v", m.agent.vm.Node, err)
		}
	})
}

// current returns the current incarnation; nil if there is none.
func (m *minionProcess) current() *exec.Cmd {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd
}

// stop stops an incarnation, if it is the current one, until resume is called as
// often.
func (m *minionProcess) stop(cmd *exec.Cmd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cmd != nil && m.cmd == cmd {
		m.stops++
		_ = cmd.Process.Signal(syscall.SIGSTOP) // It may have just exited.
	}
}

// resume ends one call of stop.
func (m *minionProcess) resume(cmd *exec.Cmd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cmd == nil || m.cmd != cmd {
		return
	}
	if m.stops--; m.stops == 0 {
		_ = cmd.Process.Signal(syscall.SIGCONT) // It may have just exited.
	}
}

// kill kills an incarnation, if it is the current one, and starts the next one after a
// pause.
func (m *minionProcess) kill(cmd *exec.Cmd, pause time.Duration, keepName bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cmd == nil || m.cmd != cmd {
		return
	}
	killedAt := time.Now()
	_ = cmd.Process.Kill() // It may have just exited.
	<-m.ended
	m.recordEnd(killedAt)
	m.restartAfter(pause, keepName)
}

// delayKills changes the delays of an incarnation, if it is the current one.
func (m *minionProcess) delayKills(cmd *exec.Cmd, change func(*killDelays)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cmd == nil || m.cmd != cmd {
		return
	}
	change(&m.delays)
	c := m.agent.harness.checker
	c.mu.Lock()
	m.lapseDelay = max(m.lapseDelay, m.delays.Lapse)
	c.mu.Unlock()
	m.send(m.delays)
}

// readEvents passes events to the checker until the pipe is closed.
func (m *minionProcess) readEvents() {
	scanner := bufio.NewScanner(m.eventReader)
	for scanner.Scan() {
		var e minionEvent
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			m.agent.harness.checker.addViolation("event: minion of %s: %v", m.agent.vm.Node, err)
			continue
		}
		if e.Kind == eventMark {
			m.marksMu.Lock()
			close(m.marks[e.Mark])
			delete(m.marks, e.Mark)
			m.marksMu.Unlock()
			continue
		}
		m.handleEvent(e)
	}
}

// handleEvent passes an event to the checker.
func (m *minionProcess) handleEvent(e minionEvent) {
	h := m.agent.harness
	c, at := h.checker, m.clock.time(e.At)
	c.mu.Lock()
	defer c.mu.Unlock()
	name := m.description.Name
	switch e.Kind {
	case eventStart:
		h.runStarted(name, e.Run, at)
		c.limitRun(name, e.Run, m.limit)
	case eventEnd:
		c.runStopped(name, e.Run, e.State, at)
	case eventLease:
		m.leaseExpiry = at
	case eventCrash:
		c.minionCrashed(e.Run, m.agent.vm.Node, at.Add(crashDowntime))
	}
}

// mark waits until all events that have been written are recorded.
func (m *minionProcess) mark() {
	read := make(chan struct{})
	m.marksMu.Lock()
	m.lastMark++
	number := m.lastMark
	m.marks[number] = read
	m.marksMu.Unlock()
	if err := writeEvent(m.eventWriter, minionEvent{Kind: eventMark, Mark: number}); err == nil {
		<-read
	}
}

// syncMinions waits until all that minions have done is recorded. Events of a minion
// precede its responses.
func (h *harness) syncMinions() {
	for _, a := range h.agents {
		if a.child == nil {
			continue
		}
		a.child.mu.Lock() // Waits for the record of an end, too.
		if !a.child.closed {
			a.child.mark()
		}
		a.child.mu.Unlock()
	}
}

// close kills the process without a restart, and closes the files.
func (m *minionProcess) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	if m.cmd != nil {
		_ = m.cmd.Process.Kill() // It may have just exited.
		<-m.ended
	}
	for _, file := range []*os.File{m.eventWriter, m.eventReader, m.listener, m.logFile} {
		_ = file.Close() // The soak test has ended.
	}
}
