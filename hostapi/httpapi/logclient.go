package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// LogClient implements hostapi.Log over HTTP. It is safe for concurrent use.
type LogClient struct {
	api apiClient
}

var _ hostapi.Log = (*LogClient)(nil)

// NewLogClient returns a client of the log at address, which is an IP address
// and port or a base URL. A nil client selects a new one from NewHTTPClient.
func NewLogClient(address string, client *http.Client) *LogClient {
	return &LogClient{api: newAPIClient(address, client)}
}

// Append adds a record to a stream and returns its offset. The error wraps
// hostapi.ErrNotSent if no connection was obtained or an argument is invalid.
func (l *LogClient) Append(ctx context.Context, stream, id string, data []byte) (int64, error) {
	err := checkAppend(stream, id, data)
	if err != nil {
		return 0, fmt.Errorf("append: %w: %w", err, hostapi.ErrNotSent)
	}
	query := url.Values{"id": {id}}
	resp, err := l.api.send(ctx, http.MethodPost, logPath(stream), query, data, MaxShortResponseBytes)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	var out AppendResponse
	err = resp.decode(&out)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	if out.Offset < 1 {
		return 0, fmt.Errorf("append to %s: response has invalid offset %d", stream, out.Offset)
	}
	return out.Offset, nil
}

// Read returns at most limit records, starting at offset from, and fewer if the
// page would exceed MaxPageDataBytes or MaxPageRecords. The error wraps
// hostapi.ErrTruncated if from is below the first retained offset.
func (l *LogClient) Read(ctx context.Context, stream string, from int64, limit int) (hostapi.LogPage, error) {
	err := CheckStream(stream)
	if err != nil {
		return hostapi.LogPage{}, fmt.Errorf("read: %w", err)
	}
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "max": {strconv.Itoa(limit)}}
	resp, err := l.api.get(ctx, logPath(stream), query, MaxPageBytes)
	if err != nil {
		return hostapi.LogPage{}, fmt.Errorf("read %s: %w", stream, err)
	}
	var page hostapi.LogPage
	switch resp.status {
	case http.StatusOK:
		page, err = DecodePage(resp.body, from, limit)
	case http.StatusGone:
		page, err = decodeTruncated(resp.status, resp.body)
	default:
		err = DecodeErrorBody(resp.status, resp.body)
	}
	if err != nil {
		return page, fmt.Errorf("read %s: %w", stream, err)
	}
	return page, nil
}

func checkAppend(stream, id string, data []byte) error {
	err := CheckStream(stream)
	if err != nil {
		return err
	}
	if id == "" || len(id) > MaxRecordIDBytes {
		return result.Errorf(result.BadResource, "record id has %d bytes instead of 1 to %d", len(id), MaxRecordIDBytes)
	}
	if len(data) > MaxRecordBytes {
		return result.Errorf(result.TooLarge, "record has %d bytes, more than %d", len(data), MaxRecordBytes)
	}
	return nil
}
