package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotColumns are the plotted columns with the names of their files and their
// axis labels.
var plotColumns = []struct{ column, file, label string }{
	{"worst p99", "worst-p99", "worst p99 of a service over its target"},
	{"work", "work", "batch work, core hours"},
	{"lost", "lost", "work lost to evictions, core hours"},
	{"urgent p99 s", "urgent", "urgent start delay p99, s"},
}

// plotReport writes one bar chart for each deployment and plotted column.
func plotReport(dir string, r *Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create plot directory: %w", err)
	}
	for _, deployment := range distinct(r.Rows, func(row Row) string { return row.Deployment }) {
		for _, c := range plotColumns {
			path := filepath.Join(dir, deployment+"-"+c.file+".svg")
			if err := plotBars(path, r, deployment, c.column, c.label); err != nil {
				return fmt.Errorf("draw %s: %w", path, err)
			}
		}
	}
	return nil
}

// plotBars writes a bar chart of the baselines and the policy by scenario.
func plotBars(path string, r *Report, deployment, column, label string) error {
	p := plot.New()
	p.Title.Text = deployment
	p.Y.Label.Text = label
	p.Legend.Top = true
	scenarios := distinct(r.Rows, func(row Row) string { return row.Scenario })
	variants := distinct(r.Rows, func(row Row) string { return row.Variant })
	variants = slices.DeleteFunc(variants, func(v string) bool { return !isPolicyOrBaseline(v) })
	width := vg.Points(40 / float64(max(len(variants), 1)))
	for i, variant := range variants {
		values := make(plotter.Values, len(scenarios))
		for k, scenario := range scenarios {
			if row, ok := r.Find(deployment, scenario, variant); ok {
				values[k] = r.Value(row, column).Mean
			}
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(variants)-1)/2)
		p.Add(bars)
		p.Legend.Add(variant, bars)
	}
	p.NominalX(scenarios...)
	return p.Save(vg.Points(60*float64(max(len(scenarios), 4))+80), vg.Points(260), path)
}

// isPolicyOrBaseline reports whether the name is that of a variant in Variants.
func isPolicyOrBaseline(name string) bool {
	return slices.ContainsFunc(Variants(), func(v Variant) bool { return v.Name == name })
}

// distinct returns the distinct names of the rows in order of first occurrence.
func distinct(rows []Row, nameOf func(Row) string) []string {
	var names []string
	for _, row := range rows {
		if name := nameOf(row); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}
