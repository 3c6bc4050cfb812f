// Package bench measures the placement policy in virtual time against a small
// fake of the workers at the interface. The fake knows what the policy can't
// see: which pairs of kinds interfere, true sizes and run times, faulty workers
// and impossible jobs. The policy learns of them only through lagging, noisy
// reports. It is not a cluster simulator: it models only what the decisions need.
//
// It is for development only. All randomness comes from the options' seeds.
package bench
