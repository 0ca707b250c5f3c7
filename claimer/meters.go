package claimer

import (
	"github.com/rcrowley/go-metrics"

	"agatevalve/dispatcher"
)

// sampleSize bounds the memory of the histogram of rows per transaction.
const sampleSize = 1028

type meters struct {
	won, held, failed             metrics.Counter
	transactions, reads, failures metrics.Counter
	rows                          metrics.Histogram
	waiting, queued, sharers      metrics.Gauge
}

func newMeters(registry metrics.Registry) meters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	sample := metrics.NewUniformSample(sampleSize)
	return meters{
		won:          metrics.GetOrRegisterCounter("claims-won", registry),
		held:         metrics.GetOrRegisterCounter("claims-held", registry),
		failed:       metrics.GetOrRegisterCounter("claims-failed", registry),
		transactions: metrics.GetOrRegisterCounter("claim-transactions", registry),
		reads:        metrics.GetOrRegisterCounter("claim-reads", registry),
		failures:     metrics.GetOrRegisterCounter("claim-store-failures", registry),
		rows:         metrics.GetOrRegisterHistogram("claim-rows-per-transaction", registry, sample),
		waiting:      metrics.GetOrRegisterGauge("claims-waiting", registry),
		queued:       metrics.GetOrRegisterGauge("claims-queued", registry),
		sharers:      metrics.GetOrRegisterGauge("claim-sharers", registry),
	}
}

func (m meters) count(e dispatcher.Event) {
	switch e.(type) {
	case dispatcher.ClaimWon:
		m.won.Inc(1)
	case dispatcher.ClaimHeld:
		m.held.Inc(1)
	case dispatcher.ClaimFailed:
		m.failed.Inc(1)
	}
}
