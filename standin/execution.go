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
	// ConcurrentRequests is how many requests the server ran right after the start,
	// this one included.
	ConcurrentRequests int `json:"concurrent"`
	// RefusalReason is why the server did not run the request, or "".
	RefusalReason string `json:"refused,omitempty"`
	// Leaving tells whether the server had said before the start that it leaves.
	Leaving bool `json:"leaving,omitempty"`
}

// Identity returns what tells the request from others: its id, or its path if
// it carries none, as idempotent requests do.
func (e Execution) Identity() string {
	if e.RequestID != "" {
		return e.RequestID
	}
	return e.Path
}
