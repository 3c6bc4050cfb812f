package standin

// backendRun is the state between two restarts of a backend server.
type backendRun struct {
	// guard is guarded by backend.mu.
	guard *AdmissionControl
	// crashed is closed when the worker goes down.
	crashed chan struct{}
}
