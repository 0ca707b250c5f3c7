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
	// sweepEvery is the mean time between the sweeps of one entry.
	sweepEvery = 30 * time.Second
	// sweepWithin bounds one sweep.
	sweepWithin = time.Minute
)

// Sweeper calls Sweep from time to time.
type Sweeper struct {
	stop context.CancelFunc
	loop sync.WaitGroup
}

// NewSweeper starts a Sweeper. Log may be nil; random may be nil for a random
// seed.
func NewSweeper(table tabler.Table, random *rand.Rand, log *slog.Logger) *Sweeper {
	options := withDefaults(Options{Random: random, Log: log})
	ctx, stop := context.WithCancel(context.Background())
	s := &Sweeper{stop: stop}
	s.loop.Go(func() {
		for pause(ctx, options.Random) {
			sweepOnce(ctx, table, options.Log)
		}
	})
	return s
}

// Close stops the sweep under way and waits for the goroutine.
func (s *Sweeper) Close() {
	s.stop()
	s.loop.Wait()
}

// pause waits between 0 and twice sweepEvery, so that entries spread out. It
// reports false when ctx ends first.
func pause(ctx context.Context, random *rand.Rand) bool {
	timer := time.NewTimer(time.Duration(random.Int64N(int64(2 * sweepEvery))))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func sweepOnce(ctx context.Context, table tabler.Table, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, sweepWithin)
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
