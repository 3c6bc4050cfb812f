package proxy

import (
	"maps"
	"net/http"
	"strconv"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
)

// forwardAttempts is how often the home is looked up: the cell can move while
// the request is on its way.
const forwardAttempts = 2

// serveNonIdempotent runs the request here if this VM is the home of its id,
// and otherwise forwards it there.
func (c *call) serveNonIdempotent() {
	tried := Home{}
	for range forwardAttempts {
		home, ok := c.p.cfg.Directory.Home(c.id.Cell)
		if !ok || home == tried {
			break
		}
		tried = home
		if home.VM == c.p.cfg.VM {
			if c.serveHome() {
				return
			}
			continue
		}
		if c.hop.steps == 0 || c.hop.role == roleHome {
			break
		}
		if c.forward(home) {
			return
		}
	}
	c.homeUnreachable()
}

// homeUnreachable replies when the home was not reached. Only an id that was
// issued for this request is then known not to have run.
func (c *call) homeUnreachable() {
	if c.hop.role == roleHome {
		c.reject(result.Errorf(result.NotOwner, "this VM does not own the cell of the request id"))
		return
	}
	c.reject(result.Errorf(result.NotRunRepeatProtection, "the home of the request id can't be reached"))
}

// forward passes the request on to its home. It returns false if the home
// certainly did not run it and another home may be tried.
func (c *call) forward(home Home) bool {
	if !c.body.replayable() {
		c.reject(result.Errorf(result.OutcomeUnknown, "the body was already sent to a VM that is not the home"))
		return true
	}
	ex := c.newHomeExchange(home)
	ex.send()
	switch ex.outcome {
	case headReceived:
		r := relay{c: c, ex: ex}
		ex.finish(r.run() == nil)
		return true
	case sentFailed:
		ex.finishWithoutHead()
		c.reject(result.Errorf(result.OutcomeUnknown, "the home of the request id did not answer: %w", ex.err))
		return true
	default:
		ex.finishWithoutHead()
		return false
	}
}

// serveHome coordinates the request. It returns false if this VM turns out not
// to be the home.
func (c *call) serveHome() bool {
	table := c.p.cfg.Store.Table(c.id.Cell)
	for {
		b := table.Begin(c.p.cfg.Now(), c.id, c.fingerprint())
		switch {
		case b.Code == result.NotOwner:
			return false
		case b.Code != result.OK:
			// The table's word is final: it knows whether the id has run.
			c.reply(b.Code, "request id "+c.id.Text)
			return true
		case b.Answer != nil:
			c.replyAnswer(b.Answer)
			return true
		case b.Run != nil:
			c.vetted = true
			(&once{c: c, run: b.Run}).serve()
			return true
		}
		if !c.waitForRun(b.Wait) {
			return true
		}
	}
}

// waitForRun waits for the first run of the id, and replies if it does not end
// in time.
func (c *call) waitForRun(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
	case <-c.r.Context().Done():
	}
	c.reply(result.OutcomeUnknown, "the first run of the request id has not ended")
	return false
}

// replyAnswer sends the kept answer of the first run.
func (c *call) replyAnswer(a *dedup.Answer) {
	h := c.w.Header()
	maps.Copy(h, a.Header)
	c.code = result.OK
	c.setOwnHeaders(h)
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	c.w.WriteHeader(a.Status)
	// An error here means that the caller has left.
	_, _ = c.w.Write(a.Body)
}
