package api

// WeightsSpec declares the weights of the policy's objectives, 0 to 100 each.
type WeightsSpec struct {
	TailLatency       int `json:"tailLatency"`
	DataCentreChanges int `json:"dataCentreChanges"`
	Evictions         int `json:"evictions"`
	Throughput        int `json:"throughput"`
}
