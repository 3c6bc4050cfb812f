package standin

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// work is what a request asks for.
type work struct {
	duration time.Duration
	gap      time.Duration
	body     []byte
}

func readWork(w http.ResponseWriter, r *http.Request) (work, error) {
	query := r.URL.Query()
	var todo work
	var err error
	if text := query.Get("work"); text != "" {
		todo.duration, err = time.ParseDuration(text)
	}
	if err != nil || todo.duration < 0 {
		return work{}, result.Errorf(result.BadResource, "parameter work: %q", query.Get("work"))
	}
	if text := query.Get("gap"); text != "" {
		todo.gap, err = time.ParseDuration(text)
	}
	if err != nil || todo.gap < 0 {
		return work{}, result.Errorf(result.BadResource, "parameter gap: %q", query.Get("gap"))
	}
	todo.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxEchoBytes))
	if err != nil {
		return work{}, result.Errorf(result.BadResource, "request body: %w", err)
	}
	text := query.Get("size")
	if text == "" {
		return todo, nil
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > maxEchoBytes {
		return work{}, result.Errorf(result.BadResource, "parameter size: %q", text)
	}
	todo.body = EchoBody(r.Header.Get(HeaderRequestID), size)
	return todo, nil
}

// EchoBody returns the answer of size bytes to the request with this id: the
// id and a newline, again and again. A caller can tell from it whether the
// answer is complete and its own.
func EchoBody(requestID string, size int) []byte {
	line := []byte(requestID + "\n")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}
