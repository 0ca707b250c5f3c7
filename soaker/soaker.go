// Package soaker runs the real programs as processes of their own on the
// loopback between stand-ins of the platform, spoils their connections, stops,
// pauses and kills them, and judges what callers, minions and the operator see.
// The same seed draws the same work and the same faults; what the programs do
// between them is up to the machine.
package soaker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

const (
	// These ports are the same on all loopback addresses.
	callersPort   = 8161
	readinessPort = 8167
	registryPort  = 8166
	firstPort     = 7720
	minionPort    = 9000
	storePort     = 9100
	// attempts is how often a task may fail.
	attempts = 3
	// patience is how long callers wait, and resubmitAfter the pause before a job
	// comes again that had no answer.
	patience      = 1500 * time.Millisecond
	resubmitAfter = 1300 * time.Millisecond
	// mostSubmissions caps how often a job comes.
	mostSubmissions = 2
	// reportEvery is how often minions report, and tryEvery how soon they try again.
	reportEvery = 1500 * time.Millisecond
	tryEvery    = 100 * time.Millisecond
	// readyWithin bounds the start of all programs.
	readyWithin = 20 * time.Second
	// grace is the time that an orderly stop may take.
	grace = 6 * time.Second
	// firstRestart is the pause before a process that ended is started again.
	firstRestart = 300 * time.Millisecond
	// settleFor is how long work goes on after the last fault; jobs of its last
	// part have to be served.
	settleFor  = 5 * time.Second
	servedPart = 2 * time.Second
	// leastServed is the least share of those that has to succeed. The users ask
	// for a quarter of the usual.
	leastServed = 0.5
	// blockedStep is how often a blocked proxy looks whether it still is.
	blockedStep = 5 * time.Millisecond
	// readyEvery is how often the balancer asks, and two misses turn it away.
	readyEvery = time.Second
	// lifetimes apart keep a minion's start times in order.
	firstLife = 1_800_000_000_000
)

// Options are the sizes of one soak.
type Options struct {
	Seed uint64
	// Block keeps soaks apart that run at the same time with one seed, from 0.
	Block int
	// Faults is how long faults come.
	Faults  time.Duration
	Entries int
	Agents  int
	// Entry and Agent are the programs to run.
	Entry, Agent string
	// Dir takes settings and logs.
	Dir string
	// Plant breaks a promise on purpose, to show that it is seen; empty for none.
	Plant Plant
}

// Result is what a soak saw.
type Result struct {
	Seed uint64
	// Acts are the faults, with their times.
	Acts []string
	// Jobs counts those submitted, by outcome.
	Jobs   map[string]int
	Starts int
	// Broken names each broken promise; empty for a good soak.
	Broken []string
}

// world is one soak.
type world struct {
	o Options
	// random draws faults, and arrivals what callers do.
	random   *rand.Rand
	arrivals *rand.Rand
	judge    *judge
	store    *imitator.Store
	entries  []*front
	agents   []*side
	// storeProxy is between all programs and the store.
	storeProxy *proxy
	servers    []*http.Server
	operator   operator
	ctx        context.Context

	mu   sync.Mutex
	jobs map[string]int
	// late counts the jobs of the last part, and those of them that succeeded.
	late, lateServed int
	acts             []string
}

// Run runs one soak to its end.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, fault.Wrap(err, fault.Invalid, "name a directory that can be written", "make %s", o.Dir)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &world{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), arrivals: rand.New(rand.NewPCG(o.Seed, 2)), judge: newJudge(), store: imitator.NewStore(), ctx: ctx, jobs: make(map[string]int),
	}
	defer w.close()
	if err := w.open(); err != nil {
		return Result{}, err
	}
	if err := w.awaitReady(); err != nil {
		return Result{}, err
	}
	w.judge.start = time.Now()
	var duties sync.WaitGroup
	traffic, stop := context.WithCancel(ctx)
	duties.Go(func() { w.traffic(traffic) })
	duties.Go(func() { w.operate(traffic) })
	go w.plant()
	w.disturb()
	settled := time.Now().Add(settleFor)
	time.Sleep(time.Until(settled.Add(-servedPart)))
	w.markLate(true)
	time.Sleep(time.Until(settled))
	w.markLate(false)
	stop()
	duties.Wait()
	return w.result(), nil
}

// address returns a loopback address of this soak.
func (w *world) address(block, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(2 + w.o.Block*20 + int(w.o.Seed/200%20)), byte(1 + w.o.Seed%200), byte(block*50 + host + 1)})
}

func (w *world) open() error {
	w.operator.publish(w, true)
	storeAt, proxied := netip.AddrPortFrom(w.address(0, 0), storePort), netip.AddrPortFrom(w.address(0, 1), storePort)
	if err := w.serve(storeAt, w.store); err != nil {
		return err
	}
	var err error
	if w.storeProxy, err = newProxy(proxied, storeAt); err != nil {
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "open a proxy")
	}
	var seeds []netip.AddrPort
	for i := range w.o.Entries {
		seeds = append(seeds, netip.AddrPortFrom(w.address(1, i), registryPort))
	}
	for i := range w.o.Entries {
		if err := w.openFront(i, proxied, seeds); err != nil {
			return err
		}
	}
	for i := range w.o.Agents {
		if err := w.openSide(i, proxied, seeds); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) serve(at netip.AddrPort, handler http.Handler) error {
	server := &http.Server{Addr: at.String(), Handler: handler, ReadHeaderTimeout: time.Second}
	w.servers = append(w.servers, server)
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "listen at %s", at)
	case <-time.After(2 * blockedStep):
		return nil
	}
}

func (w *world) truth(t work.Task) emulator.TaskProfile {
	job := w.judge.jobs[t.Job]
	if job == nil || t.Index >= len(job.truths) {
		return emulator.TaskProfile{Room: work.Room{CPU: 1}, Work: time.Millisecond}
	}
	return job.truths[t.Index]
}

func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(tryEvery) {
		ready := 0
		for _, f := range w.entries {
			if imitator.Ready(w.ctx, client, netip.AddrPortFrom(f.vm.Address, readinessPort)) {
				ready++
			}
		}
		if ready == len(w.entries) {
			time.Sleep(time.Second) // So that all links are open.
			return nil
		}
	}
	return fault.New(fault.Unavailable, "read the logs in "+w.o.Dir, "not all entries were ready after %s", readyWithin)
}

func (w *world) markLate(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.operator.late = on
}

func (w *world) result() Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late > 0 && float64(w.lateServed) < leastServed*float64(w.late) {
		w.judge.broke("recover: %d of %d jobs were served after the last fault", w.lateServed, w.late)
	}
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	return Result{Seed: w.o.Seed, Acts: w.acts, Jobs: w.jobs, Starts: w.judge.starts, Broken: w.judge.broken}
}

func (w *world) close() {
	for _, f := range w.entries {
		f.close()
		f.proxy.close()
	}
	for _, s := range w.agents {
		s.close()
		s.proxy.close()
	}
	if w.storeProxy != nil {
		w.storeProxy.close()
	}
	for _, server := range w.servers {
		_ = server.Close() // Nobody is left to ask it.
	}
}
