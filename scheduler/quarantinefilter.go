package scheduler

// quarantineFilter keeps all tasks except probes off quarantined workers.
type quarantineFilter struct{}

// Reject rejects quarantined workers. Only an ordinary batch task can be a probe.
func (quarantineFilter) Reject(r *Round, t *Task, c *Candidate) string {
	quarantined, probe := r.policy.learned.failures.Quarantined(r.Now, c.Worker.ID)
	if !quarantined || (probe && !t.Urgent && !t.Service) {
		return ""
	}
	return "outside quarantine has free capacity"
}

// recordProbe reports whether the placement is a probe, and records it if so.
func (p *Policy) recordProbe(r *Round, c *Candidate) bool {
	if !p.config.Rules.Has(RuleQuarantine) {
		return false
	}
	quarantined, _ := p.learned.failures.Quarantined(r.Now, c.Worker.ID)
	if quarantined {
		p.learned.failures.ProbePlaced(r.Now, c.Worker.ID)
	}
	return quarantined
}
