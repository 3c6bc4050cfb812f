package scheduler

import "strings"

// Rules is a set of rules of the policy. Each rule can be off, so that its effect
// can be measured.
type Rules uint32

// Rules of the policy.
const (
	// RuleInterference scores workers by the estimated slowdown of colocated tasks.
	RuleInterference Rules = 1 << iota
	// RuleExploration keeps unknown pairs away from services near their target.
	RuleExploration
	// RuleLearnedSizes assigns learned needs in place of declared ones.
	RuleLearnedSizes
	// RuleLearnedTimes uses learned run times in place of declared ones.
	RuleLearnedTimes
	// RuleQuarantine takes workers on which tasks of many jobs fail out of use.
	RuleQuarantine
	// RuleParking stops placing tasks of jobs that fail on many workers.
	RuleParking
	// RuleRetryBudget delays retries with jitter and bounds them per job.
	RuleRetryBudget
	// RulePriority places urgent work first and preempts ordinary work for it.
	RulePriority
	// RuleQuota orders tasks by the quota usage of their teams and reclaims borrowed
	// capacity.
	RuleQuota
	// RuleAgeing places tasks that have waited for long before other ordinary tasks.
	RuleAgeing
	// RuleEscalation throttles, moves or evicts work that slows services down.
	RuleEscalation
	// RuleNearlyDone protects attempts that are nearly done from moves and
	// evictions.
	RuleNearlyDone
	// RuleSpread spreads the replicas of a service over racks and workers.
	RuleSpread
	// RuleDrain empties a data centre by priority and checkpoint cost.
	RuleDrain
	// RuleRamp limits the growth of load in a returning data centre.
	RuleRamp
	// RuleMove moves tasks that a cell can't place to other cells.
	RuleMove
	// RuleReserve reserves capacity for as much urgent work as arrived recently.
	RuleReserve
	ruleEnd
)

// AllRules is the set of all rules.
const AllRules = ruleEnd - 1

// DefaultRules is the set of rules that are on by default. RuleExploration,
// RuleLearnedTimes and RuleRamp are off because the benchmarks show no benefit of
// them; docs/measurements.md has their figures.
const DefaultRules = RulePriority |
	RuleMove |
	RuleReserve |
	RuleLearnedSizes |
	RuleRetryBudget |
	RuleQuarantine |
	RuleParking |
	RuleInterference |
	RuleEscalation |
	RuleNearlyDone |
	RuleQuota |
	RuleAgeing |
	RuleSpread |
	RuleDrain

var ruleNames = []string{
	"interference", "exploration", "learned-sizes", "learned-times", "quarantine", "parking",
	"retry-budget", "priority", "quota", "ageing", "escalation", "nearly-done", "spread",
	"drain", "ramp", "move", "reserve",
}

// Has reports whether all rules of o are in r.
func (r Rules) Has(o Rules) bool { return r&o == o }

// String returns the names of the rules, separated by "+".
func (r Rules) String() string {
	var names []string
	for i, name := range ruleNames {
		if r.Has(1 << i) {
			names = append(names, name)
		}
	}
	return strings.Join(names, "+")
}

// Each returns the rules of the set one by one.
func (r Rules) Each() []Rules {
	var each []Rules
	for rule := Rules(1); rule < ruleEnd; rule <<= 1 {
		if r.Has(rule) {
			each = append(each, rule)
		}
	}
	return each
}
