package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"agatevalve/platform/imitator"
)

// maxProcs is the number of threads that run Go code in each program. It is that of
// a VM with less than a core.
const maxProcs = "2"

// process runs one of the programs and restarts it whenever it exits.
type process struct {
	harness *harness
	vm      imitator.VM
	args    []string
	logFile *os.File

	mu sync.Mutex
	// cmd is the running process; nil until it is restarted.
	cmd *exec.Cmd
	// ended is closed when the latest process has exited.
	ended chan struct{}
	// starts counts the starts of the program.
	starts int
	// restartDelay is the delay before the next start.
	restartDelay time.Duration
	// closed prevents further restarts.
	closed bool
	// frozen is true between SIGSTOP and SIGCONT of a fault.
	frozen bool
	// slowed is true while a fault reduces the share of the processor. It has no effect
	// on a process without a limit.
	slowed atomic.Bool
}

// startProcess writes the settings of a VM and starts its program, with a share of
// the processor if it is positive.
func (h *harness) startProcess(vm imitator.VM, share float64, args ...string) (*process, error) {
	logFile, err := os.Create(filepath.Join(h.options.Dir, vm.Node+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{harness: h, vm: vm, args: args, logFile: logFile, restartDelay: restartDelay}
	if err := p.writeSettings(); err != nil {
		return nil, err
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	if share > 0 {
		go p.limitProcessor(share)
	}
	return p, nil
}

func (p *process) settingsPath() string {
	return filepath.Join(p.harness.options.Dir, p.vm.Node+".conf")
}

// writeSettings replaces the settings file atomically.
func (p *process) writeSettings() error {
	temporaryPath := p.settingsPath() + ".new"
	if err := os.WriteFile(temporaryPath, []byte(imitator.FormatSettings(p.vm)), 0o600); err != nil {
		return err
	}
	return os.Rename(temporaryPath, p.settingsPath())
}

// start starts the program, unless the process is closed.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	cmd := exec.CommandContext(p.harness.ctx, p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), "AGATEVALVE_BOOT="+p.settingsPath(), "GOMAXPROCS="+maxProcs)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	p.starts++
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // It is restarted regardless of its exit status.
		close(ended)
		p.mu.Lock()
		p.cmd = nil
		delay := p.restartDelay
		p.mu.Unlock()
		time.Sleep(delay)
		if err := p.start(); err != nil {
			p.harness.checker.addViolation("start: %s: %v", p.vm.Node, err)
		}
	}()
	return nil
}

// signal sends a signal to the running process, if there is one.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // The process may have just exited.
	}
}

// incarnation returns the number of the latest start.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// terminate requests a graceful shutdown, and kills the process after
// stopTimeout. That is a violation unless the process was disturbed.
func (p *process) terminate() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	signalledAt := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		if p.harness.checker.undisturbedSince(signalledAt, p.vm.Node) {
			p.harness.checker.addViolation("stop: %s has not ended %s after SIGTERM", p.vm.Node, stopTimeout)
		}
		p.signal(syscall.SIGKILL)
	}
}

// close kills the process without a restart.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-ended
	_ = p.logFile.Close() // Only the process wrote to it.
}
