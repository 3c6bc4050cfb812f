package capacity

import (
	"errors"
	"fmt"
	"strings"
)

// Report collects the results of the measurements.
type Report struct {
	slopes []Slope
	// sections are further tables, in Markdown.
	sections []string
	errs     []error
}

// Slopes returns the slopes in the order of measurement.
func (r *Report) Slopes() []Slope {
	return r.slopes
}

// Err returns the errors of all measurements, or nil.
func (r *Report) Err() error {
	return errors.Join(r.errs...)
}

func (r *Report) fit(name, per, unit string, points []Point) {
	s, err := Fit(name, per, unit, points)
	if err != nil {
		r.errs = append(r.errs, err)
		return
	}
	r.slopes = append(r.slopes, s)
}

// section adds a table.
func (r *Report) section(title string, header []string, rows [][]string) {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%s\n\n| %s |\n|%s\n", title, strings.Join(header, " | "), strings.Repeat("---|", len(header)))
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	r.sections = append(r.sections, b.String())
}

// Markdown returns all results as tables.
func (r *Report) Markdown() string {
	var b strings.Builder
	b.WriteString("| measured | unit | at size 0 | slope | per | R² | points (size: value) |\n|---|---|---|---|---|---|---|\n")
	for _, s := range r.slopes {
		fmt.Fprintf(&b, "| %s | %s | %.4g | %.4g | %s | %.3f | %s |\n", s.Name, s.Unit, s.Base, s.Slope, s.Per, s.R2, pointList(s.Points))
	}
	for _, section := range r.sections {
		b.WriteString(section)
	}
	return b.String()
}

func pointList(points []Point) string {
	parts := make([]string, 0, len(points))
	for _, p := range points {
		parts = append(parts, fmt.Sprintf("%.0f: %.4g", p.Size, p.Value))
	}
	return strings.Join(parts, "; ")
}
