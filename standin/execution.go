package standin

import (
	"time"
)

// Execution is one request that a backend server ran or refused. Times are in
// nanoseconds since the stand-in started.
type Execution struct {
	RequestID  string        `json:"requestId"`
	Worker     string        `json:"worker"`
	DataCentre string        `json:"dataCentre"`
	Method     string        `json:"method"`
	Path       string        `json:"path"`
	Term       int64         `json:"term"`
	Start      time.Duration `json:"start"`
	// End is 0 while the request runs.
	End time.Duration `json:"end"`
	// ConcurrentRequests is the number of running requests right after the start,
	// including this one.
	ConcurrentRequests int `json:"concurrent"`
	// RefusalReason states why the server did not run the request; "" if it ran.
	RefusalReason string `json:"refused,omitempty"`
	// Leaving reports whether the server had announced before the start that it
	// is leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Identity returns the request id, or the path of a request without an id. Only
// idempotent requests have no id.
func (e Execution) Identity() string {
	if e.RequestID != "" {
		return e.RequestID
	}
	return e.Path
}
