package bench

import (
	"math/rand/v2"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/scheduler"
)

// Variant is a measured policy: the scheduler's policy with some configuration,
// or a baseline.
type Variant struct {
	Name string
	// Weights replaces the weights of the deployment, if set.
	Weights *api.WeightsSpec
	// new returns a decider for one cell.
	new func(k *scheduler.LearnedState, random *rand.Rand) Decider
}

// policyVariant returns the scheduler's policy with the given configuration.
func policyVariant(name string, config scheduler.Config) Variant {
	return Variant{Name: name, new: func(k *scheduler.LearnedState, random *rand.Rand) Decider {
		return scheduler.New(config, k, random)
	}}
}

// Variants returns the policy and the baselines.
func Variants() []Variant {
	return []Variant{
		{Name: "first-fit", new: func(_ *scheduler.LearnedState, random *rand.Rand) Decider {
			return newBaseline(random, firstFit)
		}},
		{Name: "least-loaded", new: func(_ *scheduler.LearnedState, random *rand.Rand) Decider {
			return newBaseline(random, leastLoaded)
		}},
		policyVariant("version 1", versionOne()),
		policyVariant("policy", scheduler.DefaultConfig()),
	}
}

// versionOne returns the configuration of the first complete version of the
// policy: every rule of the design, no capacity reserved for urgent work, slower
// escalation and a longer ramp. It runs with the current code.
func versionOne() scheduler.Config {
	config := scheduler.DefaultConfig()
	config.Rules = scheduler.AllRules &^ scheduler.RuleReserve
	config.EscalationDelay = 8 * time.Second
	config.RampTime = 60 * time.Second
	return config
}

// Ablations returns variants of the policy, each with one active rule disabled.
func Ablations() []Variant {
	var all []Variant
	config := scheduler.DefaultConfig()
	for _, rule := range config.Rules.Each() {
		without := config
		without.Rules &^= rule
		all = append(all, policyVariant("without "+rule.String(), without))
	}
	return all
}

// Additions returns variants of the policy, each with one inactive rule enabled.
func Additions() []Variant {
	var all []Variant
	config := scheduler.DefaultConfig()
	for _, rule := range (scheduler.AllRules &^ config.Rules).Each() {
		with := config
		with.Rules |= rule
		all = append(all, policyVariant("with "+rule.String(), with))
	}
	return all
}

// WeightVariants returns variants of the policy, each with the weights of one
// deployment.
func WeightVariants() []Variant {
	var all []Variant
	for _, d := range Deployments() {
		v := policyVariant("weights of "+d.Name, scheduler.DefaultConfig())
		w := d.Weights
		v.Weights = &w
		all = append(all, v)
	}
	return all
}
