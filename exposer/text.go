// Package exposer writes the metrics of a go-metrics registry in the Prometheus text
// format. The format does not allow hyphens in names, so kebab-case names are
// written with underscores.
package exposer

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	// namePrefix is prepended to the name of each metric.
	namePrefix = "agatevalve_"
	// mediaType is the media type of the Prometheus text format.
	mediaType = "text/plain; version=0.0.4; charset=utf-8"
	// secondsPerNanosecond converts the values of timers, which are nanoseconds.
	secondsPerNanosecond = 1e-9
)

// quantiles are the quantiles that are written for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Handler returns a handler that writes all metrics of a registry.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", mediaType)
		_ = Write(w, r) // It fails only if the client has disconnected.
	})
}

// Write writes all metrics of a registry, sorted by name.
func Write(w io.Writer, r metrics.Registry) error {
	byName := make(map[string]any)
	r.Each(func(name string, metric any) { byName[name] = metric })
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	slices.Sort(names)
	b := bufio.NewWriter(w)
	for _, name := range names {
		writeMetric(b, exposedName(name), byName[name])
	}
	return b.Flush()
}

// writeMetric writes one metric. It ignores those of other types, such as health
// checks.
func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeValue(w, name+"_total", "counter", float64(m.Count()))
	case metrics.Gauge:
		writeValue(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeValue(w, name+"_total", "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1)
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name+"_seconds", s.Count(), float64(s.Sum()), s.Percentiles(quantiles), secondsPerNanosecond)
	}
}

func writeValue(w io.Writer, name, kind string, value float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, value) // Flush reports the error.
}

// writeSummary writes the quantiles, the sum and the count of a distribution. It
// multiplies values and sum by scale.
func writeSummary(w io.Writer, name string, count int64, sum float64, values []float64, scale float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name) // Flush reports the error.
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i]*scale) // Flush reports the error.
	}
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum*scale, name, count) // Flush reports the error.
}

// exposedName converts a metric name to one that the format allows.
func exposedName(name string) string {
	allowed := func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' {
			return c
		}
		return '_'
	}
	return namePrefix + strings.Map(allowed, name)
}
