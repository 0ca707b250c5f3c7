package claimer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/claimer"
	"agatevalve/dispatcher"
	"agatevalve/emulator"
	"agatevalve/tabler"
)

// startsPerSecond is the peak rate of task starts at the target size.
const startsPerSecond = 64_000

// loadSeconds is the duration of a load.
const loadSeconds = 3

// load describes the claims that entries offer to one store: those of
// startsPerSecond task starts, in jobs of equal size.
type load struct {
	entries int
	// tasks is the number of tasks per job.
	tasks int
}

// loadResult is the result of running a load.
type loadResult struct {
	won, failed int
	// latencies holds the time from Insert to ClaimWon of each claim that won,
	// in ascending order.
	latencies []time.Duration
}

// TestClaimsAtPeakLoad offers claims at the peak rate for a few seconds, with
// the latencies of the emulated store, in fake time. Run it with -v for the
// figures.
func TestClaimsAtPeakLoad(t *testing.T) {
	for _, tasks := range []int{10, 100, 1300} {
		for _, entries := range []int{1, 4, 30} {
			l := load{entries: entries, tasks: tasks}
			t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { l.check(t) })
			})
		}
	}
}

// check runs the load and checks that every claim wins without conflicts.
func (l load) check(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	r := l.run(table)
	counts := table.Counts()
	is.Equal(r.failed, 0)
	is.Equal(r.won, loadSeconds*startsPerSecond/l.tasks)
	is.Equal(counts.Conflicts, 0)
	t.Logf("claims %d transactions %d rows/transaction %.1f bytes/claim %.0f p50 %v p99 %v",
		r.won, counts.Commits, float64(r.won)/float64(counts.Commits),
		float64(counts.Bytes)/float64(r.won),
		r.latencies[len(r.latencies)/2], r.latencies[len(r.latencies)*99/100])
}

// run offers the claims of the load at a constant rate, to each entry in turn,
// and waits for the event of each.
func (l load) run(table tabler.Table) loadResult {
	type outcome struct {
		event dispatcher.Event
		at    time.Time
	}
	total := loadSeconds * startsPerSecond / l.tasks
	outcomes := make(chan outcome, total)
	var claimers []*claimer.Claimer
	for i := range l.entries {
		claimers = append(claimers, claimer.New(claimer.Options{
			Table:   table,
			Deliver: func(e dispatcher.Event) { outcomes <- outcome{e, time.Now()} },
			Random:  rand.New(rand.NewPCG(1, uint64(i))),
		}))
		claimers[i].SetEntries(l.entries)
	}
	offered := make([]time.Time, total)
	for job := range total {
		offered[job] = time.Now()
		claim := claimOf(job%l.entries, job, uint64(job), fromNow(30*time.Second))
		claimers[job%l.entries].Insert(dispatcher.WriteClaim{Claim: claim})
		time.Sleep(loadSeconds * time.Second / time.Duration(total))
	}
	var r loadResult
	for range total {
		e := <-outcomes
		won, ok := e.event.(dispatcher.ClaimWon)
		if !ok {
			r.failed++
			continue
		}
		r.won++
		r.latencies = append(r.latencies, e.at.Sub(offered[won.Claim.Token]))
	}
	slices.Sort(r.latencies)
	for _, c := range claimers {
		c.Close()
	}
	return r
}

// BenchmarkCore inserts 256 claims and commits a transaction per iteration.
func BenchmarkCore(b *testing.B) {
	core := claimer.NewCore(claimer.DefaultLimits(), rand.New(rand.NewPCG(1, 1)))
	claims := make([]dispatcher.Claim, 256)
	for i := range claims {
		claims[i] = claimOf(0, i, uint64(i), epoch.Add(time.Second))
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, c := range claims {
			core.Insert(dispatcher.WriteClaim{Claim: c}, epoch)
		}
		batch := core.Next(epoch)
		core.CommitDone(batch, tabler.Result{Applied: true}, nil, epoch)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(claims)), "ns/claim")
}

func BenchmarkDecodeRow(b *testing.B) {
	claim := claimOf(0, 1, 1, epoch)
	value, err := claimer.EncodeRow(claim)
	if err != nil {
		b.Fatal(err)
	}
	row := tabler.Row{Key: claimer.KeyOf(claim.Job), Version: 1, Value: value}
	b.ReportAllocs()
	b.ReportMetric(float64(len(value)), "bytes/row")
	for b.Loop() {
		if _, err := claimer.DecodeRow(row); err != nil {
			b.Fatal(err)
		}
	}
}
