package relayer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/relayer"
)

var start = time.Unix(1_800_000_000, 0)

// observe feeds a governor with one delay each 10 ms, and returns the time after
// the last.
func observe(g *relayer.Governor, from time.Time, duration, delay time.Duration) time.Time {
	for ; duration > 0; duration -= 10 * time.Millisecond {
		g.Observe(from, delay)
		from = from.Add(10 * time.Millisecond)
	}
	return from
}

func handedOver(g *relayer.Governor, jobs int) int {
	count := 0
	for range jobs {
		if g.HandOver() {
			count++
		}
	}
	return count
}

func TestNothingIsHandedOverWithoutAStandingQueue(t *testing.T) {
	is := is.New(t)
	var g relayer.Governor
	now := start
	for range 50 { // A burst of 10 ms in each 50 ms.
		now = observe(&g, now, 10*time.Millisecond, 30*time.Millisecond)
		now = observe(&g, now, 40*time.Millisecond, 20*time.Microsecond)
	}
	is.Equal(g.Share(), 0.0)
	is.Equal(handedOver(&g, 1000), 0)
	is.True(g.Takes())
}

func TestAllIsHandedOverWithinAFifthOfASecondOfOverload(t *testing.T) {
	is := is.New(t)
	var g relayer.Governor
	observe(&g, start, 200*time.Millisecond, 60*time.Millisecond)
	is.Equal(g.Share(), 1.0)
	is.Equal(handedOver(&g, 100), 100)
	is.True(!g.Takes())
}

// Work that waits longer than the silence after which a window counts no more is
// overload all the same.
func TestLongWaitsAreNoSilence(t *testing.T) {
	is := is.New(t)
	var g relayer.Governor
	now := start
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		g.Observe(now, 480*time.Millisecond)
		g.Observe(now.Add(time.Millisecond), 470*time.Millisecond)
	}
	is.Equal(g.Share(), 1.0)
}

func TestJobsComeBackAfterAnOverload(t *testing.T) {
	is := is.New(t)
	var g relayer.Governor
	now := observe(&g, start, 300*time.Millisecond, 60*time.Millisecond)
	now = observe(&g, now, 300*time.Millisecond, 100*time.Microsecond)
	share := g.Share()
	is.True(share > 0 && share < 1)
	half := handedOver(&g, 1000)
	is.True(half >= int(1000*share)-1 && half <= int(1000*share)+1)
	g.Observe(now.Add(2*time.Second), 0) // Nothing arrived meanwhile.
	is.Equal(g.Share(), 0.0)
	is.True(g.Takes())
}
