package bench

import "time"

// column is one metric of the table.
type column struct {
	name string
	// digits is the number of digits after the decimal point.
	digits int
	value  func(m *metrics) float64
}

// coreHour is the number of core seconds in a core hour.
const coreHour = 3600

// columns returns the columns of the table in order.
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
		{"for urgent", 0, evictionsFor("urgent")},
		{"for quota", 0, evictionsFor("quota")},
		{"for target", 0, evictionsFor("target")},
		{"for drain", 0, evictionsFor("drain")},
		{"throttles", 0, func(m *metrics) float64 { return float64(m.throttles) }},
		{"lost", 1, func(m *metrics) float64 { return m.lostWork / coreHour }},
		{"near done", 1, func(m *metrics) float64 { return float64(m.nearlyDone) }},
		{"urgent p99 s", 2, func(m *metrics) float64 { return float64(m.urgent.ValueAtQuantile(99)) / 1000 }},
		{"urgent max s", 2, func(m *metrics) float64 { return float64(m.urgent.Max()) / 1000 }},
		{"others p90 s", 0, func(m *metrics) float64 { return float64(m.otherTeams.ValueAtQuantile(90)) / 1000 }},
		{"oldest s", 0, func(m *metrics) float64 { return m.maxStartDelay.Seconds() }},
		{"failed", 0, func(m *metrics) float64 { return float64(m.failures) }},
		{"given up wrongly", 1, func(m *metrics) float64 { return float64(m.wrongGivenUp) }},
		{"work in change", 0, func(m *metrics) float64 { return m.changeWork / coreHour }},
		{"late", 0, func(m *metrics) float64 { return float64(m.lateDrain) }},
		{"freed s", 1, func(m *metrics) float64 { return m.releaseDelay.Seconds() }},
		{"overcommit", 0, func(m *metrics) float64 { return float64(m.overcommit + m.refusedStarts) }},
	}
}

// evictionsFor returns a function that reads the number of evictions with a
// cause.
func evictionsFor(cause string) func(m *metrics) float64 {
	return func(m *metrics) float64 { return float64(m.evictionCauses[cause]) }
}

// worstP99 returns the highest ratio of a service's p99 latency to its target.
func worstP99(m *metrics) float64 {
	worst := int64(0)
	for _, h := range m.services {
		worst = max(worst, h.ValueAtQuantile(99))
	}
	return float64(worst) / ratioUnit
}

// Targets of design 1.4 and section 5. They are independent of the results of the
// benchmarks: they change only with the design, never to fit a result.
const (
	// TargetUrgent bounds the start delay of urgent work at the 99th percentile.
	TargetUrgent = 2200 * time.Millisecond
	// TargetP99 bounds the ratio of each service's p99 latency to its target.
	TargetP99 = 1.0
)
