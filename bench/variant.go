package bench

import (
	"math/rand/v2"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/scheduler"
)

// Variant is what is measured: a policy with settings, or a baseline.
type Variant struct {
	Name string
	// Weights replaces the weights of the deployment, if set.
	Weights *api.WeightsSpec
	// new returns a decider for one cell.
	new func(k *scheduler.LearnedState, random *rand.Rand) Decider
}

// policyVariant returns the policy with the given settings.
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

// versionOne returns the settings of the first complete version of the policy:
// every rule of the design, no room kept for urgent work, slower steps and a
// longer ramp. It runs on the present code.
func versionOne() scheduler.Config {
	config := scheduler.DefaultConfig()
	config.Rules = scheduler.AllRules &^ scheduler.RuleReserve
	config.EscalationDelay = 8 * time.Second
	config.RampTime = 60 * time.Second
	return config
}

// Ablations returns the policy with each of its rules off.
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

// Additions returns the policy with each rule that is not in force added.
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

// WeightVariants returns the policy with the weights of each deployment.
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
