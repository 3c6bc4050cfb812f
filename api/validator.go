package api

import (
	"fmt"
	"regexp"

	"github.com/cactusreel/cactusreel/hostapi"
)

// validator collects the faults of one resource.
type validator struct {
	faults Faults
}

func (v *validator) addFault(field, value, accepted string) {
	v.faults = append(v.faults, Fault{Field: field, Value: value, Accepted: accepted})
}

func (v *validator) addMissing(field, accepted string) {
	v.addFault(field, "", accepted)
}

func (v *validator) inRange(field string, value, low, high int64) {
	if value < low || value > high {
		v.addFault(field, formatValue(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) matches(pattern *regexp.Regexp, field, value, accepted string) {
	switch {
	case value == "":
		v.addMissing(field, accepted)
	case !pattern.MatchString(value):
		v.addFault(field, formatValue(value), accepted)
	}
}

func (v *validator) name(field, value string) {
	v.matches(namePattern, field, value, nameAccepted)
}

func (v *validator) optionalName(field, value string) {
	if value != "" {
		v.name(field, value)
	}
}

func (v *validator) meta(r *Resource) {
	switch {
	case r.Kind == "":
		v.addMissing("kind", acceptedKinds())
	case !r.Kind.Known():
		v.addFault("kind", formatValue(string(r.Kind)), acceptedKinds())
	}
	v.name("name", r.Name)
	if r.Kind == KindWeights && ValidName(r.Name) && r.Name != WeightsName {
		v.addFault("name", formatValue(r.Name), WeightsName)
	}
	if r.Version < 0 {
		v.addFault("version", formatValue(r.Version), "0 or more")
	}
}

func acceptedKinds() string {
	return "services, jobs, pools, datacentres, teams or weights"
}

// taskRequests checks the resources that one task requests. CPU and memory must be
// above 0, so that capacity bounds the number of tasks on a VM.
func (v *validator) taskRequests(field string, r hostapi.Resources) {
	v.inRange(field+".milliCPU", r.MilliCPU, 1, MaxMilliCPU)
	v.inRange(field+".memoryMiB", r.MemoryMiB, 1, MaxMemoryMiB)
	v.inRange(field+".accelerators", r.Accelerators, 0, MaxAccelerators)
}

// uniqueItems checks the length of a list and the form of each item, and that no
// item is repeated.
func (v *validator) uniqueItems(field string, items []string, maxItems int, pattern *regexp.Regexp, accepted string) {
	if len(items) > maxItems {
		v.addFault(field, fmt.Sprintf("a list of %d", len(items)), fmt.Sprintf("at most %d items", maxItems))
		return
	}
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		path := indexPath(field, i)
		if !pattern.MatchString(item) {
			v.addFault(path, formatValue(item), accepted)
		} else if seen[item] {
			v.addFault(path, formatValue(item), "each item once")
		}
		seen[item] = true
	}
}
