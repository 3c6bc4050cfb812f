package admission

import "time"

const (
	// Interval is the time between two calls of Measure.Observe.
	Interval = 250 * time.Millisecond
	// UpdateInterval is the time between two outlooks.
	UpdateInterval = time.Second
	// Window is the time for which counts are kept.
	Window     = 4 * time.Second
	intervals  = int(Window / Interval)
	minWaiting = 4
	minLate    = 3
	// minShare is the share of attempts that is always admitted: without starts, nothing would
	// show that they are possible again.
	minShare = 0.05
	// fillFactor is the ratio of admitted attempts to starts while few submissions wait, so that none
	// of the room stays free.
	fillFactor = 1.5
	// maxDrain limits the expected time to drain, also where nothing is started.
	maxDrain = 8 * time.Second
)

// counts are events of an interval.
type counts [eventCount]int

// meter measures the submissions of one queue and size.
type meter struct {
	recent [intervals]counts
	sum    counts
	// offered estimates the attempts, by interval, and offers their sum: each that was accepted stands
	// for as many as the share was of.
	offered [intervals]float64
	offers  float64
	// span is the time over which sum was counted.
	span      time.Duration
	waiting   int
	useful    time.Duration
	rejecting bool
	share     float64
}

func (m *meter) add(at int, ev Event) {
	m.recent[at][ev]++
	m.sum[ev]++
	if ev == Accepted {
		m.offered[at] += 1 / m.admitted()
		m.offers += 1 / m.admitted()
	}
}

// admitted returns the share of attempts that is admitted.
func (m *meter) admitted() float64 {
	if !m.rejecting {
		return 1
	}
	return m.share
}

// beginInterval forgets what is older than the window.
func (m *meter) beginInterval(at int) {
	for ev, n := range m.recent[at] {
		m.sum[ev] -= n
	}
	m.recent[at] = counts{}
	m.offers -= m.offered[at]
	m.offered[at] = 0
}

// drain returns the expected time in which those that wait are started.
func (m *meter) drain() time.Duration {
	if m.waiting == 0 {
		return 0
	}
	if m.sum[Started] == 0 {
		return maxDrain
	}
	return min(maxDrain, time.Duration(m.waiting)*m.span/time.Duration(m.sum[Started]))
}

// tooMany reports whether more submissions are accepted than can be started in useful time: those
// that wait take over half of it to start, as new ones keep overtaking them, or a quarter became too
// late.
func (m *meter) tooMany() bool {
	return m.waiting >= minWaiting && m.drain() > m.useful/2 || m.sum[Late] >= minLate && m.sum[Started] < 3*m.sum[Late]
}

// few reports whether so few wait that all of them are expected to start in time. The distance to
// tooMany keeps a queue from changing between the two with every few submissions.
func (m *meter) few() bool {
	return 8*m.sum[Late] <= m.sum[Started] && (m.waiting == 0 || m.drain() < m.useful/8)
}

// update decides anew whether to reject, and which share to admit. While it rejects, as many are admitted as
// are started, and more while few wait.
func (m *meter) update() {
	if !m.rejecting && !m.tooMany() {
		return
	}
	if m.rejecting = !m.rejecting || !m.few(); !m.rejecting {
		return
	}
	factor := 1.0
	if m.waiting < minWaiting || m.drain() < m.useful/3 {
		factor = fillFactor
	}
	m.share = min(1, max(minShare, factor*float64(m.sum[Started])/max(1, m.offers)))
}

func (m *meter) outlook() SizeOutlook {
	return SizeOutlook{
		Rejecting: m.rejecting, Share: m.share, Drain: m.drain(),
		Waiting: m.waiting, Started: m.sum[Started], Late: m.sum[Late],
	}
}
