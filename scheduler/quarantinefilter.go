package scheduler

// quarantineFilter keeps tasks off quarantined workers, but for probes.
type quarantineFilter struct{}

// Reject rejects quarantined workers. A probe is an ordinary batch task.
func (quarantineFilter) Reject(r *Round, t *Task, c *Candidate) string {
	out, probe := r.policy.learned.failures.Quarantined(r.Now, c.Worker.ID)
	if !out || (probe && !t.Urgent && !t.Service) {
		return ""
	}
	return "outside quarantine has room"
}

// recordProbe reports whether the placement is a probe, and records it.
func (p *Policy) recordProbe(r *Round, c *Candidate) bool {
	if !p.config.Rules.Has(RuleQuarantine) {
		return false
	}
	out, _ := p.learned.failures.Quarantined(r.Now, c.Worker.ID)
	if out {
		p.learned.failures.Probing(r.Now, c.Worker.ID)
	}
	return out
}
