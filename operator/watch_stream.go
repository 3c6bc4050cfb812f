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

// watchWriteTimeout bounds the write of one line, so that a client that has
// stopped reading does not keep a watch open.
const watchWriteTimeout = 30 * time.Second

// watchStream is the response of one open watch.
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

func (s *watchStream) writeHeader() {
	s.writer.Header().Set("Content-Type", "application/jsonl")
	s.writer.Header().Set(HeaderResult, strconv.Itoa(int(result.OK)))
	s.writer.WriteHeader(http.StatusOK)
	_ = s.control.Flush()
}

// sendChanges sends the changes in the view after s.since and reports whether
// the watch continues.
func (s *watchStream) sendChanges(view *resources.View) bool {
	events, err := view.Events(s.kind, s.since)
	if err != nil {
		code := result.CodeOf(err, result.ListAgain)
		s.send(WatchLine{Type: WatchError, Failure: &Failure{Code: code, Name: code.String(), Message: errorMessage(err)}})
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
	// The version also advances with changes of other kinds. Without this, a
	// watch of a kind without changes would fall behind the kept changes.
	s.since = max(s.since, view.Version())
	return true
}

func (s *watchStream) sendBookmark() bool {
	return s.send(WatchLine{Type: WatchBookmark, Version: s.since, Resume: s.since})
}

func (s *watchStream) send(line WatchLine) bool {
	// An error means that the writer does not support deadlines, as in tests.
	_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	return s.encoder.Encode(line) == nil && s.control.Flush() == nil
}
