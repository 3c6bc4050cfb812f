package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortRun is long enough for faults to show and short enough for CI.
func shortRun(scenarios ...string) Options {
	return Options{
		Seeds: []uint64{1}, Deployments: []string{"bensalama"}, Scenarios: scenarios,
		Variants: []string{"first-fit", "policy"}, Duration: 2 * time.Minute,
	}
}

// TestRunIsRepeatable guards against decisions that depend on map order or on the
// number of concurrent runs.
func TestRunIsRepeatable(t *testing.T) {
	is := is.New(t)
	opts := shortRun("wrong+faulty")
	first, err := Run(opts)
	is.NoErr(err)
	opts.Parallel = 2
	second, err := Run(opts)
	is.NoErr(err)
	is.Equal(first.Markdown(), second.Markdown())
}

// TestOvercommit guards against assignments above a worker's capacity. The fake
// workers count them independently of the policy.
func TestOvercommit(t *testing.T) {
	is := is.New(t)
	opts := shortRun("wrong+faulty")
	opts.Deployments = nil
	report, err := Run(opts)
	is.NoErr(err)
	is.Equal(len(report.Rows), 4)
	for _, row := range report.Rows {
		is.Equal(report.Value(row, "overcommit").Max, 0.0)
		is.True(report.Value(row, "work").Min > 1) // the run must place work at all
	}
}

// TestUnknownNames guards against a misspelt name that silently runs nothing.
func TestUnknownNames(t *testing.T) {
	is := is.New(t)
	_, err := Run(Options{Seeds: []uint64{1}, Scenarios: []string{"clam"}})
	is.True(err != nil)
}
