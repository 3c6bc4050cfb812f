package api

// Criticality determines which requests are rejected first under overload.
type Criticality string

// Criticalities; requests of low criticality are rejected first.
const (
	CriticalityHigh   Criticality = "high"
	CriticalityNormal Criticality = "normal"
	CriticalityLow    Criticality = "low"
)
