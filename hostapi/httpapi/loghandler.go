package httpapi

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// LogHandler serves a hostapi.Log under /log/.
type LogHandler struct {
	log hostapi.Log
	mux *http.ServeMux
}

// NewLogHandler returns a handler for log.
func NewLogHandler(log hostapi.Log) *LogHandler {
	h := &LogHandler{log: log, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /log/{stream...}", h.append)
	h.mux.HandleFunc("GET /log/{stream...}", h.read)
	return h
}

// ServeHTTP implements http.Handler.
func (h *LogHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *LogHandler) append(w http.ResponseWriter, r *http.Request) {
	stream := r.PathValue("stream")
	id := r.URL.Query().Get("id")
	data, err := readBounded(r.Body, MaxRecordBytes)
	if err != nil {
		WriteError(w, err, result.BadResource)
		return
	}
	err = checkAppend(stream, id, data)
	if err != nil {
		WriteError(w, err, result.BadResource)
		return
	}
	offset, err := h.log.Append(r.Context(), stream, id, data)
	if err != nil {
		WriteError(w, err, result.WriteOutcomeUnknown)
		return
	}
	writeJSON(w, http.StatusOK, AppendResponse{Offset: offset})
}

func (h *LogHandler) read(w http.ResponseWriter, r *http.Request) {
	stream := r.PathValue("stream")
	from, limit, err := parseReadParameters(r)
	if err != nil {
		WriteError(w, err, result.BadResource)
		return
	}
	err = CheckStream(stream)
	if err != nil {
		WriteError(w, err, result.BadResource)
		return
	}
	page, err := h.log.Read(r.Context(), stream, from, limit)
	if errors.Is(err, hostapi.ErrTruncated) {
		body := TruncatedBody{ErrorBody: NewErrorBody(err, result.ListAgain), First: page.First, Next: page.Next}
		writeJSON(w, http.StatusGone, body)
		return
	}
	if err != nil {
		WriteError(w, err, result.NotRunLogUnavailable)
		return
	}
	page.Records = limitPageSize(page.Records)
	writeJSON(w, http.StatusOK, PageToWire(page))
}

func parseReadParameters(r *http.Request) (from int64, limit int, err error) {
	query := r.URL.Query()
	from, err = strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		return 0, 0, result.Errorf(result.BadResource, "parameter from: %w", err)
	}
	limit, err = strconv.Atoi(query.Get("max"))
	if err != nil {
		return 0, 0, result.Errorf(result.BadResource, "parameter max: %w", err)
	}
	if from < 1 || limit < 0 {
		return 0, 0, result.Errorf(result.BadResource, "parameters from=%d, max=%d are out of range", from, limit)
	}
	return from, min(limit, MaxPageRecords), nil
}

// limitPageSize returns the longest prefix of records whose data does not exceed
// MaxPageDataBytes, but always includes the first record.
func limitPageSize(records []hostapi.LogRecord) []hostapi.LogRecord {
	total := 0
	for i, r := range records {
		total += len(r.Data)
		if i > 0 && total > MaxPageDataBytes {
			return records[:i]
		}
	}
	return records
}
