package subscriber_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"agatevalve/common/work"
	"agatevalve/subscriber"
)

const (
	// entryCount is the number of simulated entries.
	entryCount = 4
	// maxAdoptionTime is the time within which the newest version must be in force
	// at all entries that can reach the store, or another entry that can reach it.
	// The users require 2 s.
	maxAdoptionTime = 2 * time.Second
	// pollTimeout is the time after which a poll without an answer fails.
	pollTimeout = 1300 * time.Millisecond
)

// TestMain sets default values of the seed and the number of checks, which
// -rapid.seed and -rapid.checks override.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		f := flag.Lookup(name)
		if f.Value.String() == f.DefValue {
			_ = flag.Set(name, value) // A number is always a valid value.
		}
	}
	os.Exit(m.Run())
}

// event is a change of the simulated cluster.
type event struct {
	// delay is the time since the previous event.
	delay time.Duration
	// kind is one of those in cluster.apply.
	kind string
	// entry is the index of the entry that the event is about, if it is about one.
	entry int
}

// cluster simulates a store that some entries can't reach, and entries that may
// not respond to each other.
type cluster struct {
	mu sync.Mutex
	// version is the newest version in the store.
	version int64
	// staleVersion is an older version that all reads return; 0 for the newest.
	staleVersion int64
	cutOff       [entryCount]bool
	// silent entries get no answer of the store, in place of an error at once.
	silent       [entryCount]bool
	unresponsive [entryCount]bool
	entries      [entryCount]*subscriber.Subscriber
}

// entrySource is the source of one entry, which is the store if the entry can
// reach it, and the other entries.
type entrySource struct {
	cluster *cluster
	entry   int
}

// changeAt returns what a store or an entry with a version has: the version is that
// of the zones too.
func changeAt(version int64) subscriber.Change {
	return subscriber.Change{Document: subscriber.Document{Version: version}, Zones: work.Zones{Version: uint64(version)}}
}

// Next implements subscriber.Source.
func (s entrySource) Next(context.Context) (subscriber.Change, error) {
	time.Sleep(20 * time.Millisecond)
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.cluster.cutOff[s.entry] {
		if s.cluster.silent[s.entry] {
			s.cluster.mu.Unlock()
			time.Sleep(pollTimeout)
			s.cluster.mu.Lock()
		}
		return subscriber.Change{}, errors.New("away")
	}
	if s.cluster.staleVersion > 0 {
		return changeAt(s.cluster.staleVersion), nil
	}
	return changeAt(s.cluster.version), nil
}

func (s entrySource) ask(_ context.Context, known subscriber.Versions, limit int) (subscriber.Change, error) {
	time.Sleep(3 * time.Millisecond)
	asked := 0
	for i := range entryCount {
		s.cluster.mu.Lock()
		other, unreachable := s.cluster.entries[i], s.cluster.unresponsive[i] || s.cluster.unresponsive[s.entry]
		s.cluster.mu.Unlock()
		if i == s.entry {
			continue
		}
		if asked++; limit > 0 && asked > limit {
			break
		}
		if unreachable {
			continue
		}
		if d, z := other.Document(), other.Zones(); d.Version > known.Document || z.Version > known.Zones {
			return subscriber.Change{Document: d, Zones: z}, nil
		}
	}
	return subscriber.Change{}, errors.New("no newer version")
}

func (c *cluster) apply(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.kind {
	case "write":
		c.version += 2
		if c.version == 13 {
			c.version++ // compile rejects 13, but the store accepts only valid versions.
		}
	case "cut":
		c.cutOff[e.entry], c.silent[e.entry] = true, false
	case "silence":
		c.cutOff[e.entry], c.silent[e.entry] = true, true
	case "cut-all":
		c.cutOff = [entryCount]bool{true, true, true, true}
	case "heal":
		c.cutOff, c.unresponsive, c.staleVersion = [entryCount]bool{}, [entryCount]bool{}, 0
	case "mute":
		c.unresponsive[e.entry] = true
	case "stale":
		c.staleVersion = max(c.version-2, 1)
	}
}

// canLearnNewest reports whether an entry can read the newest version from the
// store or from an entry that can.
func (c *cluster) canLearnNewest(entry int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.staleVersion > 0 {
		return false
	}
	if !c.cutOff[entry] {
		return true
	}
	for i := range entryCount {
		if !c.cutOff[i] && !c.unresponsive[i] && !c.unresponsive[entry] {
			return true
		}
	}
	return false
}

// TestNewestConfigurationIsAdoptedAndNeverReplacedByAnOlderOne simulates random
// sequences of writes, store outages for some or all entries, stale reads, and
// entries that do not respond to each other.
func TestNewestConfigurationIsAdoptedAndNeverReplacedByAnOlderOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := make([]event, 0, 20)
		for range rapid.IntRange(1, 20).Draw(rt, "acts") {
			events = append(events, event{
				delay: time.Duration(rapid.IntRange(1, 1500).Draw(rt, "after")) * time.Millisecond,
				kind:  rapid.SampledFrom([]string{"write", "write", "cut", "silence", "cut-all", "heal", "mute", "stale"}).Draw(rt, "kind"),
				entry: rapid.IntRange(0, entryCount-1).Draw(rt, "entry"),
			})
		}
		problem := ""
		synctest.Test(t, func(*testing.T) { problem = simulate(events) })
		if problem != "" {
			rt.Fatalf("%+v: %s", events, problem)
		}
	})
}

// simulate runs entries through the events. It returns the first violation, or "".
func simulate(events []event) string {
	c := &cluster{version: 3}
	for i := range entryCount {
		source := entrySource{cluster: c, entry: i}
		s := subscriber.New(subscriber.Options{
			Source: source, Compile: compile, FetchNewer: source.ask, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		})
		defer s.Close()
		c.mu.Lock()
		c.entries[i] = s
		c.mu.Unlock()
	}
	var adopted [entryCount]int64
	var reachableFor [entryCount]time.Duration
	newest := c.version
	const step = 10 * time.Millisecond
	for next, sinceEvent := 0, time.Duration(0); next < len(events) || sinceEvent < 3*time.Second; sinceEvent += step {
		if next < len(events) && sinceEvent >= events[next].delay {
			c.apply(events[next])
			next, sinceEvent = next+1, 0
		}
		if c.version != newest {
			newest, reachableFor = c.version, [entryCount]time.Duration{}
		}
		for i, s := range c.entries {
			version := s.Document().Version
			if zones := s.Zones().Version; int64(zones) < version {
				return fmt.Sprintf("entry %d has configuration %d with the zones of version %d", i, version, zones)
			}
			if version < adopted[i] {
				return fmt.Sprintf("entry %d replaced version %d by the older %d", i, adopted[i], version)
			}
			adopted[i] = version
			if reachableFor[i] += step; !c.canLearnNewest(i) {
				reachableFor[i] = 0
			}
			if reachableFor[i] > maxAdoptionTime && version < c.version {
				return fmt.Sprintf("entry %d still has version %d, %s after it could learn of version %d", i, version, reachableFor[i], c.version)
			}
		}
		time.Sleep(step)
	}
	return ""
}
