package proxy

import (
	"errors"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

var errPermissionEnded = errors.New("permission to run the request ended before it was sent")

// atMostOnceSender sends a non-idempotent request to at most one backend server.
type atMostOnceSender struct {
	c *call
	// run is the permission of the home to run the request. It is nil at a VM
	// that runs a forwarded request: there the sending VM holds it.
	run          *dedup.Run
	acknowledged bool
	triedServers []*routing.Server
	sendCount    int
	// lastErr is the reason why the last send did not run.
	lastErr error
}

// serve sends the request, responds to the caller and ends the run.
func (s *atMostOnceSender) serve() {
	s.c.service.RetryBudget().Deposit()
	for {
		d := s.c.choose(s.triedServers)
		if d.Code != result.OK && s.lastErr == nil {
			s.lastErr = result.Errorf(d.Code, "service %s", s.c.service.Name)
		}
		if d.Code != result.OK {
			s.withdrawAndReject(s.lastErr)
			return
		}
		ex := s.c.newExchange(d)
		if err := s.acquirePermission(); err != nil {
			ex.finish(true)
			s.withdrawAndReject(err)
			return
		}
		if s.send(ex) {
			return
		}
	}
}

// acquirePermission collects the acknowledgements of the intent and checks that
// the request may be sent.
func (s *atMostOnceSender) acquirePermission() error {
	if s.run == nil {
		return nil
	}
	if !s.acknowledged {
		if err := s.c.acknowledge(s.run); err != nil {
			return err
		}
		s.acknowledged = true
	}
	if code := s.run.CheckSend(s.c.p.cfg.Now()); code != result.OK {
		return result.Errorf(code, "request id %s", s.c.id.Text)
	}
	return nil
}

// checkPermission returns an error if the request may no longer be sent. It is
// called again after the connection is established.
func (s *atMostOnceSender) checkPermission() error {
	if s.run != nil && s.run.CheckSend(s.c.p.cfg.Now()) != result.OK {
		return errPermissionEnded
	}
	return nil
}

// send sends the request to one receiver. It returns true if the caller has a
// response, and false if the request certainly did not run and may be sent to
// another server.
func (s *atMostOnceSender) send(ex *exchange) bool {
	ex.checkPermission = s.checkPermission
	s.sendCount++
	ex.send()
	if ex.outcome == headReceived {
		s.relayResponse(ex)
		return true
	}
	ex.finishWithoutHead()
	if ex.outcome == mayHaveRun {
		s.finishOutcomeUnknown()
		s.c.reject(result.Errorf(result.OutcomeUnknown, "the request was sent, but no usable response arrived: %w", ex.err))
		return true
	}
	s.lastErr = notRunError(ex)
	if s.mayRetry(ex) {
		ex.emitEvent(EventRetried)
		return false
	}
	s.withdrawAndReject(s.lastErr)
	return true
}

func (s *atMostOnceSender) mayRetry(ex *exchange) bool {
	if ex.hasSlot {
		s.triedServers = append(s.triedServers, ex.slot.Server)
	}
	if s.sendCount >= s.c.p.cfg.Limits.MaxAttempts || !s.c.body.replayable() || s.c.ctx.Err() != nil {
		return false
	}
	return ex.outcome == notConnected || s.c.service.RetryBudget().Withdraw()
}

// notRunError returns the error for the caller after a send that certainly did
// not run.
func notRunError(ex *exchange) error {
	if ex.outcome == notConnected {
		return result.Errorf(result.NotRunNoBackend, "no connection: %w", ex.err)
	}
	return result.Errorf(ex.code, "rejected by %s", ex.target)
}

// relayResponse relays the response to the caller and stores it for repeats of
// the request id.
func (s *atMostOnceSender) relayResponse(ex *exchange) {
	keep := &responseCapture{}
	if s.run == nil {
		keep = nil
	}
	r := relay{c: s.c, ex: ex, capture: keep, readToEnd: true}
	err := r.run()
	ex.finish(err == nil)
	switch {
	case err != nil:
		s.finishOutcomeUnknown()
	case s.run == nil:
	case keep.tooLarge:
		s.run.FinishAnswerNotKept(s.c.p.cfg.Now())
	default:
		s.run.FinishAnswered(s.c.p.cfg.Now(), keep.answer())
	}
}

func (s *atMostOnceSender) finishOutcomeUnknown() {
	if s.run != nil {
		s.run.FinishOutcomeUnknown(s.c.p.cfg.Now())
	}
}

// withdrawAndReject ends the run as not run and rejects the request.
func (s *atMostOnceSender) withdrawAndReject(err error) {
	if s.run != nil {
		s.run.Withdraw()
	}
	s.c.reject(err)
}
