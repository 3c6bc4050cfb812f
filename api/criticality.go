package api

// Criticality orders requests under overload.
type Criticality string

// Criticalities, from the last to be rejected to the first.
const (
	CriticalityHigh   Criticality = "high"
	CriticalityNormal Criticality = "normal"
	CriticalityLow    Criticality = "low"
)
