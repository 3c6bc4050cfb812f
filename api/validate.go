package api

import "regexp"

// Limits of fields. They allow several times the planned scale and prevent
// overflow of 64-bit sums.
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

// ValidName reports whether name is valid for a resource.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// ValidVMID reports whether id is valid for a VM.
func ValidVMID(id string) bool {
	return vmIDPattern.MatchString(id)
}

// Validate checks every field of a resource whose defaults have been set. An
// error is of type Faults and lists every fault.
func Validate(r *Resource) error {
	return validate(r).asError()
}

func validate(r *Resource) Faults {
	v := &validator{}
	v.meta(r)
	for _, f := range r.specFields() {
		switch {
		case f.kind == r.Kind && !f.set:
			v.addMissing(f.name, "the spec of a resource of kind "+string(r.Kind))
		case f.kind != r.Kind && f.set && r.Kind.Known():
			v.addFault(f.name, "present", "no spec but that of kind "+string(r.Kind))
		}
	}
	v.specs(r)
	return v.faults
}
