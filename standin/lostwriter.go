package standin

import (
	"net/http"
)

// lostWriter drops a response.
type lostWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (l *lostWriter) Header() http.Header {
	return l.header
}

// Write implements http.ResponseWriter.
func (l *lostWriter) Write(data []byte) (int, error) {
	return len(data), nil
}

// WriteHeader implements http.ResponseWriter.
func (l *lostWriter) WriteHeader(int) {}
