package bench

import "time"

// column is one figure of the table.
type column struct {
	name string
	// digits after the point.
	digits int
	value  func(m *metrics) float64
}

// coreHour is in core seconds.
const coreHour = 3600

// columns returns the figures of the table in order.
func columns() []column {
	quantile := func(q float64) func(m *metrics) float64 {
		return func(m *metrics) float64 { return float64(m.latency.ValueAtQuantile(q)) / ratioUnit }
	}
	return []column{
		{"p50", 2, quantile(50)},
		{"p99", 2, quantile(99)},
		{"p99.9", 2, quantile(99.9)},
		{"worst p99", 2, worstP99},
		{"work", 0, func(m *metrics) float64 { return m.work / coreHour }},
		{"evictions", 0, func(m *metrics) float64 { return float64(m.evictions) }},
		{"for urgent", 0, cause("urgent")},
		{"for quota", 0, cause("quota")},
		{"for target", 0, cause("target")},
		{"for drain", 0, cause("drain")},
		{"throttles", 0, func(m *metrics) float64 { return float64(m.throttles) }},
		{"lost", 1, func(m *metrics) float64 { return m.lost / coreHour }},
		{"near done", 1, func(m *metrics) float64 { return float64(m.nearlyDone) }},
		{"urgent p99 s", 2, func(m *metrics) float64 { return float64(m.urgent.ValueAtQuantile(99)) / 1000 }},
		{"urgent max s", 2, func(m *metrics) float64 { return float64(m.urgent.Max()) / 1000 }},
		{"others p90 s", 0, func(m *metrics) float64 { return float64(m.others.ValueAtQuantile(90)) / 1000 }},
		{"oldest s", 0, func(m *metrics) float64 { return m.oldest.Seconds() }},
		{"failed", 0, func(m *metrics) float64 { return float64(m.failures) }},
		{"given up wrongly", 1, func(m *metrics) float64 { return float64(m.wrongGivenUp) }},
		{"work in change", 0, func(m *metrics) float64 { return m.change / coreHour }},
		{"late", 0, func(m *metrics) float64 { return float64(m.lateDrain) }},
		{"freed s", 1, func(m *metrics) float64 { return m.freed.Seconds() }},
		{"overcommit", 0, func(m *metrics) float64 { return float64(m.overcommit + m.refused) }},
	}
}

// cause returns the evictions for one cause.
func cause(name string) func(m *metrics) float64 {
	return func(m *metrics) float64 { return float64(m.causes[name]) }
}

// worstP99 returns the highest p99 of any service over its target.
func worstP99(m *metrics) float64 {
	worst := int64(0)
	for _, h := range m.services {
		worst = max(worst, h.ValueAtQuantile(99))
	}
	return float64(worst) / ratioUnit
}

// Targets of design 1.4 and section 5, stated before the runs.
const (
	// TargetUrgent bounds the start delay of urgent work at the 99th percentile.
	TargetUrgent = 2200 * time.Millisecond
	// TargetP99 bounds the p99 of each service over its target.
	TargetP99 = 1.0
)
