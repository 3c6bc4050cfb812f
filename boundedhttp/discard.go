package boundedhttp

import (
	"io"
	"net/http"
)

// DiscardBody reads the body of a request that has no use for one, up to limit bytes. A request is
// not closed for lack of room once its body is read to its end, so a handler calls it before it
// acts. If it returns an error, the body is too large or did not arrive as a whole, and the handler
// must not act. The wait for bytes ends when the connection is closed for lack of progress.
func DiscardBody(w http.ResponseWriter, r *http.Request, limit int64) error {
	if b, ok := r.Body.(*body); ok {
		b.streamed = true
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, limit))
	return err
}
