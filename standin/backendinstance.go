package standin

// backendInstance is the state of a backend server from a boot to the next
// crash.
type backendInstance struct {
	// admission is guarded by backend.mu.
	admission *AdmissionControl
	// crashed is closed when the worker goes down.
	crashed chan struct{}
}
