package linker

import "github.com/rcrowley/go-metrics"

// counters are the metrics of the links and of the calls to agents.
type counters struct {
	startsSent    metrics.Counter
	framesSent    metrics.Counter
	pingsSent     metrics.Counter
	startsUnsent  metrics.Counter
	ordersDropped metrics.Counter
	framesDropped metrics.Counter
	linksOpened   metrics.Counter
	linksLost     metrics.Counter
	linksSilent   metrics.Counter
	inquiries     metrics.Counter
	inquiryErrors metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		startsSent:    metrics.GetOrRegisterCounter("link-starts-sent", r),
		framesSent:    metrics.GetOrRegisterCounter("link-frames-sent", r),
		pingsSent:     metrics.GetOrRegisterCounter("link-pings-sent", r),
		startsUnsent:  metrics.GetOrRegisterCounter("link-starts-unsent", r),
		ordersDropped: metrics.GetOrRegisterCounter("link-orders-dropped", r),
		framesDropped: metrics.GetOrRegisterCounter("link-frames-dropped", r),
		linksOpened:   metrics.GetOrRegisterCounter("links-opened", r),
		linksLost:     metrics.GetOrRegisterCounter("links-lost", r),
		linksSilent:   metrics.GetOrRegisterCounter("links-silent", r),
		inquiries:     metrics.GetOrRegisterCounter("link-inquiries", r),
		inquiryErrors: metrics.GetOrRegisterCounter("link-inquiry-errors", r),
	}
}
