package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the resolution of a latency over its target.
	ratioUnit = 1000
	// maxRatio bounds a latency over its target.
	maxRatio = 100
)

// metrics are the measurements of one run.
type metrics struct {
	// latency holds latencies over their targets, times ratioUnit.
	latency  *hdrhistogram.Histogram
	services []*hdrhistogram.Histogram
	// urgent holds start delays of urgent tasks in milliseconds.
	urgent *hdrhistogram.Histogram
	// others holds start delays of ordinary tasks of all teams but the first.
	others *hdrhistogram.Histogram
	// work is in core seconds, net of lost work; change is the part done
	// while a data centre leaves and returns.
	work, lost, change float64
	evictions          int
	// causes counts evictions by the first words of their reasons.
	causes       map[string]int
	nearlyDone   int
	throttles    int
	completed    int
	failures     int
	givenUp      int
	wrongGivenUp int
	refused      int
	overcommit   int
	stale        int
	moves        int
	lateDrain    int
	// freed is how long cancelled work held capacity after the cancellation.
	freed time.Duration
	// oldest is the longest start delay of an ordinary task.
	oldest time.Duration
}

func newMetrics(services int) *metrics {
	m := &metrics{
		latency: hdrhistogram.New(1, maxRatio*ratioUnit, 3),
		others:  hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
		causes:  map[string]int{},
		urgent:  hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
	}
	for range services {
		m.services = append(m.services, hdrhistogram.New(1, maxRatio*ratioUnit, 3))
	}
	return m
}

// recordLatency takes a latency over its target.
func (m *metrics) recordLatency(service int, ratio float64) {
	value := int64(min(max(ratio*ratioUnit, 1), maxRatio*ratioUnit))
	_ = m.latency.RecordValue(value)
	_ = m.services[service].RecordValue(value)
}

// recordUrgent takes the start delay of an urgent task.
func (m *metrics) recordUrgent(delay time.Duration) {
	_ = m.urgent.RecordValue(max(1, delay.Milliseconds()))
}

// recordWait takes the start delay of an ordinary task.
func (m *metrics) recordWait(delay time.Duration) {
	_ = m.others.RecordValue(max(1, delay.Milliseconds()))
}
