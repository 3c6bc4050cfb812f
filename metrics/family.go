package metrics

import (
	"bytes"
	"fmt"
	"slices"
)

// family is all samples of one metric name.
type family struct {
	kind    string
	samples []sample
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
