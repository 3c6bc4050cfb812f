package api

// PoolSpec declares a set of worker VMs on which services and jobs can run.
type PoolSpec struct {
	// DataCentres lists the data centres whose workers belong to the pool; empty
	// means all.
	DataCentres []string `json:"dataCentres,omitempty"`
	// Workers lists VM ids; empty means all workers of the data centres.
	Workers []string `json:"workers,omitempty"`
}
