package subscriber_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"agatevalve/common/work"
	"agatevalve/router"
	"agatevalve/subscriber"
)

// fakeSource is a store with one document and a set of evacuated zones, which can
// be made unavailable.
type fakeSource struct {
	mu          sync.Mutex
	version     int64
	zones       work.Zones
	unavailable bool
}

func (s *fakeSource) set(version int64, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.unavailable = version, unavailable
}

func (s *fakeSource) setZones(zones work.Zones) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones = zones
}

// Next implements subscriber.Source.
func (s *fakeSource) Next(context.Context) (subscriber.Change, error) {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return subscriber.Change{}, errors.New("away")
	}
	return subscriber.Change{Document: subscriber.Document{Version: s.version}, Zones: s.zones}, nil
}

// compile accepts all versions except 13.
func compile(d subscriber.Document) (subscriber.Configuration, error) {
	if d.Version == 13 {
		return subscriber.Configuration{}, errors.New("malformed")
	}
	table, err := router.Compile(uint64(d.Version), nil, nil)
	return subscriber.Configuration{Table: table}, err
}

// start starts a subscriber of a source; ask may be nil.
func start(s subscriber.Source, ask func(context.Context, subscriber.Versions, int) (subscriber.Change, error)) *subscriber.Subscriber {
	return subscriber.New(subscriber.Options{
		Source: s, Compile: compile, FetchNewer: ask, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
}

func TestOlderDocumentIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeSource{version: 7, zones: work.Zones{Version: 1}}
		s := start(store, nil)
		defer s.Close()
		_, configured := s.Configuration()
		is.True(!configured)
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.Document().Version, int64(7))
		store.set(5, false) // As in a stale read.
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.Document().Version, int64(7))
		store.set(9, false)
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.Document().Version, int64(9))
	})
}

func TestInvalidDocumentDoesNotReplaceTheOneInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeSource{version: 7, zones: work.Zones{Version: 1}}
		s := start(store, nil)
		defer s.Close()
		time.Sleep(100 * time.Millisecond)
		store.set(13, false)
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.Document().Version, int64(7))
		store.set(14, false)
		time.Sleep(100 * time.Millisecond)
		is.Equal(s.Document().Version, int64(14))
	})
}

func TestOtherEntriesAreAskedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeSource{version: 7, zones: work.Zones{Version: 1}}
		asked := 0
		s := start(store, func(_ context.Context, known subscriber.Versions, _ int) (subscriber.Change, error) {
			asked++
			return subscriber.Change{Document: subscriber.Document{Version: known.Document + 1}}, nil
		})
		defer s.Close()
		time.Sleep(3 * time.Second)
		is.Equal(asked, 0)
		store.set(7, true)
		time.Sleep(1500 * time.Millisecond)
		is.True(s.Document().Version > 7)
	})
}

// pollSource is a store whose polls last 800 ms, as without changes, or fail after
// 1300 ms while it is silent.
type pollSource struct{ silent atomic.Bool }

// Next implements subscriber.Source.
func (s *pollSource) Next(context.Context) (subscriber.Change, error) {
	time.Sleep(800 * time.Millisecond)
	if s.silent.Load() {
		time.Sleep(500 * time.Millisecond)
		return subscriber.Change{}, errors.New("no answer")
	}
	return subscriber.Change{Document: subscriber.Document{Version: 7}, Zones: work.Zones{Version: 1}}, nil
}

// A quiet poll made each entry ask all others, so that the connections between
// entries grew with the square of their number.
func TestFewEntriesAreAskedDuringAQuietPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := new(pollSource)
		var askedFew, askedAll atomic.Int32
		s := start(store, func(_ context.Context, _ subscriber.Versions, limit int) (subscriber.Change, error) {
			switch limit {
			case 0:
				askedAll.Add(1)
			case 2:
				askedFew.Add(1)
			default:
				t.Errorf("at most %d entries were asked", limit)
			}
			return subscriber.Change{}, errors.New("no newer version")
		})
		defer s.Close()
		// Nothing is in force before the first poll ends, so all are asked.
		time.Sleep(850 * time.Millisecond)
		is.Equal(askedFew.Swap(0), int32(0))
		is.True(askedAll.Swap(0) > 0)
		time.Sleep(4 * time.Second)
		is.True(askedFew.Load() > 0)
		is.Equal(askedAll.Load(), int32(0))
		store.silent.Store(true)
		time.Sleep(2200 * time.Millisecond) // At least one poll has failed.
		askedFew.Store(0)
		askedAll.Store(0)
		time.Sleep(2 * time.Second)
		is.Equal(askedFew.Load(), int32(0))
		is.True(askedAll.Load() >= 4)
	})
}

// An entry that starts during an outage gets both from another entry, and has no
// configuration before it knows the zones.
func TestOtherEntriesSupplyZonesWithTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		evacuated := work.Zones{Version: 8, Evacuated: []string{"b"}}
		document := subscriber.Document{Version: 7}
		var asked atomic.Int32
		s := start(&fakeSource{unavailable: true}, func(_ context.Context, known subscriber.Versions, _ int) (subscriber.Change, error) {
			if asked.Add(1) == 1 {
				return subscriber.Change{Document: document}, nil
			}
			if known != (subscriber.Versions{}) {
				return subscriber.Change{}, errors.New("no newer version")
			}
			return subscriber.Change{Document: document, Zones: evacuated}, nil
		})
		defer s.Close()
		time.Sleep(600 * time.Millisecond)
		_, configured := s.Configuration()
		is.Equal(asked.Load(), int32(1))
		is.True(!configured) // The first answer has no zones.
		time.Sleep(400 * time.Millisecond)
		_, configured = s.Configuration()
		is.True(configured)
		is.Equal(s.Zones(), evacuated)
	})
}

func TestZonesAreReportedInOrderAndNeverReplacedByOlderOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, registry := &fakeSource{version: 7}, metrics.NewRegistry()
		var reported []work.Zones
		s := subscriber.New(subscriber.Options{
			Source: store, Compile: compile, Log: slog.New(slog.DiscardHandler), Metrics: registry,
			ZonesChanged: func(z work.Zones) { reported = append(reported, z) },
		})
		read := func(z work.Zones) {
			store.setZones(z)
			time.Sleep(100 * time.Millisecond)
		}
		returned, evacuated, reread := work.Zones{Version: 3}, work.Zones{Version: 9, Evacuated: []string{"a", "b"}}, work.Zones{Version: 12, Evacuated: []string{"a", "b"}}
		read(returned)
		read(evacuated)
		read(work.Zones{Version: 5, Evacuated: []string{"c"}}) // As in a stale read.
		read(reread)
		s.Close()
		is.Equal(reported, []work.Zones{returned, evacuated, reread})
		is.Equal(s.Zones(), reread)
		is.Equal(registry.Get("zones-changed").(metrics.Counter).Count(), int64(2)) // The last one has the same zones.
		is.Equal(registry.Get("zones-evacuated").(metrics.Gauge).Value(), int64(2))
	})
}
