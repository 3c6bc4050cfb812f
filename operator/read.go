package operator

import (
	"fmt"
	"net/http"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// knownKind returns the kind of the path, or answers that it does not exist.
func knownKind(w http.ResponseWriter, r *http.Request) (api.Kind, bool) {
	kind := api.Kind(r.PathValue("kind"))
	if !kind.Known() {
		noSuchPath(w, r)
		return "", false
	}
	return kind, true
}

func (h *Handler) listOrWatch(w http.ResponseWriter, r *http.Request) {
	kind, ok := knownKind(w, r)
	if !ok {
		return
	}
	// A HEAD request, which the pattern matches too, would wait without an answer.
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		h.watch(w, r, kind)
		return
	}
	view := h.config.Store.View()
	succeed(w, view.Version(), List{Kind: kind, Version: view.Version(), Items: view.List(kind)})
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	kind, ok := knownKind(w, r)
	if !ok {
		return
	}
	resource, ok := h.config.Store.View().Get(kind, r.PathValue("name"))
	if !ok {
		fail(w, Failure{Code: result.NotFound, Message: fmt.Sprintf("%s/%s does not exist", kind, r.PathValue("name"))})
		return
	}
	if kind == api.KindService || kind == api.KindJob {
		resource.Status = h.status(r, resource)
	}
	succeed(w, resource.Version, resource)
}

// status returns the status of a service or job. A status that can't be
// collected becomes a condition, so that the spec can be read without the
// owners of cells.
func (h *Handler) status(r *http.Request, resource api.Resource) *api.Status {
	status, err := h.config.Status.Status(r.Context(), resource)
	if err != nil {
		return &api.Status{Conditions: []api.Condition{{
			Type:    "StatusKnown",
			Status:  api.ConditionFalse,
			Reason:  "StatusUnavailable",
			Message: messageOf(err),
		}}}
	}
	return &status
}

func (h *Handler) issueID(w http.ResponseWriter, r *http.Request) {
	id, err := h.config.RequestIDs.NewRequestID(r.Context())
	if err != nil {
		fail(w, Failure{Code: result.CodeOf(err, result.NotReady), Message: messageOf(err)})
		return
	}
	succeed(w, 0, IssuedID{ID: id})
}
