// Package exposer writes a go-metrics registry in the text format that
// Prometheus and most collectors read. The format allows no hyphen in a name,
// so the kebab-case names appear with underscores.
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
	// prefix begins every exposed name.
	prefix = "agatevalve_"
	// mediaType is the content type of the text format.
	mediaType = "text/plain; version=0.0.4; charset=utf-8"
	// nanosecond converts the values of timers to seconds.
	nanosecond = 1e-9
)

// quantiles are the parts of a distribution that are exposed.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Handler serves a registry.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", mediaType)
		_ = Write(w, r) // A collector that has left needs no answer.
	})
}

// Write writes all metrics of a registry by name.
func Write(w io.Writer, r metrics.Registry) error {
	all := make(map[string]any)
	r.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	b := bufio.NewWriter(w)
	for _, name := range names {
		writeMetric(b, exposed(name), all[name])
	}
	return b.Flush()
}

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
		writeSummary(w, name+"_seconds", s.Count(), float64(s.Sum()), s.Percentiles(quantiles), nanosecond)
	}
}

func writeValue(w io.Writer, name, kind string, value float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, value) // Flush reports the error.
}

func writeSummary(w io.Writer, name string, count int64, sum float64, values []float64, unit float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name) // Flush reports the error.
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i]*unit) // As above.
	}
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum*unit, name, count) // As above.
}

// exposed maps a kebab-case name to one that the format allows.
func exposed(name string) string {
	allowed := func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' {
			return c
		}
		return '_'
	}
	return prefix + strings.Map(allowed, name)
}
