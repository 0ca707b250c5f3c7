package relayer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/clock"
	"agatevalve/common/work"
	"agatevalve/jobber"
)

const (
	// probeInterval is the minimum interval between two measurements of the time
	// that work waits for the processor.
	probeInterval = 2 * time.Millisecond
	// maxCarryAttempts is the number of entries that are tried for one job. Each
	// attempt may open a stream, which takes processor time.
	maxCarryAttempts = 2
	// logInterval is the minimum interval between two log lines on the share of
	// jobs that are handed over.
	logInterval = time.Second
)

// Jobs runs jobs at this entry.
type Jobs interface {
	// Submit runs a job and returns its result when it has ended.
	Submit(ctx context.Context, job work.Job) jobber.Result
	// UnstartedJobs returns the number of jobs of a route without a started task.
	UnstartedJobs(route string) int
	// UsableAgents returns the number of agents that accept work.
	UsableAgents() int
}

// Carrier carries jobs to other entries.
type Carrier interface {
	// Carry sends a job to another entry. It returns false if the job can't be sent
	// now. Otherwise done is called once, from any goroutine: with the result, or
	// with taken false if the other entry did not take the job, which then has not
	// run there.
	Carry(peer netip.AddrPort, job work.Job, done func(result jobber.Result, taken bool)) bool
	// Capacity returns the processor share of another entry in thousandths of a
	// core; 0 if it has not told it.
	Capacity(peer netip.AddrPort) int
	// Withdraw stops a job whose callers have left.
	Withdraw(peer netip.AddrPort, id string)
}

// hasResult reports whether result and taken are set.
func (j *relayedJob) hasResult() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// Options are the dependencies of a Relayer.
type Options struct {
	Jobs    Jobs
	Carrier Carrier
	// Entries returns the addresses of the live entries; the first is this one.
	Entries func() []netip.AddrPort
	// Leaving reports whether this entry is shutting down.
	Leaving func() bool
	// ProcessorDelay measures the time that work waits for the processor.
	ProcessorDelay func() time.Duration
	Random         *rand.Rand
	Log            *slog.Logger
	Metrics        metrics.Registry
}

// Relayer runs jobs at this entry or at another one. It is safe for concurrent
// use.
type Relayer struct {
	options Options

	mu       sync.Mutex
	governor Governor
	chooser  chooser
	// entries and peers are the addresses of the live entries and those of them
	// that may be given jobs.
	entries, peers []netip.AddrPort
	// relayed holds the jobs at other entries, by id.
	relayed map[string]*relayedJob
	// stopped is closed by Stop.
	stopped  chan struct{}
	stopOnce sync.Once
	// local counts the calls that run a job at this entry, by id; never 0. Such a
	// job is not handed over when it is submitted again.
	local map[string]int
	// nextProbe is the time of the next measurement.
	nextProbe time.Time
	// loggedAt is the time of the last log line on the share.
	loggedAt time.Time
	// relaying is what the last of these log lines said.
	relaying bool

	handedOver, refused, taken metrics.Counter
	share                      metrics.GaugeFloat64
}

// relayedJob is a job at another entry.
type relayedJob struct {
	peer netip.AddrPort
	// callers counts the callers that wait for it.
	callers int
	// done is closed when result and taken are set.
	done   chan struct{}
	result jobber.Result
	taken  bool
}

// New returns a relayer that hands nothing over yet.
func New(o Options) *Relayer {
	return &Relayer{
		options: o, relayed: make(map[string]*relayedJob), local: make(map[string]int), stopped: make(chan struct{}), chooser: chooser{random: o.Random, states: make(map[netip.AddrPort]*peerState)},
		handedOver: metrics.GetOrRegisterCounter("jobs-handed-over", o.Metrics),
		refused:    metrics.GetOrRegisterCounter("jobs-not-taken", o.Metrics),
		taken:      metrics.GetOrRegisterCounter("jobs-taken-over", o.Metrics),
		share:      metrics.GetOrRegisterGaugeFloat64("handed-over-share", o.Metrics),
	}
}

// UnstartedJobs returns the number of jobs of a route at this entry of which no
// task can have started.
func (r *Relayer) UnstartedJobs(route string) int { return r.options.Jobs.UnstartedJobs(route) }

// Submit runs a job, here or at another entry, and returns its result when it has
// ended. A job that is already at another entry is not run again.
func (r *Relayer) Submit(ctx context.Context, job work.Job) jobber.Result {
	r.Probe()
	j := r.handOver(job)
	if j == nil {
		return r.runHere(ctx, job)
	}
	select {
	case <-j.done:
	case <-ctx.Done():
		r.leave(job.ID, j, false)
		return jobber.Result{Outcome: work.Unfinished, Reason: "the caller has left"}
	case <-r.stopped:
		if !j.hasResult() {
			r.leave(job.ID, j, false)
			return jobber.Result{Outcome: work.Unfinished, Reason: "this entry is stopping"}
		}
	}
	r.leave(job.ID, j, !j.taken)
	if !j.taken {
		return r.runHere(ctx, job)
	}
	r.options.Log.Info("relayer: Answered a job that another entry ran", "job", job.ID, "entry", j.peer, "outcome", j.result.Outcome.String(),
		"reason", j.result.Reason, "age", clock.Since(job.Arrived))
	return j.result
}

// Stop answers the callers whose jobs are at other entries, and withdraws these
// jobs.
func (r *Relayer) Stop() { r.stopOnce.Do(func() { close(r.stopped) }) }

// runHere runs a job that is counted in local.
func (r *Relayer) runHere(ctx context.Context, job work.Job) jobber.Result {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.local[job.ID]--; r.local[job.ID] == 0 {
			delete(r.local, job.ID)
		}
	}()
	return r.options.Jobs.Submit(ctx, job)
}

// TakeOver runs a job that another entry hands over. It returns false at once if
// this entry has no processor time to spare or can't run jobs.
func (r *Relayer) TakeOver(ctx context.Context, job work.Job) (jobber.Result, bool) {
	r.Probe()
	if ctx.Err() != nil || r.options.Leaving() || r.options.Jobs.UsableAgents() == 0 || !r.take(job.ID) {
		return jobber.Result{}, false
	}
	r.taken.Inc(1)
	return r.runHere(ctx, job), true
}

// take reports whether a job of another entry is taken, and then counts it in
// local.
func (r *Relayer) take(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.governor.Takes() || r.relayed[id] != nil {
		return false
	}
	r.local[id]++
	return true
}

// Probe measures the time that work waits for the processor, at most every
// probeInterval.
func (r *Relayer) Probe() {
	now := clock.Now()
	r.mu.Lock()
	if now.Before(r.nextProbe) {
		r.mu.Unlock()
		return
	}
	r.nextProbe = now.Add(probeInterval)
	r.mu.Unlock()
	delay := r.options.ProcessorDelay()
	r.mu.Lock()
	defer r.mu.Unlock()
	now = clock.Now()
	r.governor.Observe(now, delay)
	share := r.governor.Share()
	r.share.Update(share)
	if relaying := share > 0; relaying != r.relaying && now.Sub(r.loggedAt) > logInterval {
		r.relaying, r.loggedAt = relaying, now
		r.options.Log.Info("relayer: The share of jobs for other entries has changed", "share", share, "delay", delay, "peers", len(r.peers))
	}
}

// handOver sends a job to another entry if this one is short of processor time. It
// returns nil if the job is to run here, where it is then counted in local.
func (r *Relayer) handOver(job work.Job) *relayedJob {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.relayed[job.ID]; j != nil {
		j.callers++
		return j
	}
	if r.local[job.ID] == 0 && r.governor.HandOver() {
		if j := r.carry(now, job); j != nil {
			return j
		}
	}
	r.local[job.ID]++
	return nil
}

// carry sends a job to one of the peers, or returns nil if the first ones that suit
// it best can't be reached now.
func (r *Relayer) carry(now time.Time, job work.Job) *relayedJob {
	r.updatePeers()
	for _, p := range r.peers {
		r.chooser.state(p).capacity = r.options.Carrier.Capacity(p)
	}
	for range maxCarryAttempts {
		peer, found := r.chooser.choose(now, r.peers)
		if !found {
			return nil
		}
		j := &relayedJob{peer: peer, callers: 1, done: make(chan struct{})}
		if r.options.Carrier.Carry(peer, job, func(result jobber.Result, taken bool) { r.finish(j, result, taken) }) {
			r.chooser.handedOver(peer)
			r.relayed[job.ID] = j
			r.handedOver.Inc(1)
			return j
		}
		r.chooser.avoid(now, peer)
	}
	return nil
}

// finish records the result of a job at another entry.
func (r *Relayer) finish(j *relayedJob, result jobber.Result, taken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.result, j.taken = result, taken
	r.chooser.returned(clock.Now(), j.peer, taken)
	if !taken {
		r.refused.Inc(1)
	}
	close(j.done)
}

// leave removes a caller of a job. The last one withdraws a job without a result.
// If the job is to run here, it is counted in local before it can be handed over
// again.
func (r *Relayer) leave(id string, j *relayedJob, runsHere bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if runsHere {
		r.local[id]++
	}
	if j.callers--; j.callers > 0 {
		return
	}
	if r.relayed[id] == j {
		delete(r.relayed, id)
	}
	if !j.hasResult() {
		r.options.Carrier.Withdraw(j.peer, id)
	}
}

// updatePeers chooses the peers again if the list of entries has changed.
func (r *Relayer) updatePeers() {
	entries := r.options.Entries()
	if slices.Equal(entries, r.entries) {
		return
	}
	r.entries, r.peers = slices.Clone(entries), nearest(entries[0], entries)
	r.chooser.forget(r.peers)
}

// Share returns the fraction of jobs that are handed over.
func (r *Relayer) Share() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.governor.Share()
}
