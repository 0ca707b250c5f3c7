package coupler_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/clock"
	"agatevalve/common/task"
	"agatevalve/common/work"
	"agatevalve/coupler"
	"agatevalve/jobber"
	"agatevalve/listener"
)

// answer is what the other entry said of a job.
type answer struct {
	result jobber.Result
	taken  bool
}

// relayPair is an entry that hands jobs over, and the address of one that takes
// them by takeOver.
type relayPair struct {
	client *coupler.RelayClient
	peer   netip.AddrPort
	stop   func()
}

func newRelayPair(t *testing.T, takeOver func(context.Context, work.Job) (jobber.Result, bool)) relayPair {
	t.Helper()
	server := coupler.NewRelayServer(coupler.RelayServerOptions{TakeOver: takeOver, ProcessorMillis: 800, Log: slog.New(slog.DiscardHandler)})
	mux := http.NewServeMux()
	server.Handle(mux)
	l, err := listener.Open("links", netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(mux, 32<<10, slog.New(slog.DiscardHandler))
	stop := func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = l.Stop(ctx) // Open streams are cut, as when the process ends.
	}
	client := coupler.NewRelayClient(coupler.RelayClientOptions{
		Self: task.Process{Name: "entry-1", Incarnation: 1}, Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(func() { client.Close(); stop() })
	return relayPair{client: client, peer: l.Address(), stop: stop}
}

// carry hands a job over as soon as the stream is open.
func (p relayPair) carry(t *testing.T, id string) <-chan answer {
	t.Helper()
	now := clock.Now()
	job := work.Job{
		ID: id, Route: "r", Service: "s", Spec: "x", Count: 3, Room: work.Room{CPU: 100}, Attempts: 2, Priority: 1, Stretch: 1.6,
		Arrived: now.Add(-time.Second), Deadline: now.Add(time.Minute), Rack: "r1", DataWait: work.DataWait{MaxWait: time.Second, Weight: 0.5},
	}
	answers := make(chan answer, 1)
	for until := now.Add(20 * time.Second); clock.Now().Before(until); time.Sleep(time.Millisecond) {
		if p.client.Carry(p.peer, job, func(result jobber.Result, taken bool) { answers <- answer{result, taken} }) {
			return answers
		}
	}
	t.Fatal("no stream was opened")
	return nil
}

func TestRelayedJobIsAnsweredByTheOtherEntry(t *testing.T) {
	is := is.New(t)
	jobs := make(chan work.Job, 1)
	p := newRelayPair(t, func(_ context.Context, job work.Job) (jobber.Result, bool) {
		jobs <- job
		return jobber.Result{Outcome: work.NotRun, Reason: "full", RetryAfter: 2 * time.Second}, job.ID == "a"
	})
	is.Equal(<-p.carry(t, "a"), answer{jobber.Result{Outcome: work.NotRun, Reason: "full", RetryAfter: 2 * time.Second}, true})
	job := <-jobs
	is.Equal(job.Count, 3)
	is.Equal(job.Rack, "r1")
	is.Equal(job.DataWait, work.DataWait{MaxWait: time.Second, Weight: 0.5})
	is.True(clock.Since(job.Arrived) >= time.Second) // The objective counts from the arrival.
	is.Equal((<-p.carry(t, "b")).taken, false)
	is.Equal(p.client.Capacity(p.peer), 800)
}

func TestWithdrawnJobIsStoppedAtTheOtherEntry(t *testing.T) {
	started, stopped := make(chan struct{}), make(chan struct{})
	p := newRelayPair(t, func(ctx context.Context, _ work.Job) (jobber.Result, bool) {
		close(started)
		<-ctx.Done()
		close(stopped)
		return jobber.Result{}, true
	})
	p.carry(t, "a")
	<-started
	p.client.Withdraw(p.peer, "a")
	<-stopped
}

// Callers submit a job again after a broken connection, so the entry that took it
// must stop it when the one that handed it over is gone.
func TestJobsStopWithTheEntryThatHandedThemOver(t *testing.T) {
	started, stopped := make(chan struct{}), make(chan struct{})
	p := newRelayPair(t, func(ctx context.Context, _ work.Job) (jobber.Result, bool) {
		close(started)
		<-ctx.Done()
		close(stopped)
		return jobber.Result{}, true
	})
	p.carry(t, "a")
	<-started
	p.client.Close()
	<-stopped
}

func TestLossOfTheOtherEntryIsNoProofThatNothingRan(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	p := newRelayPair(t, func(ctx context.Context, _ work.Job) (jobber.Result, bool) {
		close(started)
		<-ctx.Done()
		return jobber.Result{}, true
	})
	answers := p.carry(t, "a")
	<-started
	p.stop()
	lost := <-answers
	is.True(lost.taken)
	is.Equal(lost.result.Outcome, work.Unfinished)
}
