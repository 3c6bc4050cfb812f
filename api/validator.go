package api

import (
	"fmt"
	"regexp"

	"github.com/cactusreel/cactusreel/hostapi"
)

// validator collects faults.
type validator struct {
	faults Faults
}

func (v *validator) add(field, value, accepted string) {
	v.faults = append(v.faults, Fault{Field: field, Value: value, Accepted: accepted})
}

func (v *validator) missing(field, accepted string) {
	v.add(field, "", accepted)
}

func (v *validator) between(field string, value, low, high int64) {
	if value < low || value > high {
		v.add(field, show(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) matches(pattern *regexp.Regexp, field, value, accepted string) {
	switch {
	case value == "":
		v.missing(field, accepted)
	case !pattern.MatchString(value):
		v.add(field, show(value), accepted)
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
		v.missing("kind", kindsAccepted())
	case !r.Kind.Known():
		v.add("kind", show(string(r.Kind)), kindsAccepted())
	}
	v.name("name", r.Name)
	if r.Kind == KindWeights && ValidName(r.Name) && r.Name != WeightsName {
		v.add("name", show(r.Name), WeightsName)
	}
	if r.Version < 0 {
		v.add("version", show(r.Version), "0 or more")
	}
}

func kindsAccepted() string {
	return "services, jobs, pools, datacentres, teams or weights"
}

// demand checks what one task needs. Each task needs some processor time and
// memory, so that capacity bounds the number of tasks on a VM.
func (v *validator) demand(field string, r hostapi.Resources) {
	v.between(field+".milliCPU", r.MilliCPU, 1, MaxMilliCPU)
	v.between(field+".memoryMiB", r.MemoryMiB, 1, MaxMemoryMiB)
	v.between(field+".accelerators", r.Accelerators, 0, MaxAccelerators)
}

// unique checks the length of a list, each item, and that none is repeated.
func (v *validator) unique(field string, items []string, most int, pattern *regexp.Regexp, accepted string) {
	if len(items) > most {
		v.add(field, fmt.Sprintf("a list of %d", len(items)), fmt.Sprintf("at most %d items", most))
		return
	}
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		at := index(field, i)
		if !pattern.MatchString(item) {
			v.add(at, show(item), accepted)
		} else if seen[item] {
			v.add(at, show(item), "each item once")
		}
		seen[item] = true
	}
}
