package api

import "github.com/cactusreel/cactusreel/platform"

// Kind names a kind of resource as it stands in paths and documents.
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

// Version is a resource version: the offset in the log's resources stream of
// the last record that changed the resource. 0 means "does not exist".
type Version int64

// Meta identifies a resource.
type Meta struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is set by the system.
	Version Version `json:"version,omitempty"`
	// Created is the version of the record that created the resource.
	Created Version `json:"created,omitempty"`
}

// Home is a data centre that tasks can be at home in.
type Home struct {
	DataCentre string `json:"dataCentre"`
	// Cells is the number of cells of the data centre.
	Cells int `json:"cells"`
}

// Resource is one declared resource with exactly one spec, that of its kind.
type Resource struct {
	Meta
	Service    *ServiceSpec    `json:"service,omitempty"`
	Job        *JobSpec        `json:"job,omitempty"`
	Pool       *PoolSpec       `json:"pool,omitempty"`
	DataCentre *DataCentreSpec `json:"dataCentre,omitempty"`
	Team       *TeamSpec       `json:"team,omitempty"`
	Weights    *WeightsSpec    `json:"weights,omitempty"`
	// Homes are the data centres in service when a service or job was created,
	// or all of them if none was, in ascending order of name. The first cells of
	// its tasks follow from them. Set by the system.
	Homes []Home `json:"homes,omitempty"`
	// Status is computed by the system and ignored in writes.
	Status *Status `json:"status,omitempty"`
}

// Priority orders work.
type Priority string

// Priorities.
const (
	PriorityUrgent   Priority = "urgent"
	PriorityOrdinary Priority = "ordinary"
)

// Criticality orders requests under overload.
type Criticality string

// Criticalities, from the last to be rejected to the first.
const (
	CriticalityHigh   Criticality = "high"
	CriticalityNormal Criticality = "normal"
	CriticalityLow    Criticality = "low"
)

// ServiceSpec declares a latency-critical service.
type ServiceSpec struct {
	Team     string             `json:"team"`
	TaskKind string             `json:"taskKind"`
	Pool     string             `json:"pool,omitempty"`
	Replicas int                `json:"replicas"`
	Requests platform.Resources `json:"requests"`
	// TargetP99Millis is the latency target of the service in milliseconds.
	TargetP99Millis int64 `json:"targetP99Millis"`
	// MaxRequestMillis bounds a request from its arrival to its last byte.
	MaxRequestMillis int64 `json:"maxRequestMillis,omitempty"`
	// ProgressMillis bounds the time without a byte while bytes are due.
	ProgressMillis int64 `json:"progressMillis,omitempty"`
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// IdempotentMethods replaces the default GET, HEAD, OPTIONS, PUT, DELETE.
	IdempotentMethods []string    `json:"idempotentMethods,omitempty"`
	Criticality       Criticality `json:"criticality,omitempty"`
}

// JobSpec declares batch tasks of one kind.
type JobSpec struct {
	Team     string             `json:"team"`
	TaskKind string             `json:"taskKind"`
	Pool     string             `json:"pool,omitempty"`
	Tasks    int                `json:"tasks"`
	Requests platform.Resources `json:"requests"`
	Priority Priority           `json:"priority,omitempty"`
	// RunSeconds is the declared run time of a task; it can be far off.
	RunSeconds int64 `json:"runSeconds"`
	// MaxRetries bounds failed attempts of each task.
	MaxRetries int `json:"maxRetries,omitempty"`
	// Cancelled is set by the cancel operation and never unset.
	Cancelled bool `json:"cancelled,omitempty"`
}

// PoolSpec declares VMs that work may use.
type PoolSpec struct {
	// DataCentres whose workers belong to the pool; empty means all.
	DataCentres []string `json:"dataCentres,omitempty"`
	// Workers lists VM ids; empty means all workers of the data centres.
	Workers []string `json:"workers,omitempty"`
}

// DataCentreSpec declares a data centre.
type DataCentreSpec struct {
	InService bool `json:"inService"`
	// Cells is the number of cells; it can't be changed.
	Cells int `json:"cells,omitempty"`
	// DrainSeconds bounds the move of work out of a data centre taken out.
	DrainSeconds int64 `json:"drainSeconds,omitempty"`
}

// TeamSpec declares a team's quota.
type TeamSpec struct {
	Quota platform.Resources `json:"quota"`
	// MayBorrow lets the team use what others leave unused until they want it back.
	MayBorrow bool `json:"mayBorrow"`
}

// WeightsSpec declares the weights of the policy's objectives, 0 to 100 each.
type WeightsSpec struct {
	TailLatency       int `json:"tailLatency"`
	DataCentreChanges int `json:"dataCentreChanges"`
	Evictions         int `json:"evictions"`
	Throughput        int `json:"throughput"`
}

// ConditionStatus is the status of a condition.
type ConditionStatus string

// Condition statuses.
const (
	ConditionTrue    ConditionStatus = "true"
	ConditionFalse   ConditionStatus = "false"
	ConditionUnknown ConditionStatus = "unknown"
)

// Condition says why a resource is as it is.
type Condition struct {
	Type   string          `json:"type"`
	Status ConditionStatus `json:"status"`
	// Reason is one word, for programs.
	Reason string `json:"reason,omitempty"`
	// Message is a sentence, for people.
	Message string `json:"message,omitempty"`
}

// Status is the observed state of a resource.
type Status struct {
	// Counts of tasks by state.
	Pending   int `json:"pending"`
	Running   int `json:"running"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Evictions int `json:"evictions"`
	// UnknownCells counts cells whose owner did not answer.
	UnknownCells int         `json:"unknownCells,omitempty"`
	Conditions   []Condition `json:"conditions,omitempty"`
}
