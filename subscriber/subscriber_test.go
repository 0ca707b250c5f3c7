package subscriber_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"agatevalve/router"
	"agatevalve/subscriber"
)

// fakeSource is a store with one document, which can be made unavailable.
type fakeSource struct {
	mu          sync.Mutex
	version     int64
	unavailable bool
}

func (s *fakeSource) set(version int64, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.unavailable = version, unavailable
}

// Next implements subscriber.Source.
func (s *fakeSource) Next(context.Context) (subscriber.Document, error) {
	time.Sleep(10 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return subscriber.Document{}, errors.New("away")
	}
	return subscriber.Document{Version: s.version}, nil
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
func start(s *fakeSource, ask func(context.Context, int64) (subscriber.Document, error)) *subscriber.Subscriber {
	return subscriber.New(subscriber.Options{
		Source: s, Compile: compile, FetchNewer: ask, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
}

func TestOlderDocumentIsNotAdopted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &fakeSource{version: 7}
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
		store := &fakeSource{version: 7}
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
		store := &fakeSource{version: 7}
		asked := 0
		s := start(store, func(_ context.Context, version int64) (subscriber.Document, error) {
			asked++
			return subscriber.Document{Version: version + 1}, nil
		})
		defer s.Close()
		time.Sleep(3 * time.Second)
		is.Equal(asked, 0)
		store.set(7, true)
		time.Sleep(1500 * time.Millisecond)
		is.True(s.Document().Version > 7)
	})
}
