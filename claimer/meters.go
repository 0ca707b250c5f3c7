package claimer

import (
	"github.com/rcrowley/go-metrics"

	"agatevalve/dispatcher"
)

// sampleSize is the number of values that the histogram of rows per transaction
// keeps; it bounds its memory.
const sampleSize = 1028

// meters holds the metrics of a Claimer.
type meters struct {
	won, held, failed                  metrics.Counter
	transactions, reads, storeFailures metrics.Counter
	rowsPerTransaction                 metrics.Histogram
	waiting, queued, entries           metrics.Gauge
}

// newMeters registers the metrics. A nil registry is replaced by a private one.
func newMeters(registry metrics.Registry) meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	sample := metrics.NewUniformSample(sampleSize)
	return meters{
		won:                metrics.GetOrRegisterCounter("claims-won", registry),
		held:               metrics.GetOrRegisterCounter("claims-held", registry),
		failed:             metrics.GetOrRegisterCounter("claims-failed", registry),
		transactions:       metrics.GetOrRegisterCounter("claim-transactions", registry),
		reads:              metrics.GetOrRegisterCounter("claim-reads", registry),
		storeFailures:      metrics.GetOrRegisterCounter("claim-store-failures", registry),
		rowsPerTransaction: metrics.GetOrRegisterHistogram("claim-rows-per-transaction", registry, sample),
		waiting:            metrics.GetOrRegisterGauge("claims-waiting", registry),
		queued:             metrics.GetOrRegisterGauge("claims-queued", registry),
		entries:            metrics.GetOrRegisterGauge("claim-sharers", registry),
	}
}

// countEvent counts an event that is delivered.
func (m meters) countEvent(e dispatcher.Event) {
	switch e.(type) {
	case dispatcher.ClaimWon:
		m.won.Inc(1)
	case dispatcher.ClaimHeld:
		m.held.Inc(1)
	case dispatcher.ClaimFailed:
		m.failed.Inc(1)
	}
}
