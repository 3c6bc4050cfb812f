package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	// maxSummaryAge is the age above which a summary is not used.
	maxSummaryAge = 15 * time.Second
	// moveDelay is how long an ordinary task waits in a cell before it moves to
	// another. Urgent tasks move at once.
	moveDelay = 3 * time.Second
	// otherDataCentreFactor scales the weight of a cell in another data centre:
	// links between data centres are expensive.
	otherDataCentreFactor = 0.5
)

// ChooseCell returns the cell to move a task to, or false if no summary shows
// enough free capacity. The choice is random, weighted by free capacity, because
// many owners choose from the same lagging summaries.
func (p *Policy) ChooseCell(now time.Duration, s *Snapshot, t *Task) (CellID, bool) {
	return p.chooseCell(now, s, cellRequest{job: t.Job, service: t.Service, urgent: t.Urgent, need: p.need(s, t)})
}

// chooseCell prefers free capacity to capacity that urgent work would have to
// preempt.
func (p *Policy) chooseCell(now time.Duration, s *Snapshot, request cellRequest) (CellID, bool) {
	if id, ok := p.sampleCell(now, s, request); ok {
		return id, true
	}
	if !request.urgent || !p.config.Rules.Has(RulePriority) {
		return CellID{}, false
	}
	request.preempt = true
	return p.sampleCell(now, s, request)
}

func (p *Policy) sampleCell(now time.Duration, s *Snapshot, request cellRequest) (CellID, bool) {
	var cells []*CellSummary
	var weights []float64
	total := 0.0
	for i := range s.summaries {
		summary := &s.summaries[i]
		weight := p.cellWeight(now, s, summary, request)
		if weight <= 0 {
			continue
		}
		total += weight
		cells, weights = append(cells, summary), append(weights, weight)
	}
	if len(cells) == 0 {
		return CellID{}, false
	}
	pick := p.random.Float64() * total
	at := len(cells) - 1
	for i, weight := range weights {
		if pick < weight {
			at = i
			break
		}
		pick -= weight
	}
	p.recordSent(cells[at], request.job, request.need)
	return cells[at].Cell, true
}

// cellWeight returns the weight of a cell in the random choice, or 0 if the cell
// is not eligible.
func (p *Policy) cellWeight(now time.Duration, s *Snapshot, summary *CellSummary, request cellRequest) float64 {
	if summary.Cell == s.cell || summary.Phase == Draining || summary.Phase == OutOfService || now-summary.At > maxSummaryAge {
		return 0
	}
	sent := p.sentLoads[summary.Cell]
	if sent.at != summary.At {
		sent = sentLoad{}
	}
	free := summary.Free.Sub(summary.Pending).Sub(sent.sum)
	largest := summary.Largest
	if request.preempt {
		free = free.Add(summary.Preemptible)
		largest = summary.LargestWithPreemption
	}
	if !request.need.Fits(largest) || !request.need.Fits(free) {
		return 0
	}
	weight := 1 - dominantShare(summary.Capacity.Sub(free), summary.Capacity)
	if s.dataCentre.Phase == InService && summary.Cell.DataCentre != s.cell.DataCentre {
		weight *= otherDataCentreFactor
	}
	if summary.Phase == Returning {
		weight *= min(1, rampStart+(1-rampStart)*float64(summary.PhaseAge)/float64(p.config.RampTime))
	}
	if request.service && p.config.Rules.Has(RuleSpread) {
		weight /= float64(1 + summary.Replicas[request.job] + sent.jobs[request.job])
	}
	return weight
}

// recordSent records what was sent to a cell; it counts until the cell's next
// summary shows it.
func (p *Policy) recordSent(summary *CellSummary, job string, need hostapi.Resources) {
	sent := p.sentLoads[summary.Cell]
	if sent.at != summary.At || sent.jobs == nil {
		sent = sentLoad{at: summary.At, jobs: map[string]int{}}
	}
	sent.sum = sent.sum.Add(need)
	sent.jobs[job]++
	p.sentLoads[summary.Cell] = sent
}

// betterCell returns another cell for a task that has waited long enough in this
// one.
func (p *Policy) betterCell(r *Round, t *Task, need hostapi.Resources) (CellID, bool) {
	if !t.Urgent && r.Now-p.firstSeen[t.ID] < moveDelay {
		return CellID{}, false
	}
	return p.chooseCell(r.Now, r.Snapshot, cellRequest{job: t.Job, service: t.Service, urgent: t.Urgent, need: need})
}

// redirectPending moves the pending tasks of a data centre that takes no new work
// to other cells.
func (r *Round) redirectPending(pending []Task) {
	sorted := slices.Clone(pending)
	slices.SortStableFunc(sorted, func(a, b Task) int {
		if c := r.tier(&a) - r.tier(&b); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	for i := range sorted {
		t := &sorted[i]
		reason := "pending: data centre " + r.Snapshot.cell.DataCentre + " takes no new work"
		w := UnplacedTask{Task: t.ID, Reason: reason}
		if to, ok := r.policy.ChooseCell(r.Now, r.Snapshot, t); ok {
			w.MoveTo = &to
			w.Reason += "; moving to cell " + to.String()
		}
		r.Plan.Unplaced = append(r.Plan.Unplaced, w)
	}
}
