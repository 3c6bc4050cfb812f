package operator

import (
	"fmt"
	"net/http"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// kindFromPath returns the resource kind in the path. If it is unknown, it
// responds with result.NotFound and returns false.
func kindFromPath(w http.ResponseWriter, r *http.Request) (api.Kind, bool) {
	kind := api.Kind(r.PathValue("kind"))
	if !kind.Known() {
		pathNotFound(w, r)
		return "", false
	}
	return kind, true
}

func (h *Handler) listOrWatch(w http.ResponseWriter, r *http.Request) {
	kind, ok := kindFromPath(w, r)
	if !ok {
		return
	}
	// The pattern also matches HEAD requests, for which a watch would wait
	// without sending anything.
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		h.watch(w, r, kind)
		return
	}
	view := h.config.Store.View()
	items := view.List(kind)
	if r.URL.Query().Get("status") == "true" && hasStatus(kind) {
		h.addStatuses(r, items[:min(len(items), maxListedStatuses)])
	}
	writeSuccess(w, view.Version(), List{Kind: kind, Version: view.Version(), Items: items})
}

func (h *Handler) getResource(w http.ResponseWriter, r *http.Request) {
	kind, ok := kindFromPath(w, r)
	if !ok {
		return
	}
	resource, ok := h.config.Store.View().Get(kind, r.PathValue("name"))
	if !ok {
		writeFailure(w, Failure{Code: result.NotFound, Message: fmt.Sprintf("%s/%s does not exist", kind, r.PathValue("name"))})
		return
	}
	if hasStatus(kind) {
		list := []api.Resource{resource}
		h.addStatuses(r, list)
		resource = list[0]
	}
	writeSuccess(w, resource.Version, resource)
}

// maxListedStatuses bounds the statuses in one list, because each status is
// requested from all owners of cells. The remaining items of a longer list have
// no status.
const maxListedStatuses = 1000

// hasStatus reports whether resources of a kind have tasks.
func hasStatus(kind api.Kind) bool {
	return kind == api.KindService || kind == api.KindJob
}

// addStatuses sets the status of services or jobs. If the statuses can't be
// collected, a condition says so instead, so that specs can be read while the
// owners of cells are unreachable.
func (h *Handler) addStatuses(r *http.Request, list []api.Resource) {
	statuses, err := h.config.Status.Statuses(r.Context(), list)
	for i := range list {
		if err == nil {
			list[i].Status = &statuses[i]
			continue
		}
		list[i].Status = &api.Status{Conditions: []api.Condition{{
			Type:    "StatusKnown",
			Status:  api.ConditionFalse,
			Reason:  "StatusUnavailable",
			Message: errorMessage(err),
		}}}
	}
}

func (h *Handler) issueID(w http.ResponseWriter, r *http.Request) {
	id, err := h.config.RequestIDs.NewRequestID(r.Context())
	if err != nil {
		writeFailure(w, Failure{Code: result.CodeOf(err, result.NotReady), Message: errorMessage(err)})
		return
	}
	writeSuccess(w, 0, IssuedID{ID: id})
}
