package standin

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// requestParameters describes the work and the response of a request.
type requestParameters struct {
	duration time.Duration
	// gap is the pause between the two halves of the response body.
	gap time.Duration
	// body is the response body.
	body []byte
}

func parseRequestParameters(w http.ResponseWriter, r *http.Request) (requestParameters, error) {
	query := r.URL.Query()
	var params requestParameters
	var err error
	if text := query.Get("work"); text != "" {
		params.duration, err = time.ParseDuration(text)
	}
	if err != nil || params.duration < 0 {
		return requestParameters{}, result.Errorf(result.BadResource, "parameter work: %q", query.Get("work"))
	}
	if text := query.Get("gap"); text != "" {
		params.gap, err = time.ParseDuration(text)
	}
	if err != nil || params.gap < 0 {
		return requestParameters{}, result.Errorf(result.BadResource, "parameter gap: %q", query.Get("gap"))
	}
	params.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return requestParameters{}, result.Errorf(result.BadResource, "request body: %w", err)
	}
	text := query.Get("size")
	if text == "" {
		return params, nil
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > maxBodyBytes {
		return requestParameters{}, result.Errorf(result.BadResource, "parameter size: %q", text)
	}
	params.body = EchoBody(r.Header.Get(HeaderRequestID), size)
	return params, nil
}

// EchoBody returns the response body of size bytes for the request with this id:
// the id and a newline, repeated. From it a caller can verify that the response
// is complete and belongs to its request.
func EchoBody(requestID string, size int) []byte {
	line := []byte(requestID + "\n")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}
