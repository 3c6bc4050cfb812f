package proxy

import (
	"maps"
	"net/http"
	"strconv"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
)

// maxHomeLookups bounds the lookups of the home for one request: the cell can
// get another owner while the request is forwarded.
const maxHomeLookups = 2

// serveNonIdempotent runs the request on this VM if it is the home of the
// request's id, and otherwise forwards it to the home.
func (c *call) serveNonIdempotent() {
	previous := Home{}
	for range maxHomeLookups {
		home, ok := c.p.cfg.Directory.Home(c.id.Cell)
		if !ok || home == previous {
			break
		}
		previous = home
		if home.VM == c.p.cfg.VM {
			if c.serveHome() {
				return
			}
			continue
		}
		if c.hop.hopsLeft == 0 || c.hop.role == roleHome {
			break
		}
		if c.forward(home) {
			return
		}
	}
	c.rejectHomeUnreachable()
}

// rejectHomeUnreachable rejects a request whose home was not reached. Only an id
// that was issued for this request is then known not to have run.
func (c *call) rejectHomeUnreachable() {
	if c.hop.role == roleHome {
		c.reject(result.Errorf(result.NotOwner, "this VM does not own the cell of the request id"))
		return
	}
	c.reject(result.Errorf(result.NotRunRepeatProtection, "the home of the request id can't be reached"))
}

// forward forwards the request to its home. It returns false if the home
// certainly did not run it, so that another home may be tried.
func (c *call) forward(home Home) bool {
	if !c.body.replayable() {
		c.reject(result.Errorf(result.OutcomeUnknown, "part of the request body was already sent to a VM that is not the home of the request id"))
		return true
	}
	ex := c.newHomeExchange(home)
	ex.send()
	switch ex.outcome {
	case headReceived:
		r := relay{c: c, ex: ex}
		ex.finish(r.run() == nil)
		return true
	case mayHaveRun:
		ex.finishWithoutHead()
		c.reject(result.Errorf(result.OutcomeUnknown, "the home of the request id did not respond: %w", ex.err))
		return true
	default:
		ex.finishWithoutHead()
		return false
	}
}

// serveHome runs the request as the home of its id, or responds with the result
// of the first run. It returns false if this VM is not the home.
func (c *call) serveHome() bool {
	table := c.p.cfg.Store.Table(c.id.Cell)
	for {
		b := table.Begin(c.p.cfg.Now(), c.id, c.fingerprint())
		switch {
		case b.Code == result.NotOwner:
			return false
		case b.Code != result.OK:
			// The code is final, because the table records whether the id has
			// run: respond does not turn it into "outcome unknown" as reject does.
			c.respond(b.Code, "request id "+c.id.Text)
			return true
		case b.Answer != nil:
			c.respondWithStoredAnswer(b.Answer)
			return true
		case b.Run != nil:
			c.idConfirmedNew = true
			(&atMostOnceSender{c: c, run: b.Run}).serve()
			return true
		}
		if !c.waitForRun(b.Wait) {
			return true
		}
	}
}

// waitForRun waits for the first run of the id. If the run does not end in time,
// it responds to the caller and returns false.
func (c *call) waitForRun(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-c.ctx.Done():
	case <-c.r.Context().Done():
	}
	c.respond(result.OutcomeUnknown, "the first run of the request id has not ended")
	return false
}

// respondWithStoredAnswer responds with the stored answer of the first run.
func (c *call) respondWithStoredAnswer(a *dedup.Answer) {
	h := c.w.Header()
	maps.Copy(h, a.Header)
	c.code = result.OK
	c.setProxyHeaders(h)
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	c.w.WriteHeader(a.Status)
	// An error means that the caller has disconnected.
	_, _ = c.w.Write(a.Body)
}
