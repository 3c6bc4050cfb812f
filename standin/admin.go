package standin

import (
	"cmp"
	"encoding/json"
	"net/http"

	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/result"
)

// maxFaultBytes bounds the body of POST /fault.
const maxFaultBytes = 64 << 10

// openAdmin opens the admin endpoint, which is exempt from faults.
func (p *Platform) openAdmin() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", p.handleFault)
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.History()) })
	mux.HandleFunc("GET /addresses", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.addresses) })
	mux.HandleFunc("GET /events", p.handleEvents)
	admin := newEndpoint([]string{"admin"}, &FaultSet{}, mux)
	err := admin.listen(cmp.Or(p.options.AdminAddress, p.options.listenAddress()))
	if err != nil {
		return err
	}
	p.adminEndpoint = admin
	p.addresses.Admin = p.adminEndpoint.address
	return nil
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&f)
	if err != nil {
		httpapi.WriteError(w, result.Errorf(result.BadResource, "fault: %w", err), result.BadResource)
		return
	}
	err = p.SetFault(f)
	if err != nil {
		httpapi.WriteError(w, err, result.WorkerUnavailable)
		return
	}
	writeJSON(w, f)
}

// handleEvents returns the history as events of package checker, one JSON
// object per line.
func (p *Platform) handleEvents(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	// A write fails only if the client has disconnected.
	_ = checker.WriteHistory(w, p.History().CheckerEvents())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
