package bench

import (
	"fmt"
	"strings"
)

// Report is the result of a run of the benchmarks.
type Report struct {
	Columns []string
	Rows    []Row
	Seeds   []uint64
}

// Markdown returns the report as a Markdown table.
func (r *Report) Markdown() string {
	var b strings.Builder
	digits := columns()
	fmt.Fprintf(&b, "| deployment | scenario | variant | %s |\n", strings.Join(r.Columns, " | "))
	b.WriteString("|---|---|---" + strings.Repeat("|---", len(r.Columns)) + "|\n")
	for _, row := range r.Rows {
		fmt.Fprintf(&b, "| %s | %s | %s ", row.Deployment, row.Scenario, row.Variant)
		for i, v := range row.Values {
			fmt.Fprintf(&b, "| %s ", v.format(digits[i].digits))
		}
		b.WriteString("|\n")
	}
	return b.String()
}

// MissedTargets returns a line for each target that the policy missed in any run:
// urgent start delay, p99 of each service, no eviction of nearly finished work,
// no overcommit, no attempt left at the end of a drain.
func (r *Report) MissedTargets() []string {
	bounds := []struct {
		column string
		limit  float64
	}{
		{"urgent p99 s", TargetUrgent.Seconds()},
		{"worst p99", TargetP99},
		{"near done", 0},
		{"overcommit", 0},
		{"late", 0},
	}
	var lines []string
	for _, row := range r.Rows {
		if row.Variant != "policy" {
			continue
		}
		for _, bound := range bounds {
			if v := r.Value(row, bound.column); v.Max > bound.limit {
				lines = append(lines, fmt.Sprintf("%s, %s: %s is %.2f (worst seed %.2f), target %.2f",
					row.Deployment, row.Scenario, bound.column, v.Mean, v.Max, bound.limit))
			}
		}
	}
	return lines
}

// Value returns the value of a row by the name of its column, or zero if there is
// no such column.
func (r *Report) Value(row Row, name string) Spread {
	for i, column := range r.Columns {
		if column == name {
			return row.Values[i]
		}
	}
	return Spread{}
}

// Find returns the row of a variant in a scenario of a deployment, or false.
func (r *Report) Find(deployment, scenario, variant string) (Row, bool) {
	for _, row := range r.Rows {
		if row.Deployment == deployment && row.Scenario == scenario && row.Variant == variant {
			return row, true
		}
	}
	return Row{}, false
}
