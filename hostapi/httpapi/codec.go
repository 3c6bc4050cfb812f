package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cactusreel/cactusreel/result"
)

var errTrailingData = errors.New("data after the JSON value")

// decodeJSON parses exactly one JSON value. It ignores unknown fields, so that
// client and server can be upgraded in any order.
func decodeJSON(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	err := decoder.Decode(into)
	if err != nil {
		return err
	}
	_, err = decoder.Token()
	if !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

// readBounded reads r until EOF. It returns an error with code TooLarge if r has
// more than limit bytes.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, result.Errorf(result.TooLarge, "body exceeds %d bytes", limit)
	}
	return data, nil
}

// readRequest parses the JSON body of a request, which may have at most limit
// bytes.
func readRequest(r *http.Request, limit int64, into any) error {
	data, err := readBounded(r.Body, limit)
	if err != nil {
		return err
	}
	err = decodeJSON(data, into)
	if err != nil {
		return result.Errorf(result.BadResource, "request body: %w", err)
	}
	return nil
}

// writeJSON writes a response with a JSON body. It sets Content-Length, so that
// the client detects a truncated response.
func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	// A write error means that the connection is broken. The client detects the
	// incomplete body.
	_, _ = w.Write(data)
}
