package standin

import (
	"net/http"
)

// cutWriter sends the first bytes of a response body and then closes the
// connection.
type cutWriter struct {
	http.ResponseWriter
	rest int
}

// Unwrap lets http.ResponseController flush.
func (c *cutWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}

// Write implements http.ResponseWriter.
func (c *cutWriter) Write(data []byte) (int, error) {
	if len(data) <= c.rest {
		c.rest -= len(data)
		return c.ResponseWriter.Write(data)
	}
	_, _ = c.ResponseWriter.Write(data[:c.rest])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}
