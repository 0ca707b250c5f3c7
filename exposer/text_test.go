package exposer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"agatevalve/exposer"
)

func TestMetricsAreWrittenInOrderOfName(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("link-starts-sent", r).Inc(3)
	metrics.GetOrRegisterGauge("queued", r).Update(-2)
	metrics.GetOrRegisterGaugeFloat64("share", r).Update(0.5)
	metrics.GetOrRegisterTimer("answers", r).Update(2 * time.Second)
	recorder := httptest.NewRecorder()
	exposer.Handler(r).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := recorder.Body.String()
	for _, want := range []string{
		"# TYPE agatevalve_link_starts_sent_total counter\nagatevalve_link_starts_sent_total 3\n",
		"agatevalve_queued -2\n",
		"agatevalve_share 0.5\n",
		"# TYPE agatevalve_answers_seconds summary\n",
		`agatevalve_answers_seconds{quantile="0.99"} 2` + "\n",
		"agatevalve_answers_seconds_sum 2\nagatevalve_answers_seconds_count 1\n",
	} {
		is.True(strings.Contains(text, want))
	}
	is.True(strings.Index(text, "answers") < strings.Index(text, "link")) // Sorted by name.
	is.True(strings.HasPrefix(recorder.Header().Get("Content-Type"), "text/plain; version=0.0.4"))
}
