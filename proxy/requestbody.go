package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxReplayableBytes is the largest body that is buffered before the first send,
// so that it can be sent again. Larger bodies and those of unknown length are
// streamed and can be sent again only if nothing of them has been read.
const maxReplayableBytes = 64 << 10

// requestBody is the body of a caller's request.
type requestBody struct {
	length int64
	// buffered is the complete body if stream is nil.
	buffered      []byte
	stream        io.Reader
	streamStarted atomic.Bool
}

// newRequestBody buffers a body of up to maxReplayableBytes, and returns the
// error if it can't be read. Other bodies are streamed, up to limit bytes.
func newRequestBody(w http.ResponseWriter, r *http.Request, limit int64) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if b.length < 0 || b.length > maxReplayableBytes {
		b.stream = http.MaxBytesReader(w, r.Body, limit)
		return b, nil
	}
	// The buffer grows with the bytes that arrive: a head may announce more than its client sends.
	var err error
	b.buffered, err = io.ReadAll(io.LimitReader(r.Body, b.length))
	if err == nil && int64(len(b.buffered)) < b.length {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// replayable reports whether the body can be sent from its beginning.
func (b *requestBody) replayable() bool {
	return b.stream == nil || !b.streamStarted.Load()
}

// reader returns the body for one exchange.
func (b *requestBody) reader(ex *exchange) io.ReadCloser {
	if b.length == 0 {
		return http.NoBody
	}
	if b.stream == nil {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &uploadReader{body: b, exchange: ex}
}

// uploadReader streams the body. While it waits for bytes from the caller, the
// timeout for the response head is paused, because the backend server can't be
// expected to respond yet.
type uploadReader struct {
	body     *requestBody
	exchange *exchange
}

// Read reads from the caller.
func (u *uploadReader) Read(p []byte) (int, error) {
	u.body.streamStarted.Store(true)
	u.exchange.watchdog.pauseHead()
	n, err := u.body.stream.Read(p)
	u.exchange.watchdog.expectHead(u.exchange.headTimeout)
	return n, err
}

// Close does nothing: the server closes the caller's body.
func (u *uploadReader) Close() error {
	return nil
}
