package httpapi

// FenceRequest is the body of POST /agent/fence. The answer is a
// hostapi.WorkerState, as for GET /agent/state. The body of POST /agent/start
// is a hostapi.Start.
type FenceRequest struct {
	Term int64 `json:"term"`
}
