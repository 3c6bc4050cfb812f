package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// replayBytes is the largest body that is read before the first send, so that
// it can be sent again. Larger ones and those of unknown length are streamed
// and can be sent again only if nothing was read of them.
const replayBytes = 64 << 10

// requestBody is the body of a caller's request.
type requestBody struct {
	length int64
	// small is the whole body, if stream is nil.
	small   []byte
	stream  io.Reader
	started atomic.Bool
}

// newRequestBody reads a small body and returns any read error.
func newRequestBody(w http.ResponseWriter, r *http.Request, limit int64) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if b.length < 0 || b.length > replayBytes {
		b.stream = http.MaxBytesReader(w, r.Body, limit)
		return b, nil
	}
	b.small = make([]byte, b.length)
	_, err := io.ReadFull(r.Body, b.small)
	return b, err
}

// replayable reports whether the body can be sent (again).
func (b *requestBody) replayable() bool {
	return b.stream == nil || !b.started.Load()
}

// reader returns the body for one exchange.
func (b *requestBody) reader(ex *exchange) io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	if b.stream == nil {
		return io.NopCloser(bytes.NewReader(b.small))
	}
	return &uploadReader{body: b, exchange: ex}
}

// uploadReader streams the body. While it waits for the caller, no byte is due
// from the backend server.
type uploadReader struct {
	body     *requestBody
	exchange *exchange
}

// Read reads from the caller.
func (u *uploadReader) Read(p []byte) (int, error) {
	u.body.started.Store(true)
	u.exchange.watch.pauseHead()
	n, err := u.body.stream.Read(p)
	u.exchange.watch.expectHead(u.exchange.headLimit)
	return n, err
}

// Close does nothing: the server closes the caller's body.
func (u *uploadReader) Close() error {
	return nil
}
