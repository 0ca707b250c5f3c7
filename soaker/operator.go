package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"agatevalve/platform/imitator"
)

const (
	// inForceWithin is how long after a write a configuration may be unknown.
	inForceWithin = 2 * time.Second
	// publishEvery and inForceWithin make the time between two configurations, of
	// 2.75 s in the mean; probeEvery is that between two looks at what is in force.
	publishEvery = 1500 * time.Millisecond
	probeEvery   = 200 * time.Millisecond
	// forgotten is how many versions back a dropped route is asked for.
	forgotten = 1
)

// operator writes configurations, and looks what is in force at each entry.
type operator struct {
	mu      sync.Mutex
	version int64
	written time.Time
	// late is true in the last part of the soak.
	late bool
	// seen is the newest version that each life of an entry has shown.
	seen map[string]int64
}

func probeOf(version int64) string { return fmt.Sprintf("/probe-%d/", version) }

// publish writes the next configuration, each with a route of its own.
func (o *operator) publish(w *world, first bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if first {
		o.version, o.seen = 100, make(map[string]int64)
	}
	o.version++
	routes := []imitator.Route{
		{Name: "hold", Prefix: "/hold/", Attempts: attempts, AnswerWithin: patience},
		{Name: "check", Prefix: "/check/", Attempts: attempts, AnswerWithin: patience, Priority: 1},
		{Name: "assign", Prefix: "/assign/", Attempts: attempts, AnswerWithin: patience, Priority: 2},
		{Name: "probe", Prefix: probeOf(o.version), Attempts: 1, AnswerWithin: patience},
	}
	if w.o.Plant == MissingRoutes && !first {
		routes = routes[:3]
	}
	w.store.PutConfiguration(imitator.Document(o.version, routes))
	o.written = time.Now()
}

// operate publishes and probes until ctx ends.
func (w *world) operate(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	random := rand.New(rand.NewPCG(w.o.Seed, 3))
	next := time.Now().Add(publishEvery)
	for ctx.Err() == nil {
		if time.Now().After(next) {
			w.operator.publish(w, false)
			// Some stand for longer than they may take to be in force.
			next = time.Now().Add(publishEvery/2 + time.Duration(random.Int64N(int64(2*inForceWithin))))
			if w.o.Plant == MissingRoutes {
				next = time.Now().Add(time.Hour) // So that its lack is seen.
			}
		}
		for _, f := range w.entries {
			w.operator.probe(ctx, w, client, f)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

// probe asks an entry for the newest route, and for the one before it.
func (o *operator) probe(ctx context.Context, w *world, client *http.Client, f *front) {
	o.mu.Lock()
	version, written := o.version, o.written
	o.mu.Unlock()
	life := fmt.Sprintf("%s/%d", f.vm.Node, f.life())
	at := netip.AddrPortFrom(f.vm.Address, callersPort)
	asked := time.Now()
	newest := imitator.ProbeRoute(ctx, client, at, probeOf(version))
	before := imitator.ProbeRoute(ctx, client, at, probeOf(version-forgotten))
	if fmt.Sprintf("%s/%d", f.vm.Node, f.life()) != life || newest == 0 || before == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if newest == http.StatusOK {
		o.seen[life] = max(o.seen[life], version)
	}
	if newest == http.StatusNotFound && o.seen[life] >= version {
		w.judge.broke("config: %s went back from version %d", life, version)
	}
	if before == http.StatusOK && newest == http.StatusOK && o.version == version {
		// The first answer came before the second, so both can't be by one version.
		w.judge.broke("config: %s serves versions %d and %d by turns", life, version, version-forgotten)
	}
	if newest == http.StatusNotFound && asked.Sub(written) > inForceWithin && w.judge.calmFor(asked, f.vm.Node, "store") {
		w.judge.broke("config: %s does not know version %d, %s after it was written", life, version, asked.Sub(written))
	}
}
