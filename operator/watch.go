package operator

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// watch streams the changes of a kind after the version that the request names.
func (h *Handler) watch(w http.ResponseWriter, r *http.Request, kind api.Kind) {
	text := r.URL.Query().Get("watch")
	since, err := parseVersion(text)
	if err != nil {
		fail(w, Failure{Code: result.BadResource, Message: fmt.Sprintf("watch is %.64q; accepted: a version, which is a whole number of 0 or more", text)})
		return
	}
	if _, err := h.config.Store.View().Events(kind, since); err != nil {
		fail(w, Failure{Code: result.CodeOf(err, result.ListAgain), Message: messageOf(err)})
		return
	}
	select {
	case h.watches <- struct{}{}:
		defer func() { <-h.watches }()
	default:
		fail(w, Failure{Code: result.NotRunOverloaded, Message: fmt.Sprintf("%d watches are open", h.config.MaxWatches)})
		return
	}
	s := newWatchStream(w, kind, since)
	s.start()
	h.stream(r, s)
}

// stream sends lines until the client leaves, the server stops or changes are
// no longer kept.
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
