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
func (c *abortingWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}

// Write implements http.ResponseWriter.
func (c *abortingWriter) Write(data []byte) (int, error) {
	if len(data) <= c.remaining {
		c.remaining -= len(data)
		return c.ResponseWriter.Write(data)
	}
	_, _ = c.ResponseWriter.Write(data[:c.remaining])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
