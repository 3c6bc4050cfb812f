package routing

import "github.com/cactusreel/cactusreel/api"

// Criticality orders requests under overload. The zero value is Normal.
type Criticality uint8

// Criticalities. Low is rejected first, High last.
const (
	Normal Criticality = iota
	Low
	High
)

// CriticalityOf converts the criticality of a service spec; "" and unknown
// values are Normal.
func CriticalityOf(c api.Criticality) Criticality {
	switch c {
	case api.CriticalityHigh:
		return High
	case api.CriticalityLow:
		return Low
	default:
		return Normal
	}
}

// admissionPercent returns the percentage of a service's slots in own cells up
// to which requests of a criticality are admitted. The rest is reserved for
// higher criticalities.
func (c Criticality) admissionPercent() int64 {
	switch c {
	case High:
		return 100
	case Low:
		return 75
	default:
		return 90
	}
}
