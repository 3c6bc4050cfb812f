package metrics

import "fmt"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// distribution is the common interface of histogram and timer snapshots.
type distribution interface {
	Count() int64
	Percentiles([]float64) []float64
}

// summarySamples returns the samples of a summary: its quantiles, multiplied by
// scale, and its count.
func summarySamples(d distribution, labels string, scale float64) []sample {
	separator := ""
	if labels != "" {
		separator = ","
	}
	var samples []sample
	for i, value := range d.Percentiles(quantiles) {
		quantile := fmt.Sprintf(`%s%squantile="%s"`, labels, separator, formatNumber(quantiles[i]))
		samples = append(samples, sample{"", quantile, value * scale})
	}
	return append(samples, sample{"_count", labels, float64(d.Count())})
}
