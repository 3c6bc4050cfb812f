package api

// WeightsSpec declares the weights of the objectives of the scheduling policy, 0
// to 100 each.
type WeightsSpec struct {
	TailLatency       int `json:"tailLatency"`
	DataCentreChanges int `json:"dataCentreChanges"`
	Evictions         int `json:"evictions"`
	Throughput        int `json:"throughput"`
}
