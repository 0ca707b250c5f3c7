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
	// adoptionTimeout is the time within which entries have to adopt a new
	// configuration.
	adoptionTimeout = 2 * time.Second
	// publishInterval and adoptionTimeout determine the interval between two
	// configurations, whose mean is 2.75 s.
	publishInterval = 1500 * time.Millisecond
	// probeInterval is the pause between two probes of all entries.
	probeInterval = 200 * time.Millisecond
)

// operator publishes configurations, and probes which version each entry serves.
type operator struct {
	mu          sync.Mutex
	version     int64
	publishedAt time.Time
	// drawer draws the documents.
	drawer *imitator.DocumentDrawer
	// probePath is the path of a request for the route that only the newest version
	// has, and previousPath that of the version before.
	probePath, previousPath string
	// measured is true during measuredPeriod. The lock of the harness guards it.
	measured bool
	// newestSeen holds the newest version that each incarnation of an entry served.
	newestSeen map[string]int64
}

// publish writes the next version of the configuration, with a probe route that
// only this version has.
func (o *operator) publish(h *harness, first bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if first {
		o.version, o.newestSeen = 100, make(map[string]int64)
		o.drawer = imitator.NewDocumentDrawer(rand.New(rand.NewPCG(h.options.Seed, 4)))
		o.probePath = "/probe/" // No version has it.
	}
	o.version++
	var probePrefix string
	o.previousPath = o.probePath
	probePrefix, o.probePath = o.drawer.Prefix(fmt.Sprint("probe-", o.version))
	routes := []imitator.Route{
		{Name: "hold", Prefix: "/hold/", Attempts: maxAttempts, AnswerWithin: answerTimeout},
		{Name: "check", Prefix: "/check/", Attempts: maxAttempts, AnswerWithin: answerTimeout, Priority: 1},
		{Name: "assign", Prefix: "/assign/", Attempts: maxAttempts, AnswerWithin: answerTimeout, Priority: 2},
		{Name: "probe", Prefix: probePrefix, Attempts: 1, AnswerWithin: answerTimeout},
	}
	if first {
		h.store.PutConfiguration(o.drawer.Document(o.version, routes))
	} else {
		h.store.PutConfiguration(h.plantInDocument(o.version, routes))
	}
	o.publishedAt = time.Now()
}

// publishAndProbe publishes configurations and probes entries until ctx is done.
func (h *harness) publishAndProbe(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	random := rand.New(rand.NewPCG(h.options.Seed, 3))
	nextPublish := time.Now().Add(publishInterval)
	for ctx.Err() == nil {
		if time.Now().After(nextPublish) {
			h.operator.publish(h, false)
			// Some intervals are longer than adoptionTimeout, so that it is checked.
			nextPublish = time.Now().Add(publishInterval/2 + time.Duration(random.Int64N(int64(2*adoptionTimeout))))
			if h.options.PlantedFault.isInDocuments() {
				nextPublish = time.Now().Add(time.Hour) // Leaves time to detect it.
			}
		}
		for _, e := range h.entries {
			h.operator.probe(ctx, h, client, e)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// probe requests the probe routes of the newest and of the previous version from
// an entry, and checks that the entry does not go back to an older version, mix
// versions or adopt them late.
func (o *operator) probe(ctx context.Context, h *harness, client *http.Client, e *entry) {
	o.mu.Lock()
	version, publishedAt, newestPath, previousPath := o.version, o.publishedAt, o.probePath, o.previousPath
	o.mu.Unlock()
	incarnation := fmt.Sprintf("%s/%d", e.vm.Node, e.incarnation())
	address := netip.AddrPortFrom(e.vm.Address, callersPort)
	probedAt := time.Now()
	newestStatus := imitator.ProbeRoute(ctx, client, address, newestPath)
	previousStatus := imitator.ProbeRoute(ctx, client, address, previousPath)
	if fmt.Sprintf("%s/%d", e.vm.Node, e.incarnation()) != incarnation || newestStatus == 0 || previousStatus == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if newestStatus == http.StatusOK {
		o.newestSeen[incarnation] = max(o.newestSeen[incarnation], version)
	}
	if newestStatus == http.StatusNotFound && o.newestSeen[incarnation] >= version {
		h.checker.addViolation("config: %s went back from version %d", incarnation, version)
	}
	if previousStatus == http.StatusOK && newestStatus == http.StatusOK && o.version == version {
		// No version has both routes, and the newest version was served first.
		h.checker.addViolation("config: %s serves version %d and the one before by turns", incarnation, version)
	}
	if newestStatus == http.StatusNotFound && probedAt.Sub(publishedAt) > adoptionTimeout && h.checker.undisturbedSince(probedAt, e.vm.Node, "store") {
		h.checker.addViolation("config: %s does not know version %d, %s after it was written", incarnation, version, probedAt.Sub(publishedAt))
	}
}
