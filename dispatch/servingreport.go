package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// servingReportInterval is the minimum time between two reports on how submissions are served.
const servingReportInterval = 5 * time.Second

// servingReport counts the submissions of an epoch by queue and size.
type servingReport struct {
	queues map[string]*[LargestSize + 1]servedCounts
	// dueAt is when the next report is due, if news says that submissions were late or not
	// served since the last one.
	dueAt time.Duration
	news  bool
}

// servedCounts counts submissions by how they were served, and those that were not served by
// whether they had started and by what they spent the most time on.
type servedCounts struct {
	served       [NotServed + 1]int
	neverStarted int
	lostTo       [timeUseCount]int
	// inherited are those that were of no more use before the epoch. An earlier owner has counted
	// them, but for those that became so during the takeover.
	inherited int
}

func newServingReport(now time.Duration) servingReport {
	return servingReport{queues: make(map[string]*[LargestSize + 1]servedCounts), dueAt: now + servingReportInterval}
}

// counts returns the counts of a queue and size, or nil if too many queues are known.
func (r *servingReport) counts(queue string, size SizeClass) *servedCounts {
	q := r.queues[queue]
	if q == nil {
		if len(r.queues) >= maxSizeSamples {
			return nil
		}
		q = new([LargestSize + 1]servedCounts)
		r.queues[queue] = q
	}
	return &q[size]
}

// add counts a submission that ended or is overdue.
func (r *servingReport) add(d *Decision) {
	r.news = r.news || d.Served == ServedLate || d.Served == NotServed
	c := r.counts(d.Queue, d.Size)
	if c == nil {
		return
	}
	c.served[d.Served]++
	if d.Served != NotServed {
		return
	}
	c.lostTo[d.Times.Most()]++
	if !d.Started {
		c.neverStarted++
	}
}

func (r *servingReport) addInherited(queue string, size SizeClass) {
	if c := r.counts(queue, size); c != nil {
		c.inherited++
		r.news = true
	}
}

// String returns the counts for logs.
func (r *servingReport) String() string {
	var parts []string
	for _, queue := range slices.Sorted(maps.Keys(r.queues)) {
		for size := LargestSize; size >= OtherSize; size-- {
			if text := r.queues[queue][size].String(); text != "" {
				parts = append(parts, fmt.Sprintf("%s %v: %s", queue, size, text))
			}
		}
	}
	return strings.Join(parts, "; ")
}

// String returns the counts for logs, or "" if there are none.
func (c *servedCounts) String() string {
	var parts []string
	add := func(n int, what string) {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, what))
		}
	}
	for served := ServedInTime; served <= NotServed; served++ {
		add(c.served[served], served.String())
	}
	if c.served[NotServed] > 0 {
		var lost []string
		for use, n := range c.lostTo {
			if n > 0 {
				lost = append(lost, fmt.Sprintf("%v %d", TimeUse(use), n))
			}
		}
		parts[len(parts)-1] += fmt.Sprintf(" (%d never started, most of the time went into: %s)", c.neverStarted, strings.Join(lost, ", "))
	}
	add(c.inherited, "of no more use before the epoch")
	return strings.Join(parts, ", ")
}

// reportServing emits a decision with the counts of the epoch, if submissions were late or not
// served since the last one.
func (m *Machine) reportServing() {
	if !m.serving.news || m.now < m.serving.dueAt {
		return
	}
	m.serving.dueAt, m.serving.news = m.now+servingReportInterval, false
	m.emit(Decision{Kind: ServingReported, Reason: m.serving.String()})
}
