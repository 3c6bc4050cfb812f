package bench

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// defaultDuration is the virtual time of a run.
const defaultDuration = 15 * time.Minute

// Run runs the benchmarks that the options select and returns the report. The
// result depends on the options alone. It fails if there are no seeds, if a name
// is unknown or if a plot can't be written.
func Run(opts Options) (Report, error) {
	experiments, err := selectExperiments(opts)
	if err != nil {
		return Report{}, err
	}
	if opts.Duration == 0 {
		opts.Duration = defaultDuration
	}
	results := make([][]*metrics, len(experiments))
	var group errgroup.Group
	group.SetLimit(max(opts.Parallel, 1))
	for i, j := range experiments {
		results[i] = make([]*metrics, len(opts.Seeds))
		for k, seed := range opts.Seeds {
			group.Go(func() error {
				w := newSimulation(j.deployment, j.scenario, j.variant, seed)
				w.run(opts.Duration)
				results[i][k] = w.metrics
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return Report{}, err
	}
	report := Report{Seeds: opts.Seeds}
	for _, c := range columns() {
		report.Columns = append(report.Columns, c.name)
	}
	for i, j := range experiments {
		report.Rows = append(report.Rows, Row{
			Deployment: j.deployment.Name, Scenario: j.scenario.Name, Variant: j.variant.Name, Values: spreads(results[i]),
		})
	}
	if opts.PlotDir != "" {
		return report, plotReport(opts.PlotDir, &report)
	}
	return report, nil
}

// spreads returns the spread of each column over the runs of a row.
func spreads(runs []*metrics) []Spread {
	var all []Spread
	for _, c := range columns() {
		values := make([]float64, 0, len(runs))
		for _, m := range runs {
			values = append(values, c.value(m))
		}
		all = append(all, spreadOf(values))
	}
	return all
}

// selectExperiments returns the experiments that the options select.
func selectExperiments(opts Options) ([]experiment, error) {
	if len(opts.Seeds) == 0 {
		return nil, errors.New("no seeds given")
	}
	variants, err := selectByName("variant", Variants(), opts.Variants, func(v Variant) string { return v.Name })
	if err != nil {
		return nil, err
	}
	if opts.Ablations {
		variants = slices.Concat(variants, Ablations(), Additions())
	}
	if opts.Weights {
		variants = slices.Concat(variants, WeightVariants())
	}
	deployments, err := selectByName("deployment", Deployments(), opts.Deployments, func(d Deployment) string { return d.Name })
	if err != nil {
		return nil, err
	}
	scenarios, err := selectByName("scenario", Scenarios(), opts.Scenarios, func(s Scenario) string { return s.Name })
	if err != nil {
		return nil, err
	}
	var experiments []experiment
	for _, d := range deployments {
		for _, s := range scenarios {
			for _, v := range variants {
				experiments = append(experiments, experiment{d, s, v})
			}
		}
	}
	return experiments, nil
}

// selectByName returns the items with the given names, or all items if no names
// are given. It fails if a name is unknown.
func selectByName[T any](what string, all []T, names []string, nameOf func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var chosen []T
	for _, name := range names {
		at := slices.IndexFunc(all, func(item T) bool { return nameOf(item) == name })
		if at < 0 {
			return nil, fmt.Errorf("unknown %s %q", what, name)
		}
		chosen = append(chosen, all[at])
	}
	return chosen, nil
}
