package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// favouredShare is the fraction of the CPU of the finite runs of one service and priority
// that the largest submissions may have while they are favoured.
const favouredShare = 0.6

// favouredReportInterval is the minimum time between two reports of a queue whose largest
// submissions are favoured.
const favouredReportInterval = 10 * time.Second

// runClass is the service and the priority of runs.
type runClass struct {
	service  string
	priority int
}

func classOfStep(ws *waitingStep) runClass {
	return runClass{ws.entry.Policy.Service, ws.priority}
}

// favourLargest puts waiting steps of the largest submissions of a queue, if these fall
// behind, before the other finite steps of their service and priority, as far as
// favouredShare allows. By relative remaining work they come last, and while more work
// arrives than the workers can do, never. Those that can no longer be of use are left out.
func (m *Machine) favourLargest(waiting []*waitingStep) {
	var largest []*waitingStep
	for _, ws := range waiting {
		if ws.timeliness != veryLate && !ws.entry.Steps[ws.stepIndex].LongRunning && m.favours(ws.entry) {
			largest = append(largest, ws)
		}
	}
	if len(largest) == 0 {
		return
	}
	// Those that have begun come first: the work done for them would be lost.
	slices.SortStableFunc(largest, func(a, b *waitingStep) int {
		return cmp.Or(cmp.Compare(b.entry.State(), a.entry.State()), cmp.Compare(a.due, b.due))
	})
	all, favoured := m.requestedCPU()
	for _, ws := range largest {
		class := classOfStep(ws)
		if float64(favoured[class]) > favouredShare*float64(all[class]) {
			continue
		}
		step := &ws.entry.Steps[ws.stepIndex]
		favoured[class] += int64(ws.state.Local()-m.occupied[ws.state]) * step.Request.MilliCPU
		ws.favoured, ws.timeliness, ws.remaining = true, onTime, favouredRemaining
		m.reportFavoured(ws.entry.Queue)
	}
	slices.SortStableFunc(waiting, compareUrgency)
}

// requestedCPU returns the CPU that finite runs request, by class, and that of the runs of
// submissions that are favoured, in thousandths of a core.
func (m *Machine) requestedCPU() (all, favoured map[runClass]int64) {
	all, favoured = make(map[runClass]int64), make(map[runClass]int64)
	for _, runs := range m.byEntry {
		e := runs[0].entry
		class := runClass{e.Policy.Service, e.Policy.Priority}
		cpu := int64(0)
		for _, r := range runs {
			if !r.step.LongRunning {
				cpu += r.step.Request.MilliCPU
			}
		}
		all[class] += cpu
		if m.favours(e) {
			favoured[class] += cpu
		}
	}
	return all, favoured
}

// reportFavoured emits a decision for a queue whose largest submissions are favoured.
func (m *Machine) reportFavoured(queue string) {
	sample := m.sizes[queue]
	if sample.reported && m.now-sample.reportedAt < favouredReportInterval {
		return
	}
	sample.reported, sample.reportedAt = true, m.now
	m.emit(Decision{Kind: LargestFavoured, Queue: queue, Reason: sample.balance.String()})
}
