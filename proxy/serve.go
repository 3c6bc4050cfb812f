package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// responseGrace is the time after the request's deadline in which a response can
// still be written to the caller.
const responseGrace = time.Second

func (p *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, hop{role: roleEntry, hopsLeft: maxHops}, nil)
}

func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request) {
	in, err := parseHop(r.Header, p.cfg.VM)
	if result.CodeOf(err, result.OK) == result.NotOwner {
		p.cfg.OnEvent(Event{Kind: EventLoop, Err: err})
	}
	p.serve(w, r, in, err)
}

// serve handles a request. If err is not nil, the request is rejected with it.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, in hop, err error) {
	inProgress := p.inFlight.begin()
	defer p.inFlight.end()
	c := &call{p: p, w: w, r: r, hop: in, started: p.cfg.Now(), cancel: func() {}}
	if err == nil {
		err = c.parseRequest()
	}
	control := http.NewResponseController(w)
	if c.ctx != nil {
		// An error means that the writer does not support deadlines; the deadline
		// of the context still applies.
		_ = control.SetReadDeadline(c.deadline)
		_ = control.SetWriteDeadline(c.deadline.Add(responseGrace))
	}
	if err == nil {
		err = c.admit(inProgress)
	}
	if c.ctx != nil {
		// From here on the context enforces the deadline. A read that failed at
		// the deadline could not be distinguished from a caller that
		// disconnected.
		_ = control.SetReadDeadline(c.deadline.Add(responseGrace))
	}
	if err != nil {
		c.cancel()
		c.reject(err)
	} else {
		c.dispatch(control)
	}
	c.finish(control)
}

// dispatch sends the request to a backend server or forwards it to a peer.
func (c *call) dispatch(control *http.ResponseController) {
	if c.body.stream != nil {
		// Without full duplex, net/http reads the rest of the request body before
		// it writes the response. An error means that the protocol is not HTTP/1.
		_ = control.EnableFullDuplex()
	}
	switch {
	case c.idempotent:
		c.serveIdempotent()
		return // discardPending cancels the context after the last exchange
	case c.hop.role == roleRun:
		(&atMostOnceSender{c: c}).serve()
	default:
		c.serveNonIdempotent()
	}
	c.cancel()
}

func (c *call) serveIdempotent() {
	s := newIdempotentSender(c)
	ex, err := s.firstResponse()
	callerDisconnected := c.r.Context().Err() != nil
	if err != nil {
		s.discardPending(callerDisconnected)
		c.reject(err)
		return
	}
	stop := context.AfterFunc(c.r.Context(), func() { ex.cancel(errCallerDisconnected) })
	defer stop()
	r := relay{c: c, ex: ex}
	ex.finish(r.run() == nil)
	s.discardPending(false)
}

// finish reports the end of the call. If the response could not be relayed
// completely, it aborts the connection to the caller.
func (c *call) finish(control *http.ResponseController) {
	event := Event{Kind: EventFinished, Code: int(c.code), Duration: c.p.cfg.Now() - c.started}
	if c.service != nil {
		event.Service = c.service.Name
	}
	c.p.cfg.OnEvent(event)
	if c.abortConnection {
		panic(http.ErrAbortHandler)
	}
	if c.ctx == nil {
		return
	}
	_ = control.Flush()
	if c.body != nil && c.body.stream != nil {
		c.drainRequestBody(control)
	}
	// The deadline must not apply to the next request on the connection.
	_ = control.SetWriteDeadline(time.Time{})
}

// drainRequestBody reads the rest of the request body for a short time: closing
// a connection with unread bytes resets it, and the caller could lose the
// response. It reads from the server's body, which is safe for concurrent reads,
// because the last send may still be reading from it.
func (c *call) drainRequestBody(control *http.ResponseController) {
	_ = control.SetReadDeadline(time.Now().Add(responseGrace))
	_, _ = io.CopyN(io.Discard, c.r.Body, c.p.cfg.Limits.MaxBodyBytes)
}
