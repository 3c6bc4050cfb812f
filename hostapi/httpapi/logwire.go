package httpapi

import (
	"errors"
	"fmt"
	"net/url"
	"strings"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// PageWire is the response body of GET /log/<stream>?from=N&max=M.
type PageWire struct {
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
	Records []RecordWire `json:"records"`
}

var errBadPage = errors.New("log page is inconsistent")

// PageToWire returns the wire form of a page.
func PageToWire(page hostapi.LogPage) PageWire {
	wire := PageWire{First: page.First, Next: page.Next, Records: make([]RecordWire, 0, len(page.Records))}
	for _, r := range page.Records {
		wire.Records = append(wire.Records, RecordWire(r))
	}
	return wire
}

// DecodePage parses the response body of a read of at most limit records that
// starts at offset from. It returns an error for a page that has gaps, that has
// records outside [First, Next) or that does not start at from, because a reader
// that applied such a page would silently skip or repeat records.
func DecodePage(data []byte, from int64, limit int) (hostapi.LogPage, error) {
	var wire PageWire
	err := decodeJSON(data, &wire)
	if err != nil {
		return hostapi.LogPage{}, fmt.Errorf("log page: %w", err)
	}
	if wire.First < 1 || wire.Next < wire.First || from < wire.First {
		return hostapi.LogPage{}, fmt.Errorf("%w: first %d, next %d", errBadPage, wire.First, wire.Next)
	}
	if len(wire.Records) > limit {
		return hostapi.LogPage{}, fmt.Errorf("%w: %d records instead of at most %d", errBadPage, len(wire.Records), limit)
	}
	page := hostapi.LogPage{First: wire.First, Next: wire.Next}
	for i, r := range wire.Records {
		if r.Offset != from+int64(i) || r.Offset >= wire.Next {
			return hostapi.LogPage{}, fmt.Errorf("%w: offset %d at position %d", errBadPage, r.Offset, i)
		}
		page.Records = append(page.Records, hostapi.LogRecord(r))
	}
	if len(page.Records) == 0 && limit > 0 && from < wire.Next {
		return hostapi.LogPage{}, fmt.Errorf("%w: no record at %d below next %d", errBadPage, from, wire.Next)
	}
	return page, nil
}

// decodeTruncated parses the body of a 410 response. It returns a page without
// records and an error that wraps hostapi.ErrTruncated.
func decodeTruncated(status int, data []byte) (hostapi.LogPage, error) {
	cause := DecodeErrorBody(status, data)
	if !errors.Is(cause, hostapi.ErrTruncated) {
		return hostapi.LogPage{}, cause
	}
	var body TruncatedBody
	err := decodeJSON(data, &body)
	if err != nil || body.First < 1 || body.Next < body.First {
		return hostapi.LogPage{}, fmt.Errorf("%w: first %d, next %d in 410 response", errBadPage, body.First, body.Next)
	}
	return hostapi.LogPage{First: body.First, Next: body.Next}, cause
}

// CheckStream returns an error with code BadResource unless stream is a valid
// stream name: segments of letters, digits, '-', '_' and '.', joined by '/'.
func CheckStream(stream string) error {
	if stream == "" || len(stream) > MaxStreamBytes {
		return result.Errorf(result.BadResource, "stream name has %d bytes instead of 1 to %d", len(stream), MaxStreamBytes)
	}
	for segment := range strings.SplitSeq(stream, "/") {
		if segment == "" || segment == "." || segment == ".." || strings.ContainsFunc(segment, isInvalidStreamRune) {
			return result.Errorf(result.BadResource, "stream name %q has the invalid segment %q", stream, segment)
		}
	}
	return nil
}

func isInvalidStreamRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune("-_.", r)
}

// logPath returns the path of a stream whose name has passed CheckStream.
func logPath(stream string) string {
	return (&url.URL{Path: "/log/" + stream}).EscapedPath()
}
