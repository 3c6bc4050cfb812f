package capacity

import (
	"errors"
	"fmt"
	"strings"
)

// Report collects the results of the measurements.
type Report struct {
	slopes []Slope
	// tables are further tables in Markdown.
	tables []string
	errs   []error
}

// Slopes returns the fitted slopes in the order of measurement.
func (r *Report) Slopes() []Slope {
	return r.slopes
}

// Err returns the errors of all measurements, or nil.
func (r *Report) Err() error {
	return errors.Join(r.errs...)
}

func (r *Report) addSlope(name, per, unit string, points []Point) {
	s, err := Fit(name, per, unit, points)
	if err != nil {
		r.errs = append(r.errs, err)
		return
	}
	r.slopes = append(r.slopes, s)
}

// addTable adds a table with a title.
func (r *Report) addTable(title string, header []string, rows [][]string) {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%s\n\n| %s |\n|%s\n", title, strings.Join(header, " | "), strings.Repeat("---|", len(header)))
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	r.tables = append(r.tables, b.String())
}

// Markdown returns all results as tables.
func (r *Report) Markdown() string {
	var b strings.Builder
	b.WriteString("| measured | unit | at size 0 | slope | per | R² | points (size: value) |\n|---|---|---|---|---|---|---|\n")
	for _, s := range r.slopes {
		fmt.Fprintf(&b, "| %s | %s | %.4g | %.4g | %s | %.3f | %s |\n", s.Name, s.Unit, s.Base, s.Slope, s.Per, s.R2, formatPoints(s.Points))
	}
	for _, table := range r.tables {
		b.WriteString(table)
	}
	return b.String()
}

func formatPoints(points []Point) string {
	parts := make([]string, 0, len(points))
	for _, p := range points {
		parts = append(parts, fmt.Sprintf("%.0f: %.4g", p.Size, p.Value))
	}
	return strings.Join(parts, "; ")
}
