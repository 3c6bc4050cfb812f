package api

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
	// or all of them if none was, in ascending order of name. They determine the
	// first cell of each task. Set by the system.
	Homes []Home `json:"homes,omitempty"`
	// Status is computed by the system and ignored in writes.
	Status *Status `json:"status,omitempty"`
}
