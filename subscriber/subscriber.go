// Package subscriber keeps the newest configuration in force at an entry of the
// platform, where the operator writes it to the metadata store and not to
// agatevalve's own tables. It watches the store, and asks other entries while the
// store fails. A configuration is never replaced by an older one.
package subscriber

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

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
}

// Source watches the operator's document.
type Source interface {
	// Next waits some time for a change. It returns the current document, or an
	// empty one if there was no change.
	Next(ctx context.Context) (Document, error)
}

// Options are the dependencies of a Subscriber.
type Options struct {
	Source Source
	// Compile validates a document and compiles it.
	Compile func(Document) (Configuration, error)
	// FetchNewer requests a document with a higher version from other entries. It
	// may return an empty one; a nil FetchNewer disables these requests.
	FetchNewer func(ctx context.Context, version int64) (Document, error)
	Log        *slog.Logger
	Metrics    metrics.Registry
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
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu sync.Mutex
	// lastSuccess is the time of the last successful read of the source.
	lastSuccess time.Time

	adopted, refused, failed metrics.Counter
}

// New starts a subscriber. It has no configuration until the first read succeeds.
func New(o Options) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscriber{
		options: o, cancel: cancel, lastSuccess: time.Now(),
		adopted: metrics.GetOrRegisterCounter("configurations-adopted", o.Metrics),
		refused: metrics.GetOrRegisterCounter("configurations-refused", o.Metrics),
		failed:  metrics.GetOrRegisterCounter("configuration-reads-failed", o.Metrics),
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

// followSource adopts the documents of the source until ctx ends.
func (s *Subscriber) followSource(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		document, err := s.options.Source.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.failed.Inc(1)
			if !failing {
				s.options.Log.Warn("subscriber: Can't read the configuration from the store", "error", err)
			}
			failing = true
			sleep(ctx, retryDelay)
			continue
		}
		if failing {
			s.options.Log.Info("subscriber: The store answers again")
		}
		failing = false
		s.mu.Lock()
		s.lastSuccess = time.Now()
		s.mu.Unlock()
		s.adopt(document, "store")
	}
}

// followPeers adopts documents of other entries while the source fails.
func (s *Subscriber) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, peerInterval)
		s.mu.Lock()
		outage := time.Since(s.lastSuccess)
		s.mu.Unlock()
		if outage < peerInterval || s.options.FetchNewer == nil {
			continue
		}
		peerContext, cancel := context.WithTimeout(ctx, peerTimeout)
		document, err := s.options.FetchNewer(peerContext, s.Document().Version)
		cancel()
		if err != nil {
			s.options.Log.Debug("subscriber: No other entry answered", "error", err)
			continue
		}
		s.adopt(document, "entry")
	}
}

// adopt puts a document into force if it is valid and newer than the current
// one. Both goroutines may call it at the same time.
func (s *Subscriber) adopt(document Document, from string) {
	if document.Version == 0 || document.Version <= s.Document().Version {
		return
	}
	configuration, err := s.options.Compile(document)
	if err != nil {
		s.refused.Inc(1)
		s.options.Log.Error("subscriber: Refused a configuration", "version", document.Version, "from", from, "error", err)
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
	s.options.Log.Info("subscriber: A configuration is in force", "version", document.Version, "from", from,
		"routes", len(configuration.Table.Routes()), "bytes", len(document.Content))
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
