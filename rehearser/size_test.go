package rehearser_test

import (
	"testing"
	"time"

	"agatevalve/common/work"
	"agatevalve/rehearser"
)

// grownDay is a day of the size of the users' desks after they have grown.
func grownDay(seed uint64) rehearser.Day {
	day := rehearser.Day{
		Seed: seed, Length: 4 * time.Second, Entries: 13, Room: work.Room{CPU: 16000, Memory: 65536},
		Routes: []rehearser.Route{
			{Name: "hold", PerSecond: 206, Tasks: 8, Work: 60 * time.Millisecond, CPU: 1700, Worth: 0.00485},
			{Name: "assign", PerSecond: 37.5, Tasks: 4, Work: 900 * time.Millisecond, CPU: 1700, Worth: 0.0267},
			{Name: "check", PerSecond: 600, Tasks: 2, Work: 200 * time.Millisecond, CPU: 1700, Worth: 0.00167},
		},
	}
	for i := range 71 {
		day.Paces = append(day.Paces, []float64{0.7, 0.7, 1.7}[i%3])
	}
	return day
}

func BenchmarkGrownDay(b *testing.B) {
	for b.Loop() {
		r := rehearser.Play(grownDay(1))
		b.Logf("%+v", r)
	}
}
