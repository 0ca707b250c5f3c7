package relayer_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"agatevalve/common/clock"
	"agatevalve/common/work"
	"agatevalve/jobber"
	"agatevalve/relayer"
)

// localJobs answers each job at once.
type localJobs struct {
	mu        sync.Mutex
	submitted []string
	// block, if not nil, delays answers until it is closed; entered tells of jobs.
	block, entered chan struct{}
}

func (l *localJobs) Submit(_ context.Context, job work.Job) jobber.Result {
	if l.block != nil {
		l.entered <- struct{}{}
		<-l.block
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted = append(l.submitted, job.ID)
	return jobber.Result{Outcome: work.Succeeded}
}
func (l *localJobs) UnstartedJobs(string) int { return 0 }
func (l *localJobs) UsableAgents() int        { return 1 }

// carrier keeps the jobs that it is given.
type carrier struct {
	mu        sync.Mutex
	carried   chan func(jobber.Result, bool)
	withdrawn []string
	closed    bool
}

func (c *carrier) Carry(_ netip.AddrPort, _ work.Job, done func(jobber.Result, bool)) bool {
	if c.closed {
		return false
	}
	c.carried <- done
	return true
}

func (c *carrier) Capacity(netip.AddrPort) int { return 0 }

func (c *carrier) Withdraw(_ netip.AddrPort, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn = append(c.withdrawn, id)
}

// newOverloaded returns a relayer that hands over every job.
func newOverloaded(t *testing.T, jobs *localJobs, c *carrier) *relayer.Relayer {
	t.Helper()
	self, peer := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
	r := relayer.New(relayer.Options{
		Jobs: jobs, Carrier: c, Entries: func() []netip.AddrPort { return []netip.AddrPort{self, peer} }, Leaving: func() bool { return false },
		ProcessorDelay: func() time.Duration { return 50 * time.Millisecond }, Random: rand.New(rand.NewPCG(1, 1)),
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	return overload(t, r)
}

// overload makes a relayer measure a standing queue.
func overload(t *testing.T, r *relayer.Relayer) *relayer.Relayer {
	t.Helper()
	for until := clock.Now().Add(10 * time.Second); clock.Now().Before(until); time.Sleep(6 * time.Millisecond) {
		if r.Probe(); r.Share() >= 1 {
			return r
		}
	}
	t.Fatal("the relayer hands nothing over")
	return nil
}

func TestJobRunsHereIfTheOtherEntryDoesNotTakeIt(t *testing.T) {
	is := is.New(t)
	jobs, c := &localJobs{}, &carrier{carried: make(chan func(jobber.Result, bool), 1)}
	r := newOverloaded(t, jobs, c)
	results := make(chan jobber.Result, 1)
	go func() { results <- r.Submit(context.Background(), work.Job{ID: "a", Arrived: clock.Now()}) }()
	(<-c.carried)(jobber.Result{}, false)
	is.Equal((<-results).Outcome, work.Succeeded)
	is.Equal(jobs.submitted, []string{"a"})
}

// A job that is submitted again while another entry runs it gets the answer of that
// run, and runs nowhere else.
func TestJobSubmittedAgainDoesNotRunTwice(t *testing.T) {
	is := is.New(t)
	jobs, c := &localJobs{}, &carrier{carried: make(chan func(jobber.Result, bool), 2)}
	r := newOverloaded(t, jobs, c)
	results := make(chan jobber.Result, 2)
	submit := func() { results <- r.Submit(context.Background(), work.Job{ID: "a", Arrived: clock.Now()}) }
	go submit()
	done := <-c.carried
	go submit()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(r.Submit(ctx, work.Job{ID: "a", Arrived: clock.Now()}).Outcome, work.Unfinished) // One caller leaves.
	is.Equal(len(c.withdrawn), 0)
	done(jobber.Result{Outcome: work.Exhausted}, true)
	is.Equal((<-results).Outcome, work.Exhausted)
	// The second call either joined the first or came after its answer.
	select {
	case second := <-results:
		is.True(second.Outcome == work.Exhausted)
	case again := <-c.carried:
		again(jobber.Result{Outcome: work.Exhausted}, true)
	}
	is.Equal(len(jobs.submitted), 0)
}

// A job that was submitted before the overload joins its run when it comes again.
func TestJobThatRunsHereIsNotHandedOverWhenItComesAgain(t *testing.T) {
	is := is.New(t)
	jobs, c := &localJobs{block: make(chan struct{}), entered: make(chan struct{}, 2)}, &carrier{carried: make(chan func(jobber.Result, bool), 1), closed: true}
	r := newOverloaded(t, jobs, c)
	results := make(chan jobber.Result, 2)
	submit := func() { results <- r.Submit(context.Background(), work.Job{ID: "a", Arrived: clock.Now()}) }
	go submit() // The other entry can't be reached yet.
	<-jobs.entered
	time.Sleep(200 * time.Millisecond) // The peer may be given jobs again.
	c.closed = false
	go submit()
	<-jobs.entered
	close(jobs.block)
	is.Equal((<-results).Outcome, work.Succeeded)
	is.Equal((<-results).Outcome, work.Succeeded)
	is.Equal(len(c.carried), 0)
}

func TestStoppingEntryAnswersJobsThatOthersRun(t *testing.T) {
	is := is.New(t)
	jobs, c := &localJobs{}, &carrier{carried: make(chan func(jobber.Result, bool), 1)}
	r := newOverloaded(t, jobs, c)
	results := make(chan jobber.Result, 1)
	go func() { results <- r.Submit(context.Background(), work.Job{ID: "a", Arrived: clock.Now()}) }()
	done := <-c.carried
	r.Stop()
	is.Equal((<-results).Outcome, work.Unfinished)
	is.Equal(c.withdrawn, []string{"a"})
	done(jobber.Result{}, true) // Too late for anybody.
	is.Equal(len(jobs.submitted), 0)
}

func TestLastCallerThatLeavesWithdrawsTheJob(t *testing.T) {
	is := is.New(t)
	jobs, c := &localJobs{}, &carrier{carried: make(chan func(jobber.Result, bool), 1)}
	r := newOverloaded(t, jobs, c)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(r.Submit(ctx, work.Job{ID: "a", Arrived: clock.Now()}).Outcome, work.Unfinished)
	is.Equal(c.withdrawn, []string{"a"})
	is.Equal(len(jobs.submitted), 0)
}
