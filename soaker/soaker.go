// Package soaker runs soak tests. It runs the real programs as processes on
// loopback addresses with an emulated platform around them, injects network
// faults, stops, freezes and kills processes, and checks the guarantees that
// callers, minions and the operator can observe. A seed determines the jobs and
// the faults, but not how the programs and the machine schedule them.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"sync"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

const (
	// The ports are the same for all processes, as each has its own loopback
	// address. firstPort is the first of two ports for agatevalve's own protocols.
	callersPort   = 8161
	readinessPort = 8167
	registryPort  = 8166
	firstPort     = 7720
	minionPort    = 9000
	storePort     = 9100
	// maxAttempts is the number of failed runs of a task after which its job fails.
	maxAttempts = 3
	// answerTimeout is the time within which most callers expect an answer.
	answerTimeout = 1500 * time.Millisecond
	// resubmitDelay is the delay before an unanswered job is submitted again.
	resubmitDelay = 1300 * time.Millisecond
	// maxSubmissions is the maximum number of submissions of a job.
	maxSubmissions = 3
	// reportInterval is the interval of the minions' status reports.
	reportInterval = 1500 * time.Millisecond
	// retryInterval is the interval after a failed status report, and between
	// checks whether the entries are ready.
	retryInterval = 100 * time.Millisecond
	// readyTimeout is the timeout for the start of all programs.
	readyTimeout = 20 * time.Second
	// stopTimeout is the timeout of a graceful shutdown.
	stopTimeout = 6 * time.Second
	// restartDelay is the delay before a process that ended is restarted.
	restartDelay = 300 * time.Millisecond
	// settlePeriod is the time after the last fault during which jobs are still
	// submitted.
	settlePeriod = 5 * time.Second
	// measuredPeriod is the last part of settlePeriod. The system should have
	// recovered by then, so jobs submitted in it have to be served.
	measuredPeriod = 2 * time.Second
	// minServedRatio is the minimum ratio of jobs in measuredPeriod that are served.
	// The users require a quarter of the usual throughput.
	minServedRatio = 0.5
	// blockedPollInterval is the interval at which a blocked proxy checks whether
	// it is still blocked.
	blockedPollInterval = 5 * time.Millisecond
	// readinessInterval is the interval of the load balancer's readiness probes.
	readinessInterval = time.Second
	// firstIncarnation is the base of the minions' incarnation numbers. They have
	// the form of start times in milliseconds and increase with each restart.
	firstIncarnation = 1_800_000_000_000
)

// Options configures a soak test.
type Options struct {
	Seed uint64
	// Block selects a range of loopback addresses, from 0, so that soak tests with
	// the same seed can run at the same time.
	Block int
	// FaultDuration is the time during which faults are injected, and MaxFault the
	// longest duration of one; 0 for the default.
	FaultDuration, MaxFault time.Duration
	// FaultPattern selects the faults to inject by their names; nil for a random choice
	// between all faults and planned maintenance only.
	FaultPattern *regexp.Regexp
	Entries      int
	Agents       int
	// ProcessShare is the share of the minions that run as processes of their own.
	ProcessShare float64
	// EntryShare and AgentShare are the shares of a core that each entry and each
	// agent may use; 0 for no limit.
	EntryShare, AgentShare float64
	// JobsPerSecond is the mean rate at which jobs are submitted; 0 for the default.
	JobsPerSecond float64
	// LongShare is the share of jobs with one task of minLongTask to maxLongTask; 0 for
	// the default.
	LongShare float64
	// Entry and Agent are the paths of the programs.
	Entry, Agent string
	// Dir is the directory for settings files and logs.
	Dir string
	// PlantedFault is a deliberate violation that the checks have to detect; empty
	// for none.
	PlantedFault PlantedFault
}

// Result is the result of a soak test.
type Result struct {
	Seed uint64
	// Faults lists the injected faults with their start times and durations.
	Faults []string
	// Jobs is the number of submitted jobs by outcome.
	Jobs map[string]int
	// Starts is the number of runs that minions started.
	Starts int
	// Violations describes the first maxViolations violated guarantees. It is empty
	// if the test passed.
	Violations []string
}

// harness runs one soak test.
type harness struct {
	options Options
	// faultRandom draws the faults.
	faultRandom *rand.Rand
	// trafficRandom draws the jobs and what their callers do.
	trafficRandom *rand.Rand
	checker       *checker
	store         *imitator.Store
	entries       []*entry
	agents        []*agent
	// storeProxy is the proxy through which all programs connect to the store.
	storeProxy *proxy
	servers    []*http.Server
	operator   operator
	ctx        context.Context

	mu sync.Mutex
	// outcomes counts jobs by outcome.
	outcomes map[string]int
	// measuredJobs counts the jobs submitted in measuredPeriod whose callers wait for
	// the answer, and measuredServed those of them that were served.
	measuredJobs, measuredServed int
	// faultsOver is true once no more faults are injected.
	faultsOver bool
	// faultLog describes the injected faults with their times.
	faultLog []string
}

// Run runs a soak test and returns its result.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, fault.Wrap(err, fault.Invalid, "name a directory that can be written", "make %s", o.Dir)
	}
	if o.JobsPerSecond <= 0 {
		o.JobsPerSecond = defaultJobsPerSecond
	}
	if o.LongShare <= 0 {
		o.LongShare = defaultLongShare
	}
	if o.MaxFault <= 0 {
		o.MaxFault = defaultMaxFault
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &harness{
		options: o, faultRandom: rand.New(rand.NewPCG(o.Seed, 1)), trafficRandom: rand.New(rand.NewPCG(o.Seed, 2)), checker: newChecker(o.Entries), store: imitator.NewStore(), ctx: ctx, outcomes: make(map[string]int),
	}
	defer h.close()
	if err := h.startAll(); err != nil {
		return Result{}, err
	}
	if err := h.awaitReady(); err != nil {
		return Result{}, err
	}
	h.checker.startTime = time.Now()
	var background sync.WaitGroup
	trafficCtx, stop := context.WithCancel(ctx)
	background.Go(func() { h.submitJobs(trafficCtx) })
	background.Go(func() { h.publishAndProbe(trafficCtx) })
	go h.runPlantedFault()
	faultCtx, endFaults := context.WithCancel(ctx)
	background.Go(func() { h.evacuateZones(faultCtx) })
	h.injectFaults()
	endFaults()
	h.mu.Lock()
	h.faultsOver = true
	h.mu.Unlock()
	end := time.Now().Add(settlePeriod)
	time.Sleep(time.Until(end.Add(-measuredPeriod)))
	h.setMeasured(true)
	time.Sleep(time.Until(end))
	h.setMeasured(false)
	stop()
	background.Wait()
	return h.result(), nil
}

// address returns a loopback address that only this soak test uses. Blocks keep
// the store, entries, caller proxies, agents and minions apart.
func (h *harness) address(block, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(2 + h.options.Block*20 + int(h.options.Seed/200%20)), byte(1 + h.options.Seed%200), byte(block*50 + host + 1)})
}

// startAll publishes the first configuration, and starts the store and all
// processes.
func (h *harness) startAll() error {
	h.operator.publish(h, true)
	storeAddress, storeProxyAddress := netip.AddrPortFrom(h.address(0, 0), storePort), netip.AddrPortFrom(h.address(0, 1), storePort)
	if err := h.serve(storeAddress, h.store); err != nil {
		return err
	}
	var err error
	if h.storeProxy, err = newProxy(storeProxyAddress, storeAddress); err != nil {
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "open a proxy")
	}
	var seeds []netip.AddrPort
	for i := range h.options.Entries {
		seeds = append(seeds, netip.AddrPortFrom(h.address(1, i), registryPort))
	}
	for i := range h.options.Entries {
		if err := h.startEntry(i, storeProxyAddress, seeds); err != nil {
			return err
		}
	}
	for i := range h.options.Agents {
		if err := h.startAgent(i, storeProxyAddress, seeds); err != nil {
			return err
		}
	}
	return nil
}

// serve starts an HTTP server. It returns an error if the server fails at once.
func (h *harness) serve(address netip.AddrPort, handler http.Handler) error {
	server := &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: time.Second}
	h.servers = append(h.servers, server)
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "listen at %s", address)
	case <-time.After(2 * blockedPollInterval):
		return nil
	}
}

// taskProfile returns what a task really needs. It is called with the checker's
// lock held.
func (h *harness) taskProfile(t work.Task) emulator.TaskProfile {
	job := h.checker.jobs[t.Job]
	if job == nil || t.Index >= len(job.profiles) {
		return emulator.TaskProfile{Room: work.Room{CPU: 1}, Work: time.Millisecond}
	}
	return job.profiles[t.Index]
}

// awaitReady waits until all entries are ready.
func (h *harness) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		ready := 0
		for _, e := range h.entries {
			if imitator.Ready(h.ctx, client, netip.AddrPortFrom(e.vm.Address, readinessPort)) {
				ready++
			}
		}
		if ready == len(h.entries) {
			time.Sleep(time.Second) // Let all links between the programs open.
			return nil
		}
	}
	return fault.New(fault.Unavailable, "read the logs in "+h.options.Dir, "not all entries were ready after %s", readyTimeout)
}

// logFault records the start of a fault or an operator's action.
func (h *harness) logFault(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultLog = append(h.faultLog, fmt.Sprintf("%6.3f s: %s", time.Since(h.checker.startTime).Seconds(), text))
}

// setMeasured marks the start or the end of measuredPeriod.
func (h *harness) setMeasured(measured bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operator.measured = measured
}

// result checks the recovery and returns the result.
func (h *harness) result() Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.measuredJobs > 0 && float64(h.measuredServed) < minServedRatio*float64(h.measuredJobs) {
		h.checker.addViolation("recover: %d of %d jobs were served after the last fault", h.measuredServed, h.measuredJobs)
	}
	h.syncMinions()
	h.checker.mu.Lock()
	defer h.checker.mu.Unlock()
	h.checker.checkOverlaps(time.Now())
	return Result{Seed: h.options.Seed, Faults: h.faultLog, Jobs: h.outcomes, Starts: h.checker.starts, Violations: h.checker.violations}
}

// close stops all processes, proxies and servers.
func (h *harness) close() {
	for _, e := range h.entries {
		e.close()
		e.proxy.close()
		e.links.close()
	}
	for _, a := range h.agents {
		a.close()
		a.proxy.close()
		if a.child != nil {
			a.child.close()
		}
	}
	if h.storeProxy != nil {
		h.storeProxy.close()
	}
	for _, server := range h.servers {
		_ = server.Close() // All clients have stopped.
	}
}
