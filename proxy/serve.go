package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// replyGrace is the time after the deadline in which a reply can still be
// written to the caller.
const replyGrace = time.Second

func (p *Proxy) serveCaller(w http.ResponseWriter, r *http.Request) {
	p.serve(w, r, hop{role: roleEntry, steps: maxHops}, nil)
}

func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request) {
	in, err := parseHop(r.Header, p.cfg.VM)
	if result.CodeOf(err, result.OK) == result.NotOwner {
		p.cfg.OnEvent(Event{Kind: EventLoop, Err: err})
	}
	p.serve(w, r, in, err)
}

// serve handles a request. A non-nil error is the reply to it.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, in hop, err error) {
	inProgress := p.inFlight.begin()
	defer p.inFlight.end()
	c := &call{p: p, w: w, r: r, hop: in, started: p.cfg.Now(), cancel: func() {}}
	if err == nil {
		err = c.begin()
	}
	control := http.NewResponseController(w)
	if c.ctx != nil {
		// Errors mean that the writer has no deadlines; the context has one.
		_ = control.SetReadDeadline(c.deadline)
		_ = control.SetWriteDeadline(c.deadline.Add(replyGrace))
	}
	if err == nil {
		err = c.admit(inProgress)
	}
	if c.ctx != nil {
		// From here on the context ends the request; a read that fails at the
		// deadline would look as if the caller had left.
		_ = control.SetReadDeadline(c.deadline.Add(replyGrace))
	}
	if err != nil {
		c.cancel()
		c.reject(err)
	} else {
		c.route(control)
	}
	c.end(control)
}

// route runs the request or forwards it.
func (c *call) route(control *http.ResponseController) {
	if c.body.stream != nil {
		// Otherwise the server would read the rest of the body itself when the
		// response begins. An error means that the protocol is not HTTP/1.
		_ = control.EnableFullDuplex()
	}
	switch {
	case c.idempotent:
		c.serveIdempotent()
		return // the race cancels the context when its last exchange has ended
	case c.hop.role == roleRun:
		(&once{c: c}).serve()
	default:
		c.serveNonIdempotent()
	}
	c.cancel()
}

func (c *call) serveIdempotent() {
	y := newRace(c)
	ex, err := y.run()
	callerLeft := c.r.Context().Err() != nil
	if err != nil {
		y.discard(callerLeft)
		c.reject(err)
		return
	}
	stop := context.AfterFunc(c.r.Context(), func() { ex.cancel(errCallerLeft) })
	defer stop()
	r := relay{c: c, ex: ex}
	ex.finish(r.run() == nil)
	y.discard(false)
}

// end reports the call. If a response could not be passed on whole, it aborts
// the connection to the caller.
func (c *call) end(control *http.ResponseController) {
	event := Event{Kind: EventFinished, Code: int(c.code), Duration: c.p.cfg.Now() - c.started}
	if c.service != nil {
		event.Service = c.service.Name
	}
	c.p.cfg.OnEvent(event)
	if c.abort {
		panic(http.ErrAbortHandler)
	}
	if c.ctx == nil {
		return
	}
	_ = control.Flush()
	if c.body != nil && c.body.stream != nil {
		c.discardUpload(control)
	}
	// The next request on the connection must not inherit the deadline.
	_ = control.SetWriteDeadline(time.Time{})
}

// discardUpload reads what the caller still sends, for a short time: closing a
// connection with unread bytes resets it, and the caller could lose the reply.
// It reads from the server's body, which may be read concurrently; the last
// send may not have let go of it yet.
func (c *call) discardUpload(control *http.ResponseController) {
	_ = control.SetReadDeadline(time.Now().Add(replyGrace))
	_, _ = io.CopyN(io.Discard, c.r.Body, c.p.cfg.Limits.MaxBodyBytes)
}
