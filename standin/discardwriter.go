package standin

import (
	"net/http"
)

// discardWriter is a http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header {
	return w.header
}

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(data []byte) (int, error) {
	return len(data), nil
}

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}
