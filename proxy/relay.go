package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// relayBufferBytes is the size of a buffer for copying responses.
const relayBufferBytes = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// relay copies a response to the caller as it arrives.
type relay struct {
	c  *call
	ex *exchange
	// capture copies the response for repeats; it may be nil.
	capture *responseCapture
	// readToEnd makes run read the response to its end even if the caller has
	// disconnected.
	readToEnd          bool
	callerDisconnected bool
	received           int64
}

// run copies the response to the caller. It returns nil if the response was
// received completely. Otherwise the connection to the caller is aborted, so that
// the caller can't take the partial response for a complete one.
func (r *relay) run() error {
	r.writeHead()
	err := r.copyBody()
	if err == nil {
		err = r.checkLength()
	}
	if err != nil {
		r.c.abortConnection = true
		r.ex.err = fmt.Errorf("response from %s: %w", r.ex.target, err)
		r.ex.emitEvent(EventTruncated)
		return err
	}
	r.writeTrailers()
	return nil
}

func (r *relay) writeHead() {
	resp := r.ex.resp
	header := endToEndHeaders(resp.Header)
	if r.capture != nil {
		r.capture.status = resp.StatusCode
		r.capture.header = header
	}
	h := r.c.w.Header()
	maps.Copy(h, header)
	r.c.code = result.OK
	if r.ex.role == roleHome {
		r.c.code = r.ex.code
	}
	r.c.setProxyHeaders(h)
	r.c.w.WriteHeader(resp.StatusCode)
}

func (r *relay) copyBody() error {
	buffer := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	for {
		r.ex.watchdog.expectBody(r.bodyTimeout())
		n, err := r.ex.resp.Body.Read(buffer[:])
		r.ex.watchdog.pauseBody()
		r.received += int64(n)
		if passErr := r.writeToCaller(buffer[:n]); passErr != nil {
			return passErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return r.cancellationCause(err)
		}
	}
}

// writeToCaller writes body bytes to the caller. After a write error it returns
// the error, or nil if the response is still to be read to its end.
func (r *relay) writeToCaller(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if r.capture != nil {
		r.capture.add(p)
	}
	if r.callerDisconnected {
		return nil
	}
	_, err := r.c.w.Write(p)
	if err == nil && r.ex.resp.ContentLength < 0 {
		err = http.NewResponseController(r.c.w).Flush()
	}
	if err == nil {
		return nil
	}
	r.callerDisconnected = true
	r.c.abortConnection = true
	if r.readToEnd {
		return nil
	}
	return fmt.Errorf("write to the caller: %w", err)
}

// cancellationCause returns the cause if the exchange was cancelled, and the
// transport's error otherwise.
func (r *relay) cancellationCause(err error) error {
	if cause := context.Cause(r.ex.ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, errProgressTimeout) {
		r.ex.emitEvent(EventProgressTimeout)
	}
	return err
}

// checkLength compares the number of received bytes with Content-Length.
func (r *relay) checkLength() error {
	want := r.ex.resp.ContentLength
	if r.c.r.Method == http.MethodHead || want < 0 || want == r.received {
		return nil
	}
	if r.ex.resp.StatusCode == http.StatusNotModified {
		return nil
	}
	return fmt.Errorf("%w: %d of %d bytes", io.ErrUnexpectedEOF, r.received, want)
}

// writeTrailers forwards the trailers of the response.
func (r *relay) writeTrailers() {
	for name, values := range endToEndHeaders(r.ex.resp.Trailer) {
		r.c.w.Header()[http.TrailerPrefix+name] = values
	}
}

// bodyTimeout returns the longest wait for body bytes. A peer applies the same
// timeout to the server, so it gets more time to report the failure itself.
func (r *relay) bodyTimeout() time.Duration {
	if r.ex.role == roleEntry {
		return r.c.progressTimeout
	}
	return r.c.progressTimeout + r.c.p.cfg.Limits.ConnectTimeout
}
