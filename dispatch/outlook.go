package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// startTime is the time after its acceptance from which a submission counts as one that waits: it would
// have started if there was room, and an append that stalls has been noticed.
const startTime = time.Second

// outlook measures what submissions can expect, for the nodes that accept them.
type outlook struct {
	measure    *admission.Measure
	observedAt time.Duration
	// rejecting: the last outlook that was emitted rejects submissions.
	rejecting bool
	// sizings are those of the queues of which submissions are rejected, as of when that began: later,
	// few of those that arrive are known.
	sizings map[string]admission.Sizing
}

func newOutlook(now time.Duration) outlook {
	return outlook{measure: admission.NewMeasure(now), observedAt: now}
}

// usefulTime returns the time after its acceptance within which the first start of a submission is of
// use.
func (m *Machine) usefulTime(e *ledger.Entry) time.Duration {
	x := m.expected(e)
	return lateFactor*x.objective - time.Duration(minEstimateShare*float64(x.longest))
}

func (m *Machine) admissionClass(e *ledger.Entry) admission.Class {
	if z, rejecting := m.outlook.sizings[e.Queue]; rejecting {
		return admission.Class{Queue: e.Queue, Size: z.Of(&e.Submission)}
	}
	return admission.Class{Queue: e.Queue, Size: admission.Size(m.sizeOf(e))}
}

// countsForOutlook reports whether what becomes of a submission tells what others can expect. Those that wait
// because their tenant is at its cap, or sends beyond its rate, say nothing about the room for others.
func (m *Machine) countsForOutlook(e *ledger.Entry) bool {
	return !e.Guest() && admission.Applies(&e.Submission) && !m.tenants.overRate.beyond[e] && !m.tenants.caps.awaited[e.Tenant]
}

func (m *Machine) countAccepted(e *ledger.Entry) {
	if m.config.Outlook && e.State() == workload.Queued && m.countsForOutlook(e) {
		m.outlook.measure.Count(m.admissionClass(e), admission.Accepted)
	}
}

// countStarted counts a submission whose first run was recorded. One that was too late was counted
// as such.
func (m *Machine) countStarted(e *ledger.Entry) {
	if m.config.Outlook && m.countsForOutlook(e) && m.wall.Sub(e.AcceptedAt) <= m.usefulTime(e) {
		m.outlook.measure.Count(m.admissionClass(e), admission.Started)
	}
}

// observeOutlook observes the submissions that have not begun, and emits the outlook while some are
// rejected.
func (m *Machine) observeOutlook() {
	passed := m.now - m.outlook.observedAt
	if !m.config.Outlook || passed < admission.Interval {
		return
	}
	m.outlook.observedAt = m.now
	waiting := make(map[admission.Class]admission.Waiting)
	for _, e := range m.ledger.Live() {
		if e.State() != workload.Queued || !m.countsForOutlook(e) {
			continue
		}
		class, useful, elapsed := m.admissionClass(e), m.usefulTime(e), m.wall.Sub(e.AcceptedAt)
		switch {
		case elapsed < startTime:
		case elapsed <= useful:
			w := waiting[class]
			waiting[class] = admission.Waiting{Count: w.Count + 1, Useful: w.Useful + useful}
		case elapsed-passed <= useful:
			m.outlook.measure.Count(class, admission.Late)
		}
	}
	steady := !m.logStalled() && !m.viewExpired() && m.config.grantable() >= minStartLease
	m.outlook.measure.Observe(m.now, waiting, steady)
	changes, due := m.outlook.measure.Update(m.now)
	for _, c := range changes {
		m.reportAdmission(c)
	}
	if due {
		m.emitOutlook()
	}
}

func (m *Machine) reportAdmission(c admission.Change) {
	what := "admitted again"
	if c.Rejecting {
		what = fmt.Sprintf("rejected, but for %.2f of them", c.Share)
	}
	m.emit(Decision{
		Kind: AdmissionChanged, Queue: c.Queue, Size: SizeClass(c.Size), Age: admission.Window,
		Reason: fmt.Sprintf("%s; %d wait, %d were started in time and %d became too late, expected time until those that wait are started %v",
			what, c.Waiting, c.Started, c.Late, c.Drain.Round(time.Millisecond)),
	})
}

// emitOutlook emits the outlook while submissions are rejected, and once when none is any more.
func (m *Machine) emitOutlook() {
	out := &admission.Outlook{Queues: m.outlook.measure.Queues()}
	rejecting := !out.Empty()
	if !rejecting && !m.outlook.rejecting {
		return
	}
	m.outlook.rejecting = rejecting
	sizings := make(map[string]admission.Sizing)
	for queue, q := range out.Queues {
		z, known := m.outlook.sizings[queue]
		if !known {
			z = m.sizing(queue)
		}
		q.Sizing, sizings[queue] = z, z
	}
	m.outlook.sizings = sizings
	if rejecting {
		out.Rooms = m.freeRooms()
	}
	m.emit(OutlookChanged{Outlook: out})
}

// sizing returns how the size of a submission of a queue is told.
func (m *Machine) sizing(queue string) admission.Sizing {
	z := admission.Sizing{Scale: 1, Slope: 1}
	if r := m.runTimes[queue]; r != nil && r.version > 0 {
		meanX, meanY, slope := r.regression()
		z.Scale, z.Slope = math.Exp(meanY-slope*meanX), slope
	}
	s := m.sizes[queue]
	if s == nil || min(s.added, sizeSampleSize) < minSizeSample {
		return z
	}
	works := make([]float64, min(s.added, sizeSampleSize))
	for i, e := range s.submissions[:len(works)] {
		works[i] = z.Work(&e.Submission)
	}
	slices.Sort(works)
	for part := 1; part < admission.Parts; part++ {
		z.Quantiles = append(z.Quantiles, works[part*len(works)/admission.Parts])
	}
	return z
}

// freeRooms returns the free room of the usable workers by service, also of services that have none
// and submissions that wait.
func (m *Machine) freeRooms() map[string]admission.Room {
	rooms := make(map[string]admission.Room)
	for _, e := range m.ledger.Live() {
		if service := e.Policy.Service; rooms[service] == nil {
			rooms[service] = admission.NewRoom()
		}
	}
	held := make(map[*worker]bool, len(m.held))
	for _, w := range m.held {
		held[w] = true
	}
	for _, w := range m.usableWorkers() {
		if rooms[w.Service] != nil && !held[w] {
			rooms[w.Service].Add(w.free())
		}
	}
	return rooms
}
