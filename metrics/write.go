package metrics

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"

	gometrics "github.com/rcrowley/go-metrics"
)

// Prefix precedes the name of every rendered metric.
const Prefix = "cactusreel_"

// ContentType is the media type of the rendered page.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// sample is one line of a page.
type sample struct {
	suffix, labels string
	value          float64
}

// family is all samples of one metric name.
type family struct {
	kind    string
	samples []sample
}

// Write renders all metrics of a registry in ascending order of name.
// Counters and meters become counters named `<name>_total`, gauges stay gauges,
// histograms become summaries, and timers become summaries in seconds named
// `<name>_seconds`. Summaries have no `_sum`: go-metrics sums only the values
// in its sample, so the average derived from it would be wrong.
func Write(w io.Writer, registry gometrics.Registry) error {
	families := make(map[string]*family)
	var names []string
	registry.Each(func(name string, metric any) {
		base, labels := split(name)
		kind, unit, samples := render(metric, labels)
		if kind == "" {
			return
		}
		full := Prefix + base + unit
		if families[full] == nil {
			families[full] = &family{kind: kind}
			names = append(names, full)
		}
		families[full].samples = append(families[full].samples, samples...)
	})
	slices.Sort(names)
	var page bytes.Buffer
	for _, name := range names {
		families[name].write(&page, name)
	}
	_, err := w.Write(page.Bytes())
	return err
}

func (f *family) write(page *bytes.Buffer, name string) {
	fmt.Fprintf(page, "# TYPE %s %s\n", name, f.kind)
	slices.SortStableFunc(f.samples, compareSamples)
	for _, s := range f.samples {
		labels := s.labels
		if labels != "" {
			labels = "{" + labels + "}"
		}
		fmt.Fprintf(page, "%s%s%s %s\n", name, s.suffix, labels, number(s.value))
	}
}

func compareSamples(a, b sample) int {
	return cmp.Or(cmp.Compare(a.suffix, b.suffix), cmp.Compare(a.labels, b.labels))
}

// render returns the type, the suffix of the name and the samples of a metric;
// the type is empty for metrics that the format does not cover.
func render(metric any, labels string) (kind, unit string, samples []sample) {
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
		return "summary", "", summary(m.Snapshot(), labels, 1)
	case gometrics.Timer:
		return "summary", "_seconds", summary(m.Snapshot(), labels, 1e-9)
	}
	return "", "", nil
}

// distribution is what histograms and timers have in common.
type distribution interface {
	Count() int64
	Percentiles([]float64) []float64
}

func summary(d distribution, labels string, scale float64) []sample {
	separator := ""
	if labels != "" {
		separator = ","
	}
	var samples []sample
	for i, value := range d.Percentiles(quantiles) {
		quantile := fmt.Sprintf(`%s%squantile="%s"`, labels, separator, number(quantiles[i]))
		samples = append(samples, sample{"", quantile, value * scale})
	}
	return append(samples, sample{"_count", labels, float64(d.Count())})
}

// Handler serves the page of a registry.
func Handler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", ContentType)
		// A write error means that the client has gone.
		_ = Write(w, registry)
	})
}
