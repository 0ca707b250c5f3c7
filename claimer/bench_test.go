package claimer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"agatevalve/claimer"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

// BenchmarkStarts claims the jobs of 13,000 task starts in transactions of the
// maximum size. ns/start is the cost of claims per task start.
func BenchmarkStarts(b *testing.B) {
	const starts = 13_000
	for _, tasks := range []int{1, 10, 100, 1300} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			claims := make([]dispatcher.Claim, starts/tasks)
			for i := range claims {
				claims[i] = claimOf(0, i, uint64(i), epoch.Add(1))
			}
			core := claimer.NewCore(claimer.DefaultLimits(), rand.New(rand.NewPCG(1, 1)))
			b.ReportAllocs()
			for b.Loop() {
				claimAll(b, core, claims)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*starts), "ns/start")
		})
	}
}

// claimAll inserts the claims and commits transactions until all have won.
func claimAll(b *testing.B, core *claimer.Core, claims []dispatcher.Claim) {
	for _, c := range claims {
		core.Insert(dispatcher.WriteClaim{Claim: c}, epoch)
	}
	won := 0
	now := epoch
	for won < len(claims) {
		batch := core.Next(now)
		if batch == nil {
			wake, _ := core.WakeTime()
			b.Fatalf("no transaction to send with %d of %d claims won; wake-up time %v", won, len(claims), wake)
		}
		won += len(core.CommitDone(batch, tabler.Result{Applied: true}, nil, now))
	}
}
