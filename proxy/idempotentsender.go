package proxy

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

// idempotentSender sends an idempotent request until a response head arrives. It
// retries after failures and hedges to a second server if the first is slow,
// within the service's budgets.
type idempotentSender struct {
	c *call
	// completed receives every exchange after its send has ended.
	completed    chan *exchange
	pending      map[*exchange]bool
	triedServers []*routing.Server
	sendCount    int
	// mayHaveRun is set once a failed send may have run the request.
	mayHaveRun bool
	lastErr    error
}

func newIdempotentSender(c *call) *idempotentSender {
	return &idempotentSender{
		c:         c,
		completed: make(chan *exchange, c.p.cfg.Limits.MaxAttempts),
		pending:   map[*exchange]bool{},
	}
}

// firstResponse returns the exchange whose response head arrived first, or nil
// and the error for the caller. Exchanges that are still pending must be passed
// to discardPending.
func (s *idempotentSender) firstResponse() (*exchange, error) {
	budget := s.c.service.RetryBudget()
	budget.Deposit()
	s.c.service.HedgeBudget().Deposit()
	if err := s.startSend(); err != nil {
		return nil, err
	}
	hedge := s.hedgeTimer()
	if hedge != nil {
		defer hedge.Stop()
	}
	for {
		select {
		case ex := <-s.completed:
			delete(s.pending, ex)
			if ex.outcome == headReceived {
				return ex, nil
			}
			s.recordFailure(ex)
			if len(s.pending) > 0 {
				continue
			}
			if !s.mayRetry(ex) || s.startSend() != nil {
				return nil, s.finalError()
			}
			ex.emitEvent(EventRetried)
		case <-timerChannel(hedge):
			s.startHedge()
		case <-s.c.r.Context().Done():
			return nil, result.Errorf(result.BackendTimeout, "%w", errCallerDisconnected)
		}
	}
}

// startSend starts to send the request to the server or peer that the router
// chooses next.
func (s *idempotentSender) startSend() error {
	d := s.c.choose(s.triedServers)
	if d.Code != result.OK {
		return result.Errorf(d.Code, "service %s", s.c.service.Name)
	}
	if d.Peer == nil {
		s.triedServers = append(s.triedServers, d.Slot.Server)
	}
	ex := s.c.newExchange(d)
	ex.forceNewConnection = s.sendCount > 0
	s.sendCount++
	s.pending[ex] = true
	go func() {
		ex.send()
		s.completed <- ex
	}()
	return nil
}

func (s *idempotentSender) recordFailure(ex *exchange) {
	if ex.outcome == mayHaveRun {
		s.mayHaveRun = true
	}
	s.lastErr = ex.err
	if ex.reused.Load() {
		// The same server may be tried again on a new connection.
		s.triedServers = slices.DeleteFunc(s.triedServers, func(server *routing.Server) bool { return server == ex.slot.Server })
	}
	ex.finishWithoutHead()
}

// mayRetry reports whether the request may be sent again. A send that found no
// connection puts no load on a server, so its retry needs no budget. A VM that
// runs a forwarded request leaves retries of failed sends to the entry VM;
// otherwise the retries of both would multiply.
func (s *idempotentSender) mayRetry(ex *exchange) bool {
	if s.sendCount >= s.c.p.cfg.Limits.MaxAttempts || !s.c.body.replayable() || s.c.ctx.Err() != nil {
		return false
	}
	if ex.outcome == notConnected {
		return true
	}
	if ex.outcome == mayHaveRun && s.c.hop.role != roleEntry {
		return false
	}
	return s.c.service.RetryBudget().Withdraw()
}

// hedgeTimer returns a timer for the hedge, or nil if the request is not hedged.
func (s *idempotentSender) hedgeTimer() *time.Timer {
	delay := s.c.service.HedgeDelay()
	if delay == 0 || s.c.hop.role != roleEntry || s.c.body.stream != nil {
		return nil
	}
	return time.NewTimer(delay)
}

func timerChannel(t *time.Timer) <-chan time.Time {
	if t == nil {
		return nil
	}
	return t.C
}

// startHedge sends the request to another server if the budget allows it.
func (s *idempotentSender) startHedge() {
	if s.sendCount >= s.c.p.cfg.Limits.MaxAttempts || !s.c.service.HedgeBudget().Withdraw() {
		return
	}
	if s.startSend() == nil {
		s.c.p.cfg.OnEvent(Event{Kind: EventHedged, Service: s.c.service.Name})
	}
}

// finalError returns the error for the caller after the last send.
func (s *idempotentSender) finalError() error {
	if s.mayHaveRun {
		return result.Errorf(result.BackendTimeout, "no response after %d sends: %w", s.sendCount, s.lastErr)
	}
	if s.lastErr != nil {
		return result.Errorf(result.NotRunNoBackend, "no connection after %d sends: %w", s.sendCount, s.lastErr)
	}
	return result.Errorf(result.NotRunOverloaded, "rejected by the backend servers after %d sends", s.sendCount)
}

// discardPending reads the responses of the pending exchanges in the background,
// so that their slots are released when the servers have finished. If cancel is
// set, because the caller has disconnected, it cancels the exchanges first.
func (s *idempotentSender) discardPending(cancel bool) {
	if len(s.pending) == 0 {
		s.c.cancel()
		return
	}
	for ex := range s.pending {
		if cancel {
			ex.cancel(errCallerDisconnected)
		}
	}
	go func() {
		for range len(s.pending) {
			(<-s.completed).discardResponse()
		}
		s.c.cancel()
	}()
}
