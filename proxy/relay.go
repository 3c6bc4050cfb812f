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

// relayBufferBytes is the size of the buffers that responses pass through.
const relayBufferBytes = 32 << 10

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// relay passes a response on to the caller as it arrives.
type relay struct {
	c  *call
	ex *exchange
	// keep collects the response, or is nil.
	keep *capture
	// follow reads the response to its end even if the caller has left.
	follow     bool
	callerGone bool
	received   int64
}

// run passes the response on. It returns nil if the response was received
// whole. Otherwise the connection to the caller is aborted, so that what was
// passed on never looks complete.
func (y *relay) run() error {
	y.writeHead()
	err := y.copyBody()
	if err == nil {
		err = y.checkLength()
	}
	if err != nil {
		y.c.abort = true
		y.ex.err = fmt.Errorf("response of %s: %w", y.ex.target, err)
		y.ex.event(EventTruncated)
		return err
	}
	y.writeTrailers()
	return nil
}

func (y *relay) writeHead() {
	resp := y.ex.resp
	header := endToEnd(resp.Header)
	if y.keep != nil {
		y.keep.status = resp.StatusCode
		y.keep.header = header
	}
	h := y.c.w.Header()
	maps.Copy(h, header)
	y.c.code = result.OK
	if y.ex.role == roleHome {
		y.c.code = y.ex.code
	}
	y.c.setOwnHeaders(h)
	y.c.w.WriteHeader(resp.StatusCode)
}

func (y *relay) copyBody() error {
	buffer := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	for {
		y.ex.watch.expect(y.bodyLimit())
		n, err := y.ex.resp.Body.Read(buffer[:])
		y.ex.watch.pause()
		y.received += int64(n)
		if passErr := y.pass(buffer[:n]); passErr != nil {
			return passErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return y.cause(err)
		}
	}
}

// pass writes to the caller. An error ends the relay, unless the response is
// followed to its end.
func (y *relay) pass(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if y.keep != nil {
		y.keep.add(p)
	}
	if y.callerGone {
		return nil
	}
	_, err := y.c.w.Write(p)
	if err == nil && y.ex.resp.ContentLength < 0 {
		err = http.NewResponseController(y.c.w).Flush()
	}
	if err == nil {
		return nil
	}
	y.callerGone = true
	y.c.abort = true
	if y.follow {
		return nil
	}
	return fmt.Errorf("caller: %w", err)
}

// cause replaces the transport's error by the reason for the cancellation.
func (y *relay) cause(err error) error {
	if cause := context.Cause(y.ex.ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, errSilent) {
		y.ex.event(EventProgressTimeout)
	}
	return err
}

// checkLength compares the received bytes with the announced length.
func (y *relay) checkLength() error {
	want := y.ex.resp.ContentLength
	if y.c.r.Method == http.MethodHead || want < 0 || want == y.received {
		return nil
	}
	if y.ex.resp.StatusCode == http.StatusNotModified {
		return nil
	}
	return fmt.Errorf("%w: %d of %d bytes", io.ErrUnexpectedEOF, y.received, want)
}

// writeTrailers passes on the trailers that came after the body.
func (y *relay) writeTrailers() {
	for name, values := range endToEnd(y.ex.resp.Trailer) {
		y.c.w.Header()[http.TrailerPrefix+name] = values
	}
}

// bodyLimit is the longest wait for body bytes. A peer has the same limit
// towards the server, so it gets a little longer to report the failure itself.
func (y *relay) bodyLimit() time.Duration {
	if y.ex.role == roleEntry {
		return y.c.progress
	}
	return y.c.progress + y.c.p.cfg.Limits.ConnectTimeout
}
