package metrics_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/cactusreel/cactusreel/metrics"
)

const wantBody = `# TYPE cactusreel_cells gauge
cactusreel_cells 4
# TYPE cactusreel_latency_seconds summary
cactusreel_latency_seconds{service="a",quantile="0.5"} 0.25
cactusreel_latency_seconds{service="a",quantile="0.9"} 0.25
cactusreel_latency_seconds{service="a",quantile="0.99"} 0.25
cactusreel_latency_seconds{service="a",quantile="0.999"} 0.25
cactusreel_latency_seconds_count{service="a"} 2
# TYPE cactusreel_load_share gauge
cactusreel_load_share 0.5
# TYPE cactusreel_requests_total counter
cactusreel_requests_total{code="0",service="a\"b"} 7
cactusreel_requests_total{code="1001",service="c"} 2
`

// Guards against output that a Prometheus server cannot parse: an invalid name, an
// unescaped label, a type line per label set, or an unstable order.
func TestHandlerServesPrometheusText(t *testing.T) {
	is := is.New(t)
	r := gometrics.NewRegistry()
	gometrics.GetOrRegisterCounter(metrics.Name("requests", "code", "1001", "service", "c"), r).Inc(2)
	gometrics.GetOrRegisterCounter(metrics.Name("requests", "code", "0", "service", `a"b`), r).Inc(7)
	gometrics.GetOrRegisterGauge("cells", r).Update(4)
	gometrics.GetOrRegisterGaugeFloat64("load share", r).Update(0.5)
	timer := gometrics.GetOrRegisterTimer(metrics.Name("latency", "service", "a"), r)
	defer timer.Stop()
	timer.Update(250 * time.Millisecond)
	timer.Update(250 * time.Millisecond)
	is.NoErr(r.Register("health", gometrics.NewHealthcheck(func(gometrics.Healthcheck) {})))

	response := httptest.NewRecorder()
	metrics.Handler(r).ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	is.Equal(response.Header().Get("Content-Type"), metrics.ContentType)
	is.Equal(response.Body.String(), wantBody)
}
