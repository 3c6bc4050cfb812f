package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the number of histogram units for a latency equal to its
	// target.
	ratioUnit = 1000
	// maxRatio bounds the recorded ratio of a latency to its target.
	maxRatio = 100
)

// metrics are the measurements of one run.
type metrics struct {
	// latency holds ratios of latencies to their targets, times ratioUnit;
	// services holds the same for each service.
	latency  *hdrhistogram.Histogram
	services []*hdrhistogram.Histogram
	// urgent holds start delays of urgent tasks in milliseconds.
	urgent *hdrhistogram.Histogram
	// otherTeams holds start delays in milliseconds of ordinary tasks of all
	// teams except the first, which floods in some scenarios.
	otherTeams *hdrhistogram.Histogram
	// work is completed batch work in core seconds, net of work lost to
	// interruptions. lostWork is the part lost to evictions and moves.
	// changeWork is the part of work done between a take-out and the end of the
	// return to service.
	work, lostWork, changeWork float64
	evictions                  int
	// evictionCauses counts evictions by cause.
	evictionCauses    map[string]int
	nearlyDone        int
	throttles         int
	completed         int
	failures          int
	givenUp           int
	wrongGivenUp      int
	refusedStarts     int
	overcommit        int
	rejectedDecisions int
	moves             int
	lateDrain         int
	// releaseDelay is the longest time for which cancelled attempts held
	// capacity after the cancellation.
	releaseDelay time.Duration
	// maxStartDelay is the longest start delay of an ordinary task.
	maxStartDelay time.Duration
}

func newMetrics(services int) *metrics {
	m := &metrics{
		latency:        hdrhistogram.New(1, maxRatio*ratioUnit, 3),
		otherTeams:     hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
		evictionCauses: map[string]int{},
		urgent:         hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3),
	}
	for range services {
		m.services = append(m.services, hdrhistogram.New(1, maxRatio*ratioUnit, 3))
	}
	return m
}

// recordLatency records the ratio of a request's latency to its target.
func (m *metrics) recordLatency(service int, ratio float64) {
	value := int64(min(max(ratio*ratioUnit, 1), maxRatio*ratioUnit))
	_ = m.latency.RecordValue(value)
	_ = m.services[service].RecordValue(value)
}

// recordUrgentDelay records the start delay of an urgent task.
func (m *metrics) recordUrgentDelay(delay time.Duration) {
	_ = m.urgent.RecordValue(max(1, delay.Milliseconds()))
}

// recordOrdinaryDelay records the start delay of an ordinary task.
func (m *metrics) recordOrdinaryDelay(delay time.Duration) {
	_ = m.otherTeams.RecordValue(max(1, delay.Milliseconds()))
}
