package metrics

import (
	"bytes"
	"io"
	"net/http"
	"slices"

	gometrics "github.com/rcrowley/go-metrics"
)

// Prefix precedes the name of every rendered metric.
const Prefix = "cactusreel_"

// ContentType is the media type of the rendered metrics.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Write renders all metrics of a registry in ascending order of name.
// Counters and meters become counters named `<name>_total`, gauges stay gauges,
// histograms become summaries, and timers become summaries in seconds named
// `<name>_seconds`. Summaries have no `_sum`: go-metrics sums only the values
// in its sample, so the average derived from it would be wrong.
func Write(w io.Writer, registry gometrics.Registry) error {
	families := make(map[string]*family)
	var names []string
	registry.Each(func(name string, metric any) {
		base, labels := splitName(name)
		kind, suffix, samples := render(metric, labels)
		if kind == "" {
			return
		}
		fullName := Prefix + base + suffix
		if families[fullName] == nil {
			families[fullName] = &family{kind: kind}
			names = append(names, fullName)
		}
		families[fullName].samples = append(families[fullName].samples, samples...)
	})
	slices.Sort(names)
	var out bytes.Buffer
	for _, name := range names {
		families[name].write(&out, name)
	}
	_, err := w.Write(out.Bytes())
	return err
}

// render returns the Prometheus type, the suffix of the name and the samples of a
// metric. The type is empty for a metric that has no counterpart in the format.
func render(metric any, labels string) (kind, suffix string, samples []sample) {
	switch m := metric.(type) {
	case gometrics.Counter:
		return "counter", "_total", []sample{{"", labels, float64(m.Count())}}
	case gometrics.Meter:
		return "counter", "_total", []sample{{"", labels, float64(m.Snapshot().Count())}}
	case gometrics.Gauge:
		return "gauge", "", []sample{{"", labels, float64(m.Value())}}
	case gometrics.GaugeFloat64:
		return "gauge", "", []sample{{"", labels, m.Value()}}
	case gometrics.Histogram:
		return "summary", "", summarySamples(m.Snapshot(), labels, 1)
	case gometrics.Timer:
		return "summary", "_seconds", summarySamples(m.Snapshot(), labels, 1e-9)
	}
	return "", "", nil
}

// Handler serves the metrics of a registry.
func Handler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", ContentType)
		// A write error means that the client has disconnected.
		_ = Write(w, registry)
	})
}
