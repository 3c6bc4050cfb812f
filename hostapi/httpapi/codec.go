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

// decodeJSON parses exactly one JSON value. Unknown fields are ignored so that
// either side can be upgraded first.
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

// readBounded reads all of r and fails if it holds more than limit bytes.
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

// readRequest parses the bounded JSON body of a request.
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

// writeJSON answers with a JSON value and its length, so that the receiver
// notices a truncated answer.
func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	// A failed write means that the receiver is gone; it sees a short body.
	_, _ = w.Write(data)
}
