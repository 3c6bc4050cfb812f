package api

// Kind is a kind of resource, as written in URL paths and documents.
type Kind string

// Kinds of resources.
const (
	KindService    Kind = "services"
	KindJob        Kind = "jobs"
	KindPool       Kind = "pools"
	KindDataCentre Kind = "datacentres"
	KindTeam       Kind = "teams"
	KindWeights    Kind = "weights"
)

// WeightsName is the only name that a resource of kind weights can have.
const WeightsName = "default"

// Kinds returns all kinds in the order in which the resources of a file are
// applied: a kind comes after those that it can refer to.
func Kinds() []Kind {
	return []Kind{KindDataCentre, KindWeights, KindTeam, KindPool, KindService, KindJob}
}

// Known reports whether k is one of the kinds of this package.
func (k Kind) Known() bool {
	switch k {
	case KindService, KindJob, KindPool, KindDataCentre, KindTeam, KindWeights:
		return true
	}
	return false
}

// specFields lists the spec fields of all kinds.
func (r *Resource) specFields() []specField {
	return []specField{
		{KindService, "service", r.Service != nil},
		{KindJob, "job", r.Job != nil},
		{KindPool, "pool", r.Pool != nil},
		{KindDataCentre, "dataCentre", r.DataCentre != nil},
		{KindTeam, "team", r.Team != nil},
		{KindWeights, "weights", r.Weights != nil},
	}
}

// HasSpecOfKind reports whether r has the spec of its kind and no other.
func (r *Resource) HasSpecOfKind() bool {
	for _, f := range r.specFields() {
		if f.set != (f.kind == r.Kind) {
			return false
		}
	}
	return r.Kind.Known()
}
