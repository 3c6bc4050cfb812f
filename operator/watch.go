package operator

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// watch streams the changes of a kind after the version in the query.
func (h *Handler) watch(w http.ResponseWriter, r *http.Request, kind api.Kind) {
	text := r.URL.Query().Get("watch")
	since, err := parseVersion(text)
	if err != nil {
		writeFailure(w, Failure{Code: result.BadResource, Message: fmt.Sprintf("watch is %.64q; accepted: a version, which is a whole number of 0 or more", text)})
		return
	}
	if _, err := h.config.Store.View().Events(kind, since); err != nil {
		writeFailure(w, Failure{Code: result.CodeOf(err, result.ListAgain), Message: errorMessage(err)})
		return
	}
	select {
	case h.watchSlots <- struct{}{}:
		defer func() { <-h.watchSlots }()
	default:
		writeFailure(w, Failure{Code: result.NotRunOverloaded, Message: fmt.Sprintf("the limit of %d open watches is reached", h.config.MaxWatches)})
		return
	}
	s := newWatchStream(w, kind, since)
	s.writeHeader()
	h.stream(r, s)
}

// stream sends lines until the client disconnects, the server stops or the next
// changes are no longer kept in the store.
func (h *Handler) stream(r *http.Request, s *watchStream) {
	bookmarks := time.NewTicker(h.config.BookmarkInterval)
	defer bookmarks.Stop()
	for {
		view := h.config.Store.View()
		if !s.sendChanges(view) {
			return
		}
		select {
		case <-view.Changed():
		case <-bookmarks.C:
			if !s.sendBookmark() {
				return
			}
		case <-h.config.Stopping:
			return
		case <-r.Context().Done():
			return
		}
	}
}
