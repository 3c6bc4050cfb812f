package proxy

import (
	"errors"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

var errNotAllowed = errors.New("this VM may no longer run the request")

// once sends a non-idempotent request to at most one backend server.
type once struct {
	c *call
	// run is the home's permission, or nil at the owner of the slot, whose
	// sender holds it.
	run          *dedup.Run
	acknowledged bool
	tried        []*routing.Server
	sends        int
	// last is why the last send did not run.
	last error
}

// serve sends the request and replies to the caller. It ends the run.
func (y *once) serve() {
	y.c.service.RetryBudget().Deposit()
	for {
		d := y.c.choose(y.tried)
		if d.Code != result.OK && y.last == nil {
			y.last = result.Errorf(d.Code, "service %s", y.c.service.Name)
		}
		if d.Code != result.OK {
			y.notRun(y.last)
			return
		}
		ex := y.c.newExchange(d)
		if err := y.prepare(); err != nil {
			ex.finish(true)
			y.notRun(err)
			return
		}
		if y.send(ex) {
			return
		}
	}
}

// prepare gets the acknowledgements and the permission to send.
func (y *once) prepare() error {
	if y.run == nil {
		return nil
	}
	if !y.acknowledged {
		if err := y.c.acknowledge(y.run); err != nil {
			return err
		}
		y.acknowledged = true
	}
	if code := y.run.CheckSend(y.c.p.cfg.Now()); code != result.OK {
		return result.Errorf(code, "request id %s", y.c.id.Text)
	}
	return nil
}

// allowed is checked again when the connection is established.
func (y *once) allowed() error {
	if y.run != nil && y.run.CheckSend(y.c.p.cfg.Now()) != result.OK {
		return errNotAllowed
	}
	return nil
}

// send returns whether the call has been answered. It has not if the request
// provably did not run and may be sent to another server.
func (y *once) send(ex *exchange) bool {
	ex.gate = y.allowed
	y.sends++
	ex.send()
	if ex.outcome == headReceived {
		y.relay(ex)
		return true
	}
	ex.finishWithoutHead()
	if ex.outcome == sentFailed {
		y.unknown()
		y.c.reject(result.Errorf(result.OutcomeUnknown, "the request was sent: %w", ex.err))
		return true
	}
	y.last = notRunError(ex)
	if y.mayRetry(ex) {
		ex.event(EventRetried)
		return false
	}
	y.notRun(y.last)
	return true
}

func (y *once) mayRetry(ex *exchange) bool {
	if ex.hasSlot {
		y.tried = append(y.tried, ex.slot.Server)
	}
	if y.sends >= y.c.p.cfg.Limits.MaxAttempts || !y.c.body.replayable() || y.c.ctx.Err() != nil {
		return false
	}
	return ex.outcome == notConnected || y.c.service.RetryBudget().Withdraw()
}

// notRunError is the reply after a send that provably did not run.
func notRunError(ex *exchange) error {
	if ex.outcome == notConnected {
		return result.Errorf(result.NotRunNoBackend, "no connection: %w", ex.err)
	}
	return result.Errorf(ex.code, "refused by %s", ex.target)
}

// relay passes the response on and keeps it for repeats.
func (y *once) relay(ex *exchange) {
	keep := &capture{}
	if y.run == nil {
		keep = nil
	}
	r := relay{c: y.c, ex: ex, keep: keep, follow: true}
	err := r.run()
	ex.finish(err == nil)
	switch {
	case err != nil:
		y.unknown()
	case y.run == nil:
	case keep.over:
		y.run.FinishAnswerNotKept(y.c.p.cfg.Now())
	default:
		y.run.FinishAnswered(y.c.p.cfg.Now(), keep.answer())
	}
}

func (y *once) unknown() {
	if y.run != nil {
		y.run.FinishOutcomeUnknown(y.c.p.cfg.Now())
	}
}

// notRun ends the run without effect and replies.
func (y *once) notRun(err error) {
	if y.run != nil {
		y.run.Withdraw()
	}
	y.c.reject(err)
}
