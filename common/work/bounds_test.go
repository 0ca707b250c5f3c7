package work_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
)

func TestMalformedValuesAreBounded(t *testing.T) {
	is := is.New(t)
	odd := work.Room{CPU: math.MinInt64, Memory: math.MaxInt64, Accelerators: -1}
	is.Equal(odd.Bounded(), work.Room{Memory: 1 << 40})
	l := work.Load{Running: odd, QueuedWork: -time.Second, Slowness: math.NaN()}.Bounded()
	is.Equal(l, work.Load{Running: work.Room{Memory: 1 << 40}})
	is.Equal(work.Load{Slowness: math.Inf(-1)}.Bounded().Slowness, -5.0)
	is.Equal(work.BoundedDuration(math.MaxInt64), time.Hour)
	usual := work.Load{Running: work.Room{CPU: 16_000, Memory: 64, Accelerators: 1}, QueuedWork: time.Second, LeastUrgent: 2, Slowness: -0.5}
	is.Equal(usual.Bounded(), usual)
}
