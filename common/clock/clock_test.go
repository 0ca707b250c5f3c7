package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/clock"
)

func TestClockIsSteady(t *testing.T) {
	is := is.New(t)
	last, monotonic := clock.Now(), time.Now()
	is.True(last.Sub(monotonic).Abs() < time.Minute) // Near the time of day.
	for range 1000 {
		now := clock.Now()
		is.True(!now.Before(last))
		last = now
	}
	is.Equal(last, last.Round(0)) // No monotonic reading, which stops in a suspension.
	is.True(clock.Since(last) >= 0)
}
