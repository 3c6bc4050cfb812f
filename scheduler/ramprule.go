package scheduler

import "fmt"

// rampStart is the share of its capacity that a returning data centre may use
// immediately.
const rampStart = 0.25

// rampRule limits the load of a cell in a returning data centre to a share of its
// capacity that grows with time.
type rampRule struct{}

// Admit rejects ordinary batch tasks beyond the share. Urgent tasks and services
// are admitted.
func (rampRule) Admit(r *Round, t *Task) string {
	dc := r.Snapshot.dataCentre
	if dc.Phase != Returning || t.Urgent || t.Service {
		return ""
	}
	allowed := rampStart + (1-rampStart)*float64(r.Now-dc.Since)/float64(r.policy.config.RampTime)
	used := dominantShare(r.Snapshot.totals.assigned.Add(r.placedNeed), r.Snapshot.capacity)
	if used < allowed {
		return ""
	}
	return fmt.Sprintf("data centre %s is returning to service and takes at most %.0f%% of its capacity", r.Snapshot.cell.DataCentre, 100*allowed)
}

// Reserve does nothing: the round tracks what it has placed.
func (rampRule) Reserve(*Round, *Task, *Candidate) {}
