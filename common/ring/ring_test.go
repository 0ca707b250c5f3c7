package ring_test

import (
	"context"
	"flag"
	"os"
	"runtime"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"agatevalve/common/ring"
)

// TestMain fixes the seed of rapid unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestRingMatchesSliceModel compares a ring with a slice, while the ring grows
// and wraps around.
func TestRingMatchesSliceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 8, 9, 20, 100}).Draw(t, "size")
		r := ring.New[int](size)
		var model []int
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if r.Len() != len(model) {
					t.Fatalf("Len returned %d, want %d", r.Len(), len(model))
				}
				if ready := len(r.Ready()) > 0; ready != (len(model) > 0) {
					t.Fatalf("ready is %t with %d items", ready, len(model))
				}
			},
			"offer": func(t *rapid.T) {
				for range rapid.IntRange(1, 2*size).Draw(t, "items") {
					fits := len(model) < size
					if r.Offer(next) != fits {
						t.Fatalf("Offer to a ring with %d of %d items: wrong result", len(model), size)
					}
					if fits {
						model = append(model, next)
					}
					next++
				}
			},
			"take": func(t *rapid.T) {
				limit := rapid.IntRange(1, size).Draw(t, "limit")
				taken, open := r.TakeUpTo(nil, limit)
				want := model[:min(limit, len(model))]
				if !open || !slices.Equal(taken, want) {
					t.Fatalf("TakeUpTo returned %v, want %v", taken, want)
				}
				model = model[len(want):]
			},
			"take all": func(t *rapid.T) {
				taken, _ := r.TakeAll(nil)
				if !slices.Equal(taken, model) {
					t.Fatalf("TakeAll returned %v, want %v", taken, model)
				}
				model = nil
			},
		})
	})
}

// An item that is added between the token of another and its removal left a token
// for an empty ring, for which links sent empty frames.
func TestTakingTheLastItemRemovesTheToken(t *testing.T) {
	is := is.New(t)
	r := ring.New[int](8)
	is.True(r.Offer(1))
	<-r.Ready()
	is.True(r.Offer(2))
	items, open := r.TakeAll(nil)
	is.True(open)
	is.Equal(items, []int{1, 2})
	is.Equal(len(r.Ready()), 0)
	is.True(r.Offer(3))
	is.Equal(len(r.Ready()), 1)
	r.Close()
	_, _ = r.TakeAll(nil)
	is.Equal(len(r.Ready()), 1) // Those that wait learn that the ring is closed.
}

func TestPutWaitsForSpace(t *testing.T) {
	is := is.New(t)
	const items = 1000
	r := ring.New[int](10)
	go func() {
		for i := range items {
			r.Put(context.Background(), i)
		}
		r.Close()
	}()
	var taken []int
	for open := true; open; {
		<-r.Ready()
		taken, open = r.TakeUpTo(taken, 3)
	}
	is.Equal(len(taken), items)
	is.True(slices.IsSorted(taken))
	is.True(!r.Offer(1)) // The ring is closed.
}

// TestIdleRingAllocatesLittle bounds the memory that a ring for 4 MB of items
// allocates before it is used.
func TestIdleRingAllocatesLittle(t *testing.T) {
	const size, item, most = 4096, 1024, 64 << 10
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r := ring.New[[item]byte](size)
	r.Offer([item]byte{})
	runtime.ReadMemStats(&after)
	if taken := after.TotalAlloc - before.TotalAlloc; taken > most {
		t.Fatalf("allocated %d bytes", taken)
	}
	runtime.KeepAlive(r)
}
