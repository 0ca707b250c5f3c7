package attendant

import (
	"github.com/rcrowley/go-metrics"

	"agatevalve/dispatcher"
)

// counters are the metrics of one agent.
type counters struct {
	started       metrics.Counter
	refused       metrics.Counter
	linksOpened   metrics.Counter
	framesRefused metrics.Counter
	running       metrics.Gauge
	queued        metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	return counters{
		started:       metrics.GetOrRegisterCounter("tasks-started", r),
		refused:       metrics.GetOrRegisterCounter("starts-refused", r),
		linksOpened:   metrics.GetOrRegisterCounter("agent-links-opened", r),
		framesRefused: metrics.GetOrRegisterCounter("frames-refused", r),
		running:       metrics.GetOrRegisterGauge("tasks-running", r),
		queued:        metrics.GetOrRegisterGauge("tasks-queued", r),
	}
}

// updateLoad sets the gauges of the load.
func (c counters) updateLoad(load dispatcher.Load) {
	c.running.Update(int64(load.Running))
	c.queued.Update(int64(load.Queued))
}
