package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	// maxSummaryAge is the age from which a summary is not used.
	maxSummaryAge = 15 * time.Second
	// moveDelay is how long an ordinary task waits in a cell before it moves.
	// Urgent tasks move at once.
	moveDelay = 3 * time.Second
	// otherDataCentreFactor is the factor on the chance of a cell in another data
	// centre: links between data centres are expensive.
	otherDataCentreFactor = 0.5
)

// ChooseCell returns the cell to move a task to, or false if no summary shows
// room. The choice is random in proportion to the room, because many owners
// choose from the same lagging summaries.
func (p *Policy) ChooseCell(now time.Duration, s *Snapshot, t *Task) (CellID, bool) {
	return p.chooseCell(now, s, cellRequest{job: t.Job, service: t.Service, urgent: t.Urgent, need: p.need(s, t)})
}

// chooseCell prefers free room to room that urgent work would have to take.
func (p *Policy) chooseCell(now time.Duration, s *Snapshot, l cellRequest) (CellID, bool) {
	if id, ok := p.sampleCell(now, s, l); ok {
		return id, true
	}
	if !l.urgent || !p.config.Rules.Has(RulePriority) {
		return CellID{}, false
	}
	l.preempt = true
	return p.sampleCell(now, s, l)
}

func (p *Policy) sampleCell(now time.Duration, s *Snapshot, l cellRequest) (CellID, bool) {
	var cells []*CellSummary
	var shares []float64
	total := 0.0
	for i := range s.summaries {
		sum := &s.summaries[i]
		share := p.cellWeight(now, s, sum, l)
		if share <= 0 {
			continue
		}
		total += share
		cells, shares = append(cells, sum), append(shares, share)
	}
	if len(cells) == 0 {
		return CellID{}, false
	}
	pick := p.random.Float64() * total
	at := len(cells) - 1
	for i, share := range shares {
		if pick < share {
			at = i
			break
		}
		pick -= share
	}
	p.recordSent(cells[at], l.job, l.need)
	return cells[at].Cell, true
}

// cellWeight returns the chance of a cell relative to others.
func (p *Policy) cellWeight(now time.Duration, s *Snapshot, sum *CellSummary, l cellRequest) float64 {
	if sum.Cell == s.cell || sum.Phase == Draining || sum.Phase == OutOfService || now-sum.At > maxSummaryAge {
		return 0
	}
	sent := p.sentLoads[sum.Cell]
	if sent.at != sum.At {
		sent = sentLoad{}
	}
	free := sum.Free.Sub(sum.Pending).Sub(sent.sum)
	largest := sum.Largest
	if l.preempt {
		free = free.Add(sum.Preemptible)
		largest = sum.LargestWithPreemption
	}
	if !l.need.Fits(largest) || !l.need.Fits(free) {
		return 0
	}
	share := 1 - dominantShare(sum.Capacity.Sub(free), sum.Capacity)
	if s.dataCentre.Phase == InService && sum.Cell.DataCentre != s.cell.DataCentre {
		share *= otherDataCentreFactor
	}
	if sum.Phase == Returning {
		share *= min(1, max(0, float64(now-sum.At)/float64(p.config.RampTime)+0.2))
	}
	if l.service && p.config.Rules.Has(RuleSpread) {
		share /= float64(1 + sum.Replicas[l.job] + sent.jobs[l.job])
	}
	return share
}

// recordSent records what was sent to a cell, until its next summary shows it.
func (p *Policy) recordSent(sum *CellSummary, job string, need hostapi.Resources) {
	sent := p.sentLoads[sum.Cell]
	if sent.at != sum.At || sent.jobs == nil {
		sent = sentLoad{at: sum.At, jobs: map[string]int{}}
	}
	sent.sum = sent.sum.Add(need)
	sent.jobs[job]++
	p.sentLoads[sum.Cell] = sent
}

// betterCell returns a cell for a task that has waited long enough in this one.
func (p *Policy) betterCell(r *Round, t *Task, need hostapi.Resources) (CellID, bool) {
	if !t.Urgent && r.Now-p.firstSeen[t.ID] < moveDelay {
		return CellID{}, false
	}
	return p.chooseCell(r.Now, r.Snapshot, cellRequest{job: t.Job, service: t.Service, urgent: t.Urgent, need: need})
}

// redirectPending moves the pending tasks of a data centre that takes no work.
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
		w := Wait{Task: t.ID, Reason: reason}
		if to, ok := r.policy.ChooseCell(r.Now, r.Snapshot, t); ok {
			w.MoveTo = &to
			w.Reason += "; moving to cell " + to.String()
		}
		r.Plan.Waits = append(r.Plan.Waits, w)
	}
}
