package rehearser_test

import (
	"testing"

	"github.com/matryer/is"

	"agatevalve/rehearser"
)

// The users' gate asks for half of the served share of all jobs of the route.
func TestLargestJobsAreServedHalfAsOftenAsAll(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"orders-0.9", "orders-1.1", "orders-1.3"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(6) {
				for _, d := range rehearser.Days(seed) {
					if d.Name != name {
						continue
					}
					shares := rehearser.Play(d.Day).ServedBySize
					t.Logf("seed %d: %+v", seed, shares)
					for _, s := range shares {
						is.True(s.Largest >= s.All/2)
					}
				}
			}
		})
	}
}
