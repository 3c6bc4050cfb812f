package api

// PoolSpec declares VMs that work may use.
type PoolSpec struct {
	// DataCentres whose workers belong to the pool; empty means all.
	DataCentres []string `json:"dataCentres,omitempty"`
	// Workers lists VM ids; empty means all workers of the data centres.
	Workers []string `json:"workers,omitempty"`
}
