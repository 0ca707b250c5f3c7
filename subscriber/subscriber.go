// Package subscriber keeps the newest configuration and the newest decision on
// evacuated zones at an entry of the platform, where the operator writes them to
// the metadata store and not to agatevalve's own tables. It watches the store, and
// asks other entries while the store fails. Neither is ever replaced by an older
// one, and no configuration is in force before the evacuated zones are known.
package subscriber

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/work"
	"agatevalve/router"
)

const (
	// retryDelay is the delay before the source is read again after an error. It
	// keeps a source that fails at once from being called in a tight loop.
	retryDelay = 150 * time.Millisecond
	// peerInterval is the time for which the source must have failed before other
	// entries are asked, and the interval between these requests.
	peerInterval = 400 * time.Millisecond
	// peerTimeout is the timeout of one round of requests to other entries.
	peerTimeout = 400 * time.Millisecond
	// maxQuietPoll exceeds the time for which a healthy store lets a poll wait. After
	// it all entries are asked.
	maxQuietPoll = time.Second
	// quietPeerLimit is the number of entries that are asked in one round while the
	// source is silent but has not failed, as in each quiet poll of a healthy store.
	// Each request opens a connection.
	quietPeerLimit = 2
	// maxLoggedWarnings caps the log lines about the values of one configuration. All
	// are counted.
	maxLoggedWarnings = 20
)

// Document is a configuration as the operator wrote it.
type Document struct {
	// Version increases with each write; 0 means that there is no document.
	Version int64
	// Content is the document in the format of the platform.
	Content []byte
}

// Configuration is a compiled Document.
type Configuration struct {
	// Table is the route table.
	Table *router.Table
	// MaxBodyBytes is the maximum size of a request body; 0 for the default.
	MaxBodyBytes int64
	// Warnings are the values of the document that are not used as written.
	Warnings []router.Finding
}

// Change is what the operator has changed.
type Change struct {
	// Document is the current configuration, or empty if it has not changed.
	Document Document
	// Unreadable is the reason why the current configuration, which has changed, can't be
	// read; nil if it can. Document may then be one before it.
	Unreadable error
	// Zones is the current decision on evacuated zones. Its version is 0 if it has
	// not changed.
	Zones work.Zones
}

// Versions are the versions that an entry has; 0 for what it does not have.
type Versions struct {
	Document int64
	Zones    uint64
}

// Source watches what the operator writes.
type Source interface {
	// Next waits some time for a change, and returns the empty one if there was
	// none. The first change has the evacuated zones.
	Next(ctx context.Context) (Change, error)
}

// Options are the dependencies of a Subscriber.
type Options struct {
	Source Source
	// Compile validates a document and compiles it.
	Compile func(Document) (Configuration, error)
	// FetchNewer requests what is newer than the known versions from at most limit
	// other entries, or from all if limit is 0. It may return the empty change; a nil
	// FetchNewer disables these requests.
	FetchNewer func(ctx context.Context, known Versions, limit int) (Change, error)
	// ZonesChanged is called with each newer decision on evacuated zones, in order
	// and before a configuration that came with it is in force. It may be nil, and
	// must not call the subscriber.
	ZonesChanged func(work.Zones)
	Log          *slog.Logger
	Metrics      metrics.Registry
}

// activeConfiguration is a configuration in force and its document.
type activeConfiguration struct {
	document      Document
	configuration Configuration
}

// Subscriber holds the newest known configuration. It is safe for concurrent use.
type Subscriber struct {
	options    Options
	current    atomic.Pointer[activeConfiguration]
	zones      atomic.Pointer[work.Zones]
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu sync.Mutex
	// lastSuccess is the time of the last successful read of the source, and failing
	// is true if a read has failed since.
	lastSuccess time.Time
	failing     bool
	// zonesMu is held while zones is replaced and ZonesChanged called.
	zonesMu sync.Mutex

	adopted, refused, failed metrics.Counter
	// warnings is the number of values in the configuration in force that are not used
	// as written.
	warnings metrics.Gauge
	// zonesChanged counts decisions that differ from the one before, and evacuated
	// is the number of zones that are evacuated.
	zonesChanged metrics.Counter
	evacuated    metrics.Gauge
}

// New starts a subscriber. It has no configuration until the first read succeeds.
func New(o Options) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscriber{
		options: o, cancel: cancel, lastSuccess: time.Now(),
		adopted: metrics.GetOrRegisterCounter("configurations-adopted", o.Metrics),
		refused: metrics.GetOrRegisterCounter("configurations-refused", o.Metrics),
		failed:  metrics.GetOrRegisterCounter("configuration-reads-failed", o.Metrics),

		warnings: metrics.GetOrRegisterGauge("configuration-warnings", o.Metrics),

		zonesChanged: metrics.GetOrRegisterCounter("zones-changed", o.Metrics),
		evacuated:    metrics.GetOrRegisterGauge("zones-evacuated", o.Metrics),
	}
	s.goroutines.Go(func() { s.followSource(ctx) })
	s.goroutines.Go(func() { s.followPeers(ctx) })
	return s
}

// Document returns the document in force, or the empty document if there is none
// yet.
func (s *Subscriber) Document() Document {
	if f := s.current.Load(); f != nil {
		return f.document
	}
	return Document{}
}

// Zones returns the newest decision on evacuated zones. Its version is 0 if none
// is known yet.
func (s *Subscriber) Zones() work.Zones {
	if z := s.zones.Load(); z != nil {
		return *z
	}
	return work.Zones{}
}

// Configuration returns the configuration in force, and false if there is none
// yet.
func (s *Subscriber) Configuration() (Configuration, bool) {
	if f := s.current.Load(); f != nil {
		return f.configuration, true
	}
	return Configuration{}, false
}

// Close stops the subscriber and waits for its goroutines.
func (s *Subscriber) Close() {
	s.cancel()
	s.goroutines.Wait()
}

// followSource adopts the changes of the source until ctx ends.
func (s *Subscriber) followSource(ctx context.Context) {
	for ctx.Err() == nil {
		change, err := s.options.Source.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.failed.Inc(1)
			if !s.setFailing(true) {
				s.options.Log.Warn("subscriber: Can't read the configuration from the store", "error", err)
			}
			sleep(ctx, retryDelay)
			continue
		}
		if s.setFailing(false) {
			s.options.Log.Info("subscriber: The store answers again")
		}
		s.adopt(change, "store")
	}
}

// setFailing records whether the last read of the source failed, and returns
// whether the one before did.
func (s *Subscriber) setFailing(failing bool) (before bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, s.failing = s.failing, failing
	if !failing {
		s.lastSuccess = time.Now()
	}
	return before
}

// followPeers adopts changes from other entries while the source fails or is
// silent.
func (s *Subscriber) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerInterval)
		s.mu.Lock()
		outage, failing := time.Since(s.lastSuccess), s.failing
		s.mu.Unlock()
		if outage < peerInterval || s.options.FetchNewer == nil {
			continue
		}
		known := Versions{Document: s.Document().Version, Zones: s.Zones().Version}
		limit := 0
		if !failing && known.Document > 0 && outage < maxQuietPoll {
			limit = quietPeerLimit
		}
		peerContext, cancel := context.WithTimeout(ctx, peerTimeout)
		change, err := s.options.FetchNewer(peerContext, known, limit)
		cancel()
		if err != nil {
			s.options.Log.Debug("subscriber: No other entry answered", "error", err)
			continue
		}
		s.adopt(change, "entry")
	}
}

// adopt adopts the zones of a change and then its document. Both goroutines may
// call it at the same time.
func (s *Subscriber) adopt(change Change, from string) {
	s.adoptZones(change.Zones, from)
	if change.Unreadable != nil {
		s.refuse(0, from, change.Unreadable)
	}
	if s.zones.Load() == nil {
		return // With a configuration, the entry would place work in evacuated zones.
	}
	s.adoptDocument(change.Document, from)
}

// adoptZones replaces the decision on evacuated zones by a newer one.
func (s *Subscriber) adoptZones(zones work.Zones, from string) {
	s.zonesMu.Lock()
	defer s.zonesMu.Unlock()
	previous := s.Zones()
	if !zones.NewerThan(previous) {
		return
	}
	s.zones.Store(&zones)
	if previous.Version == 0 || !slices.Equal(zones.Evacuated, previous.Evacuated) {
		s.zonesChanged.Inc(1)
		s.evacuated.Update(int64(len(zones.Evacuated)))
		s.options.Log.Info("subscriber: The evacuated zones changed", "version", zones.Version, "from", from, "evacuated", zones.Evacuated)
	}
	if s.options.ZonesChanged != nil {
		s.options.ZonesChanged(zones)
	}
}

// adoptDocument puts a document into force if it is valid and newer than the
// current one.
func (s *Subscriber) adoptDocument(document Document, from string) {
	if document.Version == 0 || document.Version <= s.Document().Version {
		return
	}
	configuration, err := s.options.Compile(document)
	if err != nil {
		s.refuse(document.Version, from, err)
		return
	}
	next := &activeConfiguration{document: document, configuration: configuration}
	for {
		current := s.current.Load()
		if current != nil && current.document.Version >= document.Version {
			return
		}
		if s.current.CompareAndSwap(current, next) {
			break
		}
	}
	s.adopted.Inc(1)
	s.warnings.Update(int64(len(configuration.Warnings)))
	s.options.Log.Info("subscriber: A configuration is in force", "version", document.Version, "from", from,
		"routes", len(configuration.Table.Routes()), "bytes", len(document.Content), "warnings", len(configuration.Warnings))
	for _, w := range configuration.Warnings[:min(len(configuration.Warnings), maxLoggedWarnings)] {
		s.options.Log.Warn("subscriber: A value of the configuration is not used as written", "version", document.Version,
			"table", w.Table, "row", w.Row, "cause", w.Cause, "reason", w.Text, "remedy", w.Remedy)
	}
}

// refuse reports that a configuration does not come into force. The version is 0 if
// it can't be read.
func (s *Subscriber) refuse(version int64, from string, err error) {
	s.refused.Inc(1)
	s.options.Log.Error("subscriber: Refused a configuration", "version", version, "from", from, "error", err)
}

// sleep waits for the pause or the end of ctx, whichever comes first.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
