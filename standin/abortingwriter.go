package standin

import (
	"net/http"
)

// abortingWriter sends the first bytes of a response body and then aborts the
// connection.
type abortingWriter struct {
	http.ResponseWriter
	remaining int
}

// Unwrap returns the inner writer, so that http.ResponseController can flush it.
func (w *abortingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Write implements http.ResponseWriter.
func (w *abortingWriter) Write(data []byte) (int, error) {
	if len(data) <= w.remaining {
		w.remaining -= len(data)
		return w.ResponseWriter.Write(data)
	}
	_, _ = w.ResponseWriter.Write(data[:w.remaining])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
