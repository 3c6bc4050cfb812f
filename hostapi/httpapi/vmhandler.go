package httpapi

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// VMListHandler serves a hostapi.VMList at /vms.
type VMListHandler struct {
	list hostapi.VMList
	mux  *http.ServeMux
}

// NewVMListHandler returns a handler for list.
func NewVMListHandler(list hostapi.VMList) *VMListHandler {
	h := &VMListHandler{list: list, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+vmsPath, h.get)
	return h
}

// ServeHTTP implements http.Handler.
func (h *VMListHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *VMListHandler) get(w http.ResponseWriter, r *http.Request) {
	vms, err := h.list.List(r.Context(), r.URL.Query().Get("dataCentre"))
	if err != nil {
		WriteError(w, err, result.NotReady)
		return
	}
	if vms == nil {
		vms = []hostapi.VM{}
	}
	etag, err := etagOf(vms)
	if err != nil {
		WriteError(w, err, result.NotReady)
		return
	}
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, vms)
}

// etagOf returns the entity tag of a VM list.
func etagOf(vms []hostapi.VM) (string, error) {
	data, err := json.Marshal(vms)
	if err != nil {
		return "", fmt.Errorf("encode VM list: %w", err)
	}
	return fmt.Sprintf("\"%016x\"", xxhash.Sum64(data)), nil
}
