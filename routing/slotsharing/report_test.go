package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against figures that differ between runs of the same seeds, and
// against a model in which a worker runs more than its slots.
func TestReportIsReproducible(t *testing.T) {
	is := is.New(t)
	var first, second strings.Builder
	is.NoErr(report(&first, patterns, time.Second))
	is.NoErr(report(&second, patterns, time.Second))
	is.Equal(first.String(), second.String())
	for i := range patterns {
		for _, way := range []func(*simulation) sharing{
			func(s *simulation) sharing { return newOwner(s) },
			func(s *simulation) sharing { return newCredits(s) },
		} {
			o := measure(&patterns[i], time.Second, way)
			is.True(o.mostBusy <= slotsPerWorker)
			is.True(o.completed > 0)
		}
	}
}
