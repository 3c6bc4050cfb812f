package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

// watchWriteTimeout bounds the delivery of one line, so that a client that
// stopped reading does not hold a watch open.
const watchWriteTimeout = 30 * time.Second

// watchStream is one open watch.
type watchStream struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	encoder *json.Encoder
	kind    api.Kind
	// since is the version up to which all changes have been sent.
	since api.Version
}

func newWatchStream(w http.ResponseWriter, kind api.Kind, since api.Version) *watchStream {
	return &watchStream{writer: w, control: http.NewResponseController(w), encoder: json.NewEncoder(w), kind: kind, since: since}
}

func (s *watchStream) start() {
	s.writer.Header().Set("Content-Type", "application/jsonl")
	s.writer.Header().Set(HeaderResult, strconv.Itoa(int(result.OK)))
	s.writer.WriteHeader(http.StatusOK)
	_ = s.control.Flush()
}

// sendChanges sends what the view holds after s.since and reports whether the
// watch goes on.
func (s *watchStream) sendChanges(view *resources.View) bool {
	events, err := view.Events(s.kind, s.since)
	if err != nil {
		code := result.CodeOf(err, result.ListAgain)
		s.send(WatchLine{Type: WatchError, Failure: &Failure{Code: code, Name: code.String(), Message: messageOf(err)}})
		return false
	}
	for i, e := range events {
		resume := e.Version
		if i+1 < len(events) && events[i+1].Version == e.Version {
			resume--
		}
		if !s.send(WatchLine{Type: WatchType(e.Type), Version: e.Version, Resume: resume, Resource: e.Resource}) {
			return false
		}
	}
	// The version advances with changes of other kinds too: a watch of a quiet
	// kind must not fall out of the window.
	s.since = max(s.since, view.Version())
	return true
}

func (s *watchStream) sendBookmark() bool {
	return s.send(WatchLine{Type: WatchBookmark, Version: s.since, Resume: s.since})
}

func (s *watchStream) send(line WatchLine) bool {
	// Writers without deadlines, as in tests, are accepted.
	_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	return s.encoder.Encode(line) == nil && s.control.Flush() == nil
}
