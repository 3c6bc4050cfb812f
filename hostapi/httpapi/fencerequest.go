package httpapi

// FenceRequest is the request body of POST /agent/fence. The response body is a
// hostapi.WorkerState, as for GET /agent/state. The request body of POST
// /agent/start is a hostapi.Start.
type FenceRequest struct {
	Term int64 `json:"term"`
}
