package claimer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"agatevalve/tabler"
)

const (
	// meanSweepInterval is the mean interval between the sweeps of one entry.
	meanSweepInterval = 30 * time.Second
	// sweepTimeout is the timeout of one sweep.
	sweepTimeout = time.Minute
)

// Sweeper calls Sweep periodically, at random intervals.
type Sweeper struct {
	stop context.CancelFunc
	loop sync.WaitGroup
}

// NewSweeper starts a Sweeper. random is the source of its intervals; if nil,
// one with a random seed is used. log may be nil.
func NewSweeper(table tabler.Table, random *rand.Rand, log *slog.Logger) *Sweeper {
	options := withDefaults(Options{Random: random, Log: log})
	ctx, stop := context.WithCancel(context.Background())
	s := &Sweeper{stop: stop}
	s.loop.Go(func() {
		for waitForNextSweep(ctx, options.Random) {
			sweepOnce(ctx, table, options.Log)
		}
	})
	return s
}

// Close cancels a sweep in progress and waits for the goroutine.
func (s *Sweeper) Close() {
	s.stop()
	s.loop.Wait()
}

// waitForNextSweep waits for a random time between 0 and twice
// meanSweepInterval, so that the sweeps of the entries spread out. It reports
// false if ctx ends first.
func waitForNextSweep(ctx context.Context, random *rand.Rand) bool {
	timer := time.NewTimer(time.Duration(random.Int64N(int64(2 * meanSweepInterval))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sweepOnce sweeps once and logs the outcome.
func sweepOnce(ctx context.Context, table tabler.Table, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	swept, err := Sweep(ctx, table, time.Now())
	if err != nil {
		log.Warn("claimer: Sweep failed", "error", err)
		return
	}
	if swept.Deleted > 0 {
		log.Info("claimer: Swept old claims", "deleted", swept.Deleted, "kept", swept.Kept)
	}
}
