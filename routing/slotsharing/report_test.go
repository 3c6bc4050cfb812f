package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against results that differ between runs with the same seeds, and
// against a simulation in which a worker runs more requests than it has slots.
func TestReportIsReproducible(t *testing.T) {
	is := is.New(t)
	var first, second strings.Builder
	is.NoErr(report(&first, loadPatterns, time.Second))
	is.NoErr(report(&second, loadPatterns, time.Second))
	is.Equal(first.String(), second.String())
	for i := range loadPatterns {
		for _, strategy := range []func(*simulation) sharingStrategy{
			func(s *simulation) sharingStrategy { return newOwnerSharing(s) },
			func(s *simulation) sharingStrategy { return newCreditSharing(s) },
		} {
			o := measure(&loadPatterns[i], time.Second, strategy)
			is.True(o.maxBusy <= slotsPerWorker)
			is.True(o.completed > 0)
		}
	}
}
