package api

import "regexp"

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
