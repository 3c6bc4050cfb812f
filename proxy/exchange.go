package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

// outcome is what is known after a send.
type outcome uint8

const (
	// sentFailed means that the request may have run and gave no response head.
	sentFailed outcome = iota
	// notConnected means that no connection was established: it did not run.
	notConnected
	// refused means that the receiver itself said that it did not run.
	refused
	// headReceived means that a response head has arrived.
	headReceived
)

var (
	errSilent      = errors.New("no byte arrived within the progress timeout")
	errUnframed    = errors.New("response has neither a length nor chunks, so its end can't be verified")
	errNoResult    = errors.New("peer's response has no result code")
	errSlotExpired = errors.New("owner's authority ended before the request was sent")
	errCallerLeft  = errors.New("the caller has left")
	errSwitched    = errors.New("response switches protocols")
)

// exchange is one send of a request to one server or peer.
type exchange struct {
	call *call
	// slot is set if hasSlot; then the receiver is its server.
	slot    routing.Slot
	hasSlot bool
	peer    *routing.Peer
	// role, address and target describe the receiver.
	role    role
	address string
	target  string
	// headLimit bounds the wait for the response head.
	headLimit time.Duration
	// again is set for all sends of a request but the first; they use new
	// connections.
	again bool
	// gate returns an error if the request may no longer be sent; optional.
	gate func() error

	ctx       context.Context
	cancel    context.CancelCauseFunc
	watch     *watchdog
	connected atomic.Bool
	// reused is set if the connection was used before. Its failure says
	// nothing about the server: a connection can go silent while new ones work.
	reused atomic.Bool
	// wrote is the time when the request was completely written, or 0.
	wrote   atomic.Int64
	settled atomic.Bool

	outcome outcome
	resp    *http.Response
	// code is the receiver's result code if the outcome is refused.
	code result.Code
	err  error
}

// newExchange prepares a send to what a routing decision names.
func (c *call) newExchange(d routing.Decision) *exchange {
	ex := &exchange{call: c, headLimit: c.progress}
	if d.Peer != nil {
		ex.peer = d.Peer
		ex.role = roleRun
		ex.address = d.Peer.Address
		ex.target = d.Peer.VM
		// The peer may try another server when it can't connect to the first.
		ex.headLimit = c.progress + c.p.cfg.Limits.ConnectTimeout
	} else {
		ex.slot = d.Slot
		ex.hasSlot = true
		ex.address = d.Slot.Server.Address()
		ex.target = ex.address
	}
	ex.prepare()
	return ex
}

// newHomeExchange prepares a send to the home of the request's id. Its head
// can take as long as the request, because a repeat waits for the first run.
func (c *call) newHomeExchange(home Home) *exchange {
	ex := &exchange{call: c, role: roleHome, address: home.Address, target: home.VM}
	ex.headLimit = max(time.Millisecond, time.Until(c.deadline))
	ex.prepare()
	return ex
}

func (ex *exchange) prepare() {
	ctx, cancel := context.WithCancelCause(ex.call.ctx)
	ex.cancel = cancel
	ex.ctx = context.WithValue(ctx, exchangeKey{}, ex)
	ex.watch = newWatchdog(func() { cancel(errSilent) })
}

// allowed returns an error if the request may not be sent.
func (ex *exchange) allowed() error {
	if ex.hasSlot && !ex.slot.Valid(ex.call.p.cfg.Now()) {
		return errSlotExpired
	}
	if ex.gate != nil {
		return ex.gate()
	}
	return nil
}

// send sends the request and waits for the response head.
func (ex *exchange) send() {
	p := ex.call.p
	started := p.cfg.Now()
	err := ex.allowed()
	if err == nil {
		ex.resp, err = ex.transport().RoundTrip(ex.request()) //nolint:bodyclose // finish closes it
	}
	ex.watch.headArrived()
	ex.classify(err)
	ex.observe(p.cfg.Now(), started)
}

func (ex *exchange) transport() *http.Transport {
	switch {
	case !ex.call.idempotent || ex.again:
		return ex.call.p.fresh
	case ex.role == roleEntry:
		return ex.call.p.toServers
	default:
		return ex.call.p.toPeers
	}
}

func (ex *exchange) request() *http.Request {
	c := ex.call
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			ex.connected.Store(true)
			ex.reused.Store(info.Reused)
			ex.watch.expectHead(ex.headLimit)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				ex.wrote.Store(int64(c.p.cfg.Now()))
				ex.watch.expectHead(ex.headLimit)
			}
		},
	}
	r := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: ex.address, RawQuery: c.r.URL.RawQuery},
		Host:          c.r.Host,
		Header:        endToEnd(c.r.Header),
		Body:          c.body.reader(ex),
		ContentLength: c.body.length,
	}
	ex.setPath(r.URL)
	ex.setHeaders(r.Header)
	return r.WithContext(httptrace.WithClientTrace(ex.ctx, trace))
}

// setPath keeps the caller's path for a peer and removes the service's prefix
// for a backend server.
func (ex *exchange) setPath(u *url.URL) {
	if ex.role != roleEntry {
		u.Path = ex.call.r.URL.Path
		u.RawPath = ex.call.r.URL.RawPath
		return
	}
	u.Path = ex.call.path
	u.RawPath = ex.call.rawPath
}

func (ex *exchange) setHeaders(h http.Header) {
	c := ex.call
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	if c.id.Text != "" {
		h.Set(HeaderRequestID, c.id.Text)
	}
	if ex.role == roleEntry {
		h.Set(HeaderService, c.service.Name)
		h.Set(HeaderTerm, strconv.FormatInt(ex.slot.Term, 10))
		return
	}
	h.Set(HeaderCaller, c.caller)
	next := c.hop.next(c.p.cfg.VM, ex.role, time.Until(c.deadline)*hopTimePercent/100)
	next.fresh = c.id.Fresh
	next.write(h)
}

// hopTimePercent leaves the sender time to pass on a peer's timeout.
const hopTimePercent = 95

func (ex *exchange) classify(err error) {
	if err != nil {
		ex.fail(err)
		return
	}
	ex.outcome = headReceived
	if ex.role == roleEntry {
		ex.classifyServer()
	} else {
		ex.classifyPeer()
	}
	if ex.outcome == headReceived {
		ex.checkFraming()
	}
}

func (ex *exchange) fail(err error) {
	if cause := context.Cause(ex.ctx); cause != nil {
		err = cause
	}
	ex.err = fmt.Errorf("send to %s: %w", ex.target, err)
	ex.outcome = notConnected
	if ex.connected.Load() {
		ex.outcome = sentFailed
	}
}

// classifyServer looks for the backend server's own words.
func (ex *exchange) classifyServer() {
	h := ex.resp.Header
	if h.Get(HeaderLeaving) == "true" && !ex.slot.Server.Leaving() {
		ex.slot.Server.MarkLeaving()
		ex.event(EventLeaving)
	}
	if ex.resp.StatusCode == http.StatusServiceUnavailable && h.Get(HeaderNotRun) == "true" {
		ex.outcome = refused
		ex.code = result.NotRunOverloaded
	}
}

// classifyPeer looks at the peer's result code. What the home of an id says is
// passed on, but for its word that it is not the home.
func (ex *exchange) classifyPeer() {
	number, err := strconv.Atoi(ex.resp.Header.Get(HeaderResult))
	if err != nil {
		ex.unusable(errNoResult)
		return
	}
	ex.code = result.Code(number)
	info, known := result.Lookup(ex.code)
	switch {
	case !known:
		ex.unusable(errNoResult)
	case ex.code == result.OK:
	case ex.role == roleHome && ex.code != result.NotOwner:
	case info.Ran == "no":
		ex.outcome = refused
	default:
		ex.unusable(result.Errorf(ex.code, "word of peer %s", ex.target))
	}
}

// checkFraming rejects responses whose end can't be told from a truncation.
func (ex *exchange) checkFraming() {
	r := ex.resp
	if r.StatusCode == http.StatusSwitchingProtocols {
		ex.unusable(errSwitched)
		return
	}
	bodyless := ex.call.r.Method == http.MethodHead || r.StatusCode == http.StatusNoContent ||
		r.StatusCode == http.StatusNotModified
	if !bodyless && r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		ex.unusable(errUnframed)
	}
}

func (ex *exchange) unusable(err error) {
	ex.outcome = sentFailed
	ex.err = fmt.Errorf("response of %s: %w", ex.target, err)
}

// observe updates the estimates of the server. A server that can't be reached
// or is silent counts as slow as the wait that it would cost.
func (ex *exchange) observe(now, started time.Duration) {
	if !ex.hasSlot {
		return
	}
	switch ex.outcome {
	case headReceived:
		ex.slot.Server.ObserveLatency(now, now-started)
		ex.call.service.ObserveHeadLatency(now - started)
		ex.call.p.cfg.OnEvent(Event{Kind: EventResponseHead, Service: ex.call.service.Name, Target: ex.target, Duration: now - started})
	case refused:
	default:
		if ex.reused.Load() {
			return
		}
		ex.slot.Server.ObserveLatency(now, max(now-started, ex.headLimit))
	}
}

// finish ends the exchange and settles its slot. Whole means that the response
// was complete or that the request certainly did not run.
func (ex *exchange) finish(whole bool) {
	if !ex.settled.CompareAndSwap(false, true) {
		return
	}
	ex.watch.stop()
	if ex.resp != nil {
		_ = ex.resp.Body.Close()
	}
	defer ex.cancel(nil)
	if ex.peer != nil && whole {
		ex.peer.ReleaseSlot()
	}
	if !ex.hasSlot {
		return
	}
	if whole {
		ex.slot.Release()
		return
	}
	if errors.Is(context.Cause(ex.ctx), errCallerLeft) {
		ex.slot.AbandonCharged(ex.releaseTime())
		return
	}
	ex.slot.Abandon(ex.releaseTime())
}

// releaseTime is when the server has certainly finished an abandoned request:
// the maximum request time after it had received it. Without a response head
// it can have received the request as late as now, because net/http reports
// requests as written when they are still in its buffer.
func (ex *exchange) releaseTime() time.Duration {
	from := ex.call.p.cfg.Now()
	if wrote := time.Duration(ex.wrote.Load()); wrote > 0 && ex.outcome == headReceived {
		from = wrote
	}
	return from + ex.call.p.cfg.Limits.MaxRequest
}

// finishWithoutHead ends an exchange that gave no usable response and reports it.
func (ex *exchange) finishWithoutHead() {
	switch {
	case ex.outcome == notConnected:
		ex.event(EventNotConnected)
	case ex.outcome == refused:
		ex.event(EventNotRun)
	case errors.Is(ex.err, errSilent):
		ex.event(EventProgressTimeout)
	}
	ex.finish(ex.outcome != sentFailed)
	if ex.peer != nil && ex.outcome != sentFailed {
		ex.peer.MarkExhausted()
	}
}

// discard reads the response of a request that lost a race, so that its slot
// is freed when the server has finished.
func (ex *exchange) discard() {
	if ex.outcome != headReceived {
		ex.finishWithoutHead()
		return
	}
	ex.watch.expect(ex.call.progress)
	n, err := io.Copy(io.Discard, io.LimitReader(ex.resp.Body, discardBytes))
	ex.finish(err == nil && n < discardBytes)
}

// discardBytes bounds what is read of a response that nobody needs.
const discardBytes = 256 << 10

func (ex *exchange) event(kind EventKind) {
	c := ex.call
	c.p.cfg.OnEvent(Event{Kind: kind, Service: c.service.Name, Target: ex.target, Err: ex.err})
}
