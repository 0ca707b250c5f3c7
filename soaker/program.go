package soaker

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"agatevalve/platform/imitator"
)

// program is one of the real programs, started again whenever it ends.
type program struct {
	w    *world
	vm   imitator.VM
	args []string
	log  *os.File

	mu sync.Mutex
	// cmd is the running process; nil between two.
	cmd *exec.Cmd
	// ended is closed when that process has ended.
	ended chan struct{}
	// lives counts the starts.
	lives int
	// restart is the pause before the next start.
	restart time.Duration
	closed  bool
}

func (w *world) newProgram(vm imitator.VM, args ...string) (*program, error) {
	log, err := os.Create(filepath.Join(w.o.Dir, vm.Node+".log"))
	if err != nil {
		return nil, err
	}
	p := &program{w: w, vm: vm, args: args, log: log, restart: firstRestart}
	if err := p.writeSettings(); err != nil {
		return nil, err
	}
	return p, p.start()
}

func (p *program) settingsPath() string { return filepath.Join(p.w.o.Dir, p.vm.Node+".conf") }

// writeSettings replaces the settings file at once.
func (p *program) writeSettings() error {
	next := p.settingsPath() + ".new"
	if err := os.WriteFile(next, []byte(imitator.FormatSettings(p.vm)), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settingsPath())
}

func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	cmd := exec.CommandContext(p.w.ctx, p.args[0], p.args[1:]...)
	cmd.Env = append(os.Environ(), "AGATEVALVE_BOOT="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.lives++
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // However it ended, it is started again.
		close(ended)
		p.mu.Lock()
		p.cmd = nil
		pause := p.restart
		p.mu.Unlock()
		time.Sleep(pause)
		if err := p.start(); err != nil {
			p.w.judge.broke("start: %s: %v", p.vm.Node, err)
		}
	}()
	return nil
}

// signal sends a signal to the running process, if there is one.
func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // It may have ended just now.
	}
}

// life numbers the running process.
func (p *program) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// terminate orders an orderly stop, and kills what has not ended in time.
func (p *program) terminate() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	told := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		if p.w.judge.calmFor(told, p.vm.Node) {
			p.w.judge.broke("stop: %s has not ended %s after SIGTERM", p.vm.Node, grace)
		}
		p.signal(syscall.SIGKILL)
	}
}

// close ends the process for good.
func (p *program) close() {
	p.mu.Lock()
	p.closed = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-ended
	_ = p.log.Close() // All lines are written by the process itself.
}
