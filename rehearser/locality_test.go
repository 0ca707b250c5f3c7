package rehearser_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/rehearser"
	"agatevalve/router"
)

// hotRackDay returns a day of fourteen entries and 77 minions on seven racks, on
// which a share of the jobs of the shortest route have their data on one rack.
func hotRackDay(seed uint64, share, load float64, wait work.DataWait) rehearser.Day {
	day := rehearser.Day{
		Seed: seed, Length: 5 * time.Second, Entries: 14, Room: work.Room{CPU: 32000, Memory: 131072},
		Routes: []rehearser.Route{
			{Name: "check", JobsPerSecond: 206 * load, Tasks: 8, Work: 60 * time.Millisecond, CPU: 3600, Worth: 0.00485},
			{Name: "lookup", JobsPerSecond: 37.6 * load, Tasks: 4, Work: 900 * time.Millisecond, CPU: 3600, Worth: 0.0267, Priority: 2},
			{Name: "claim", JobsPerSecond: 601 * load, Tasks: 2, Work: 200 * time.Millisecond, CPU: 3600, Worth: 0.00167, Priority: 1},
		},
		HotRack: rehearser.HotRack{Route: "check", Rack: "rack-0", Share: share, At: time.Second, For: 4 * time.Second, Factor: 2, DataWait: wait},
	}
	for i := range 77 {
		day.DurationFactors = append(day.DurationFactors, []float64{0.7, 0.7, 1.7}[i%3])
		day.Labels = append(day.Labels, []string{fmt.Sprintf("rack-%d", i/12)})
	}
	return day
}

func TestTrial(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{1.4} {
		for seed := range uint64(2) {
			for _, w := range []work.DataWait{{}, router.DefaultDataWait()} {
				r := rehearser.Play(hotRackDay(seed, 0.6, load, w))
				t.Logf("load %.1f seed %d wait %v: data %.3f %v near %d remote %d cores %.3f waits %d paid %d mean %v late %d refused %d worth %.3f", load, seed, w.MaxWait > 0, r.OnTimeWithData, r.OnTimeByRoute, r.NearStarts, r.RemoteStarts, r.DataCoreSeconds, r.DataWaits, r.DataWaitsPaid, r.MeanDataWait, r.LateByWait, r.Refused, r.Worth)
				t.Log(rehearser.Debug)
				clear(rehearser.Debug)
				is.Equal(r.Violations, nil)
			}
		}
	}
}
