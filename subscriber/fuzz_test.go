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

	"agatevalve/subscriber"
)

const (
	// fleet is the number of entries.
	fleet = 4
	// inForceWithin is how long after a write all entries that reach the store, or
	// one that does, may work by an older version; the users ask for 2 s.
	inForceWithin = 2 * time.Second
)

// TestMain fixes the seed and the number of plays; -rapid.seed and -rapid.checks
// take others.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		f := flag.Lookup(name)
		if f.Value.String() == f.DefValue {
			_ = flag.Set(name, value) // A number is always valid.
		}
	}
	os.Exit(m.Run())
}

// act is one thing that happens, some time after the one before.
type act struct {
	after time.Duration
	kind  string
	entry int
}

// operated is a store that fails for some entries, and entries that fail to
// answer each other.
type operated struct {
	mu      sync.Mutex
	version int64
	// stale is an older version that some readings return.
	stale   int64
	away    [fleet]bool
	mute    [fleet]bool
	entries [fleet]*subscriber.Subscriber
}

// view is the store as one entry reaches it.
type view struct {
	o     *operated
	entry int
}

// Next implements subscriber.Source.
func (v view) Next(context.Context) (subscriber.Document, error) {
	time.Sleep(20 * time.Millisecond)
	v.o.mu.Lock()
	defer v.o.mu.Unlock()
	if v.o.away[v.entry] {
		return subscriber.Document{}, errors.New("away")
	}
	if v.o.stale > 0 {
		return subscriber.Document{Version: v.o.stale}, nil
	}
	return subscriber.Document{Version: v.o.version}, nil
}

func (v view) ask(_ context.Context, version int64) (subscriber.Document, error) {
	time.Sleep(3 * time.Millisecond)
	for i := range fleet {
		v.o.mu.Lock()
		other, mute := v.o.entries[i], v.o.mute[i] || v.o.mute[v.entry]
		v.o.mu.Unlock()
		if i == v.entry || mute {
			continue
		}
		if d := other.Document(); d.Version > version {
			return d, nil
		}
	}
	return subscriber.Document{}, errors.New("none is newer")
}

func (o *operated) do(a act) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch a.kind {
	case "write":
		o.version += 2
		if o.version == 13 {
			o.version++ // Never one that can't be compiled: the store takes valid ones only.
		}
	case "cut":
		o.away[a.entry] = true
	case "cut-all":
		o.away = [fleet]bool{true, true, true, true}
	case "heal":
		o.away, o.mute, o.stale = [fleet]bool{}, [fleet]bool{}, 0
	case "mute":
		o.mute[a.entry] = true
	case "stale":
		o.stale = max(o.version-2, 1)
	}
}

// reaches reports whether an entry can learn of the newest version.
func (o *operated) reaches(entry int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stale > 0 {
		return false
	}
	if !o.away[entry] {
		return true
	}
	for i := range fleet {
		if !o.away[i] && !o.mute[i] && !o.mute[entry] {
			return true
		}
	}
	return false
}

// TestNewestConfigurationIsInForceAndNeverGoesBack plays writes, outages for some
// or all entries, stale readings, and entries that don't answer each other.
func TestNewestConfigurationIsInForceAndNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := make([]act, 0, 20)
		for range rapid.IntRange(1, 20).Draw(rt, "acts") {
			acts = append(acts, act{
				after: time.Duration(rapid.IntRange(1, 1500).Draw(rt, "after")) * time.Millisecond,
				kind:  rapid.SampledFrom([]string{"write", "write", "cut", "cut-all", "heal", "mute", "stale"}).Draw(rt, "kind"),
				entry: rapid.IntRange(0, fleet-1).Draw(rt, "entry"),
			})
		}
		problem := ""
		synctest.Test(t, func(*testing.T) { problem = playConfigurations(acts) })
		if problem != "" {
			rt.Fatalf("%+v: %s", acts, problem)
		}
	})
}

// playConfigurations returns what went wrong, or "".
func playConfigurations(acts []act) string {
	o := &operated{version: 3}
	for i := range fleet {
		v := view{o: o, entry: i}
		e := subscriber.New(subscriber.Options{
			Source: v, Compile: compile, Ask: v.ask, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		})
		defer e.Close()
		o.mu.Lock()
		o.entries[i] = e
		o.mu.Unlock()
	}
	var held [fleet]int64
	var reached [fleet]time.Duration
	seen := o.version
	const step = 10 * time.Millisecond
	for i, wait := 0, time.Duration(0); i < len(acts) || wait < 3*time.Second; wait += step {
		if i < len(acts) && wait >= acts[i].after {
			o.do(acts[i])
			i, wait = i+1, 0
		}
		if o.version != seen {
			seen, reached = o.version, [fleet]time.Duration{}
		}
		for n, e := range o.entries {
			version := e.Document().Version
			if version < held[n] {
				return fmt.Sprintf("entry %d went back from %d to %d", n, held[n], version)
			}
			held[n] = version
			if reached[n] += step; !o.reaches(n) {
				reached[n] = 0
			}
			if reached[n] > inForceWithin && version < o.version {
				return fmt.Sprintf("entry %d works by %d, %s after %d was written", n, version, reached[n], o.version)
			}
		}
		time.Sleep(step)
	}
	return ""
}
