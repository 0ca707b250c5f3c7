package soaker

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the period in which a process may use its share of the
	// processor, after which it is stopped until the next period begins.
	quotaPeriod = 100 * time.Millisecond
	// quotaCheckInterval is the interval at which the time used is read.
	quotaCheckInterval = 2 * time.Millisecond
	// slowdown is the factor by which a slowed process has less processor time.
	slowdown = 5.5
)

// limitProcessor stops a process whenever it has used its share of the processor
// in a period, until the soak test ends. It does nothing while the process is
// frozen.
func (p *process) limitProcessor(share float64) {
	for p.harness.ctx.Err() == nil {
		pid, startUse := p.processorUse()
		end := time.Now().Add(quotaPeriod)
		quota := time.Duration(share * float64(quotaPeriod))
		if p.slowed.Load() {
			quota = time.Duration(float64(quota) / slowdown)
		}
		for time.Now().Before(end) {
			time.Sleep(quotaCheckInterval)
			current, use := p.processorUse()
			if pid == 0 || current != pid {
				break
			}
			if use-startUse > quota {
				p.pause(pid, end)
			}
		}
	}
}

// processorUse returns the id of the running process and the processor time that it
// has used; zeros if there is none.
func (p *process) processorUse() (pid int, use time.Duration) {
	p.mu.Lock()
	if p.cmd != nil {
		pid = p.cmd.Process.Pid
	}
	p.mu.Unlock()
	if pid == 0 {
		return 0, 0
	}
	const processorClock = 2 // The kernel's CPUCLOCK_SCHED, in the lowest bits of the clock's id.
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|processorClock), &ts); err != nil {
		return 0, 0 // It has just ended.
	}
	return pid, time.Duration(ts.Nano())
}

// pause stops a process until a time, unless it is frozen.
func (p *process) pause(pid int, until time.Time) {
	if !p.signalProcess(pid, syscall.SIGSTOP) {
		return
	}
	time.Sleep(time.Until(until))
	p.signalProcess(pid, syscall.SIGCONT)
}

// signalProcess sends a signal to the process with this id if it still runs and is
// not frozen.
func (p *process) signalProcess(pid int, s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen || p.cmd == nil || p.cmd.Process.Pid != pid {
		return false
	}
	return p.cmd.Process.Signal(s) == nil
}
