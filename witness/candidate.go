package witness

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cactusreel/cactusreel/ledger"
)

// maxWitnesses is the number of witnesses of an owner, minWitnesses the least for which the
// loss of one leaves a majority.
const (
	maxWitnesses = 5
	minWitnesses = 3
)

// Candidate is a process that can be a witness.
type Candidate struct {
	ledger.Witness
	DataCentre string
}

// spread chooses an odd number of candidates, at most maxWitnesses, spread over the data
// centres, or none if there are fewer than minWitnesses. A minority is in the owner's own data
// centre, which may be lost with it.
func spread(all []Candidate, ownDataCentre string) []ledger.Witness {
	byDataCentre := make(map[string][]Candidate)
	for _, one := range all {
		byDataCentre[one.DataCentre] = append(byDataCentre[one.DataCentre], one)
	}
	for _, inOne := range byDataCentre {
		slices.SortFunc(inOne, func(a, b Candidate) int { return cmp.Compare(a.VM, b.VM) })
	}
	if own := byDataCentre[ownDataCentre]; len(byDataCentre) > 1 {
		byDataCentre[ownDataCentre] = own[:min(len(own), maxWitnesses/2)]
	}
	var out []ledger.Witness
	for round := range maxWitnesses {
		for _, name := range slices.Sorted(maps.Keys(byDataCentre)) {
			if inOne := byDataCentre[name]; round < len(inOne) && len(out) < maxWitnesses {
				out = append(out, inOne[round].Witness)
			}
		}
	}
	if len(out)%2 == 0 && len(out) > 0 {
		out = out[:len(out)-1]
	}
	if len(out) < minWitnesses {
		return nil
	}
	return out
}
