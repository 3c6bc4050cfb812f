package scheduler

// rulePlugins returns the plugins of a set of rules and those that are always on.
func rulePlugins(rules Rules) plugins {
	set := plugins{filters: []Filter{poolFilter{}}, scores: []Score{loadRule{}}}
	if rules.Has(RuleQuarantine) {
		set.filters = append(set.filters, quarantineFilter{})
	}
	if rules.Has(RuleInterference) {
		set.scores = append(set.scores, interferenceRule{})
	}
	if rules.Has(RuleSpread) {
		set.scores = append(set.scores, spreadRule{})
		set.reserves = append(set.reserves, spreadRule{})
	}
	if rules.Has(RuleQuota) {
		set.reserves = append(set.reserves, quotaRule{})
	}
	if rules.Has(RuleParking) {
		set.reserves = append(set.reserves, trialRule{})
	}
	if rules.Has(RuleRamp) {
		set.reserves = append(set.reserves, rampRule{})
	}
	return set
}
