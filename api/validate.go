package api

import (
	"fmt"
	"regexp"

	"github.com/cactusreel/cactusreel/platform"
)

// Bounds of fields. They admit the planned scale several times over and keep
// sums of 64 bits from overflowing.
const (
	MaxNameBytes         = 63
	MaxVMIDBytes         = 128
	MaxReplicas          = 10_000
	MaxTasks             = 200_000
	MaxMilliCPU          = 1_024_000
	MaxMemoryMiB         = 16 << 20
	MaxAccelerators      = 64
	MaxQuotaMilliCPU     = 10_000_000_000
	MaxQuotaMemoryMiB    = 100_000_000_000
	MaxQuotaAccelerators = 1_000_000
	MaxTargetP99Millis   = 60_000
	MinRequestMillis     = 10
	MaxRequestMillis     = 60_000
	MaxServiceBodyBytes  = 1 << 30
	MaxMethods           = 16
	MaxRunSeconds        = 30 * 24 * 3600
	MaxRetries           = 100
	MaxPoolDataCentres   = 64
	MaxPoolWorkers       = 10_000
	MaxCells             = 64
	MaxDrainSeconds      = 3600
	MaxWeight            = 100
)

const (
	nameAccepted   = "1 to 63 of a-z, 0-9 and hyphens, beginning and ending with a letter or digit"
	vmIDAccepted   = "1 to 128 of letters, digits, dots, underscores, colons and hyphens"
	methodAccepted = "an HTTP method of 1 to 32 letters A-Z"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$`)
	vmIDPattern   = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// ValidName reports whether a resource can have this name.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// ValidVMID reports whether a VM can have this id.
func ValidVMID(id string) bool {
	return vmIDPattern.MatchString(id)
}

// Validate checks every field of a resource whose defaults have been set. An
// error is of type Faults and lists all mistakes.
func Validate(r *Resource) error {
	return validate(r).err()
}

func validate(r *Resource) Faults {
	v := &validator{}
	v.meta(r)
	for _, f := range r.specFields() {
		switch {
		case f.kind == r.Kind && !f.set:
			v.missing(f.name, "the spec of a resource of kind "+string(r.Kind))
		case f.kind != r.Kind && f.set && r.Kind.Known():
			v.add(f.name, "present", "no spec but that of kind "+string(r.Kind))
		}
	}
	v.specs(r)
	return v.faults
}

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
func (v *validator) demand(field string, r platform.Resources) {
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
