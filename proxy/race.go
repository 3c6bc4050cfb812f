package proxy

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

// race sends an idempotent request until a response head arrives: again after
// a failure, and to a second server if the first is slow, within the budgets.
type race struct {
	c *call
	// results gets every exchange when its send has ended.
	results chan *exchange
	running map[*exchange]bool
	tried   []*routing.Server
	sends   int
	// mayHaveRun is set once a send failed that was not provably not run.
	mayHaveRun bool
	lastErr    error
}

func newRace(c *call) *race {
	return &race{
		c:       c,
		results: make(chan *exchange, c.p.cfg.Limits.MaxAttempts),
		running: map[*exchange]bool{},
	}
}

// run returns the exchange whose response head arrived first, or nil and the
// error for the caller. Exchanges that are still running are left to discard.
func (y *race) run() (*exchange, error) {
	budget := y.c.service.RetryBudget()
	budget.Deposit()
	y.c.service.HedgeBudget().Deposit()
	if err := y.start(); err != nil {
		return nil, err
	}
	hedge := y.hedgeTimer()
	if hedge != nil {
		defer hedge.Stop()
	}
	for {
		select {
		case ex := <-y.results:
			delete(y.running, ex)
			if ex.outcome == headReceived {
				return ex, nil
			}
			y.note(ex)
			if len(y.running) > 0 {
				continue
			}
			if !y.mayRetry(ex) || y.start() != nil {
				return nil, y.failure()
			}
			ex.event(EventRetried)
		case <-timerChannel(hedge):
			y.hedge()
		case <-y.c.r.Context().Done():
			return nil, result.Errorf(result.BackendTimeout, "%w", errCallerLeft)
		}
	}
}

// start sends the request to the next choice.
func (y *race) start() error {
	d := y.c.choose(y.tried)
	if d.Code != result.OK {
		return result.Errorf(d.Code, "service %s", y.c.service.Name)
	}
	if d.Peer == nil {
		y.tried = append(y.tried, d.Slot.Server)
	}
	ex := y.c.newExchange(d)
	ex.again = y.sends > 0
	y.sends++
	y.running[ex] = true
	go func() {
		ex.send()
		y.results <- ex
	}()
	return nil
}

func (y *race) note(ex *exchange) {
	if ex.outcome == sentFailed {
		y.mayHaveRun = true
	}
	y.lastErr = ex.err
	if ex.reused.Load() {
		// The same server may be tried again, on a new connection.
		y.tried = slices.DeleteFunc(y.tried, func(s *routing.Server) bool { return s == ex.slot.Server })
	}
	ex.finishWithoutHead()
}

// mayRetry reports whether the request may be sent again. A send that was not
// connected costs the servers nothing and needs no budget. A VM that runs a
// forwarded request leaves retries of failed sends to the entry VM, or their
// number would multiply.
func (y *race) mayRetry(ex *exchange) bool {
	if y.sends >= y.c.p.cfg.Limits.MaxAttempts || !y.c.body.replayable() || y.c.ctx.Err() != nil {
		return false
	}
	if ex.outcome == notConnected {
		return true
	}
	if ex.outcome == sentFailed && y.c.hop.role != roleEntry {
		return false
	}
	return y.c.service.RetryBudget().Withdraw()
}

// hedgeTimer returns the timer of a hedged request, or nil if there is none.
func (y *race) hedgeTimer() *time.Timer {
	delay := y.c.service.HedgeDelay()
	if delay == 0 || y.c.hop.role != roleEntry || y.c.body.stream != nil {
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

// hedge sends the request to a second server, if the budget allows.
func (y *race) hedge() {
	if y.sends >= y.c.p.cfg.Limits.MaxAttempts || !y.c.service.HedgeBudget().Withdraw() {
		return
	}
	if y.start() == nil {
		y.c.p.cfg.OnEvent(Event{Kind: EventHedged, Service: y.c.service.Name})
	}
}

// failure is the reply after the last send.
func (y *race) failure() error {
	if y.mayHaveRun {
		return result.Errorf(result.BackendTimeout, "no response after %d sends: %w", y.sends, y.lastErr)
	}
	if y.lastErr != nil {
		return result.Errorf(result.NotRunNoBackend, "no connection after %d sends: %w", y.sends, y.lastErr)
	}
	return result.Errorf(result.NotRunOverloaded, "refused by the backend servers after %d sends", y.sends)
}

// discard follows the exchanges that lost, so that their slots are freed when
// the servers have finished, or cancels them if the caller has left.
func (y *race) discard(cancel bool) {
	if len(y.running) == 0 {
		y.c.cancel()
		return
	}
	for ex := range y.running {
		if cancel {
			ex.cancel(errCallerLeft)
		}
	}
	go func() {
		for range len(y.running) {
			(<-y.results).discard()
		}
		y.c.cancel()
	}()
}
