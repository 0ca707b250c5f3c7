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

// startsPerSecond is the peak of task starts at the target size.
const startsPerSecond = 64_000

// seconds is how long a load lasts.
const seconds = 3

// load is what a number of entries offer to one store.
type load struct {
	entries int
	tasks   int
}

// loadResult is what became of it.
type loadResult struct {
	won, failed int
	// waits are the times from offer to victory, in order.
	waits []time.Duration
}

// TestClaimsAtThePeak offers the claims of some peak seconds, at the stand-in's
// rates, in the bubble's time. Run it with -v for the figures.
func TestClaimsAtThePeak(t *testing.T) {
	for _, tasks := range []int{10, 100, 1300} {
		for _, entries := range []int{1, 4, 30} {
			l := load{entries: entries, tasks: tasks}
			t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { l.check(t) })
			})
		}
	}
}

func (l load) check(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	r := l.run(table)
	counts := table.Counts()
	is.Equal(r.failed, 0)
	is.Equal(r.won, seconds*startsPerSecond/l.tasks)
	is.Equal(counts.Conflicts, 0)
	t.Logf("claims %d transactions %d rows/transaction %.1f bytes/claim %.0f p50 %v p99 %v",
		r.won, counts.Commits, float64(r.won)/float64(counts.Commits),
		float64(counts.Bytes)/float64(r.won),
		r.waits[len(r.waits)/2], r.waits[len(r.waits)*99/100])
}

func (l load) run(table tabler.Table) loadResult {
	type end struct {
		event dispatcher.Event
		at    time.Time
	}
	total := seconds * startsPerSecond / l.tasks
	ends := make(chan end, total)
	var claimers []*claimer.Claimer
	for i := range l.entries {
		claimers = append(claimers, claimer.New(claimer.Options{
			Table:   table,
			Deliver: func(e dispatcher.Event) { ends <- end{e, time.Now()} },
			Random:  rand.New(rand.NewPCG(1, uint64(i))),
		}))
		claimers[i].SetEntries(l.entries)
	}
	offered := make([]time.Time, total)
	for job := range total {
		offered[job] = time.Now()
		claim := claimOf(job%l.entries, job, uint64(job), in(30*time.Second))
		claimers[job%l.entries].Insert(dispatcher.WriteClaim{Claim: claim})
		time.Sleep(seconds * time.Second / time.Duration(total))
	}
	var r loadResult
	for range total {
		e := <-ends
		won, ok := e.event.(dispatcher.ClaimWon)
		if !ok {
			r.failed++
			continue
		}
		r.won++
		r.waits = append(r.waits, e.at.Sub(offered[won.Claim.Token]))
	}
	slices.Sort(r.waits)
	for _, c := range claimers {
		c.Close()
	}
	return r
}

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
