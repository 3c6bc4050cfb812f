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
	items := view.List(kind)
	if r.URL.Query().Get("status") == "true" && hasStatus(kind) {
		h.addStatuses(r, items[:min(len(items), maxListedStatuses)])
	}
	succeed(w, view.Version(), List{Kind: kind, Version: view.Version(), Items: items})
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
	if hasStatus(kind) {
		one := []api.Resource{resource}
		h.addStatuses(r, one)
		resource = one[0]
	}
	succeed(w, resource.Version, resource)
}

// maxListedStatuses bounds the statuses of one list. The rest of a longer list
// has none: each is asked of all owners of cells.
const maxListedStatuses = 1000

// hasStatus reports whether resources of a kind have tasks.
func hasStatus(kind api.Kind) bool {
	return kind == api.KindService || kind == api.KindJob
}

// addStatuses sets the status of services or jobs. A status that can't be
// collected becomes a condition, so that the spec can be read without the
// owners of cells.
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
			Message: messageOf(err),
		}}}
	}
}

func (h *Handler) issueID(w http.ResponseWriter, r *http.Request) {
	id, err := h.config.RequestIDs.NewRequestID(r.Context())
	if err != nil {
		fail(w, Failure{Code: result.CodeOf(err, result.NotReady), Message: messageOf(err)})
		return
	}
	succeed(w, 0, IssuedID{ID: id})
}
