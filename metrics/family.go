package metrics

import (
	"bytes"
	"fmt"
	"slices"
)

// family holds all samples of one metric name.
type family struct {
	// kind is the Prometheus type: counter, gauge or summary.
	kind    string
	samples []sample
}

func (f *family) write(out *bytes.Buffer, name string) {
	fmt.Fprintf(out, "# TYPE %s %s\n", name, f.kind)
	slices.SortStableFunc(f.samples, compareSamples)
	for _, s := range f.samples {
		labels := s.labels
		if labels != "" {
			labels = "{" + labels + "}"
		}
		fmt.Fprintf(out, "%s%s%s %s\n", name, s.suffix, labels, formatNumber(s.value))
	}
}
