package scheduler

import "fmt"

// quotaRule keeps teams that may not borrow capacity within their quota.
type quotaRule struct{}

// Admit rejects a task that would take its team over a quota it may not exceed.
func (quotaRule) Admit(r *Round, t *Task) string {
	team := r.Snapshot.teams[t.Team]
	if team.Name == "" || team.MayBorrow {
		return ""
	}
	need := r.policy.need(r.Snapshot, t)
	if dominantShare(r.teamUsage(t.Team).Add(need), team.Quota) <= 1 {
		return ""
	}
	return fmt.Sprintf("team %s has used its quota in this cell and may not borrow", t.Team)
}

// Reserve does nothing: the round tracks the usage of each team.
func (quotaRule) Reserve(*Round, *Task, *Candidate) {}
