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

// sendOutcome states whether a sent request ran, as far as the sender can determine.
type sendOutcome uint8

const (
	// mayHaveRun means that the request may have run, and that there is no
	// usable response.
	mayHaveRun sendOutcome = iota
	// notConnected means that no connection was established, so the request did
	// not run.
	notConnected
	// rejected means that the receiver reported that the request did not run.
	rejected
	// headReceived means that a response head has arrived.
	headReceived
)

var (
	errProgressTimeout    = errors.New("no byte arrived within the progress timeout")
	errUnframed           = errors.New("response has neither Content-Length nor chunked encoding, so truncation can't be detected")
	errNoResult           = errors.New("peer's response has no result code")
	errAuthorityEnded     = errors.New("ownership of the cell ended before the request was sent")
	errCallerDisconnected = errors.New("the caller closed the connection")
	errProtocolSwitch     = errors.New("protocol switch is not supported")
)

// exchange is one send of a request to one server or peer.
type exchange struct {
	call *call
	// slot is valid if hasSlot is set; the receiver is then the slot's server.
	slot    routing.Slot
	hasSlot bool
	peer    *routing.Peer
	// role, address and target describe the receiver.
	role    role
	address string
	target  string
	// headTimeout bounds the wait for the response head.
	headTimeout time.Duration
	// forceNewConnection is set for every send of a request after the first.
	forceNewConnection bool
	// checkPermission returns an error if the request may no longer be sent. It
	// may be nil.
	checkPermission func() error

	ctx       context.Context
	cancel    context.CancelCauseFunc
	watchdog  *watchdog
	connected atomic.Bool
	// reused is set if the connection was used before. Its failure is no sign of
	// a faulty server: a reused connection can be dead while new ones work.
	reused atomic.Bool
	// writtenAt is the time at which the request was completely written, in
	// nanoseconds, or 0.
	writtenAt atomic.Int64
	finished  atomic.Bool

	outcome sendOutcome
	resp    *http.Response
	// code is the receiver's result code if the outcome is rejected.
	code result.Code
	err  error
}

// newExchange prepares a send to the server or peer of a routing decision.
func (c *call) newExchange(d routing.Decision) *exchange {
	ex := &exchange{call: c, headTimeout: c.progressTimeout}
	if d.Peer != nil {
		ex.peer = d.Peer
		ex.role = roleRun
		ex.address = d.Peer.Address
		ex.target = d.Peer.VM
		// The peer may first fail to connect to one server and then try another.
		ex.headTimeout = c.progressTimeout + c.p.cfg.Limits.ConnectTimeout
	} else {
		ex.slot = d.Slot
		ex.hasSlot = true
		ex.address = d.Slot.Server.Address()
		ex.target = ex.address
	}
	ex.prepare()
	return ex
}

// newHomeExchange prepares a send to the home of the request's id. The wait for
// the response head is bounded by the deadline only, because a repeat waits for
// the first run.
func (c *call) newHomeExchange(home Home) *exchange {
	ex := &exchange{call: c, role: roleHome, address: home.Address, target: home.VM}
	ex.headTimeout = max(time.Millisecond, time.Until(c.deadline))
	ex.prepare()
	return ex
}

func (ex *exchange) prepare() {
	ctx, cancel := context.WithCancelCause(ex.call.ctx)
	ex.cancel = cancel
	ex.ctx = context.WithValue(ctx, exchangeKey{}, ex)
	ex.watchdog = newWatchdog(func() { cancel(errProgressTimeout) })
}

// checkSend returns an error if the request may no longer be sent.
func (ex *exchange) checkSend() error {
	if ex.hasSlot && !ex.slot.Valid(ex.call.p.cfg.Now()) {
		return errAuthorityEnded
	}
	if ex.checkPermission != nil {
		return ex.checkPermission()
	}
	return nil
}

// send sends the request and waits for the response head.
func (ex *exchange) send() {
	p := ex.call.p
	started := p.cfg.Now()
	err := ex.checkSend()
	if err == nil {
		ex.resp, err = ex.transport().RoundTrip(ex.newRequest()) //nolint:bodyclose // finish closes it
	}
	ex.watchdog.headArrived()
	ex.classify(err)
	ex.recordLatency(p.cfg.Now(), started)
}

func (ex *exchange) transport() *http.Transport {
	switch {
	case !ex.call.idempotent || ex.forceNewConnection:
		return ex.call.p.singleUseTransport
	case ex.role == roleEntry:
		return ex.call.p.serverTransport
	default:
		return ex.call.p.peerTransport
	}
}

func (ex *exchange) newRequest() *http.Request {
	c := ex.call
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			ex.connected.Store(true)
			ex.reused.Store(info.Reused)
			ex.watchdog.expectHead(ex.headTimeout)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				ex.writtenAt.Store(int64(c.p.cfg.Now()))
				ex.watchdog.expectHead(ex.headTimeout)
			}
		},
	}
	r := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: ex.address, RawQuery: c.r.URL.RawQuery},
		Host:          c.r.Host,
		Header:        endToEndHeaders(c.r.Header),
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
	next := c.hop.next(c.p.cfg.VM, ex.role, time.Until(c.deadline)*peerTimePercent/100)
	next.fresh = c.id.Fresh
	next.write(h)
}

// peerTimePercent is the share of the remaining time that a peer gets. The rest
// lets this VM relay the peer's timeout error before its own deadline.
const peerTimePercent = 95

func (ex *exchange) classify(err error) {
	if err != nil {
		ex.classifyError(err)
		return
	}
	ex.outcome = headReceived
	if ex.role == roleEntry {
		ex.classifyServerResponse()
	} else {
		ex.classifyPeerResponse()
	}
	if ex.outcome == headReceived {
		ex.checkFraming()
	}
}

func (ex *exchange) classifyError(err error) {
	if cause := context.Cause(ex.ctx); cause != nil {
		err = cause
	}
	ex.err = fmt.Errorf("send to %s: %w", ex.target, err)
	ex.outcome = notConnected
	if ex.connected.Load() {
		ex.outcome = mayHaveRun
	}
}

// classifyServerResponse evaluates the headers with which a backend server
// reports that it is leaving or did not run the request.
func (ex *exchange) classifyServerResponse() {
	h := ex.resp.Header
	if h.Get(HeaderLeaving) == "true" && !ex.slot.Server.Leaving() {
		ex.slot.Server.MarkLeaving()
		ex.emitEvent(EventLeaving)
	}
	if ex.resp.StatusCode == http.StatusServiceUnavailable && h.Get(HeaderNotRun) == "true" {
		ex.outcome = rejected
		ex.code = result.NotRunOverloaded
	}
}

// classifyPeerResponse evaluates the peer's result code. A response of the home
// of an id is relayed regardless of its code, except NotOwner: the peer is then not
// the home.
func (ex *exchange) classifyPeerResponse() {
	number, err := strconv.Atoi(ex.resp.Header.Get(HeaderResult))
	if err != nil {
		ex.rejectResponse(errNoResult)
		return
	}
	ex.code = result.Code(number)
	info, known := result.Lookup(ex.code)
	switch {
	case !known:
		ex.rejectResponse(errNoResult)
	case ex.code == result.OK:
	case ex.role == roleHome && ex.code != result.NotOwner:
	case info.Ran == "no":
		ex.outcome = rejected
	default:
		ex.rejectResponse(result.Errorf(ex.code, "reported by peer %s", ex.target))
	}
}

// checkFraming rejects responses whose truncation could not be detected.
func (ex *exchange) checkFraming() {
	r := ex.resp
	if r.StatusCode == http.StatusSwitchingProtocols {
		ex.rejectResponse(errProtocolSwitch)
		return
	}
	bodyless := ex.call.r.Method == http.MethodHead || r.StatusCode == http.StatusNoContent ||
		r.StatusCode == http.StatusNotModified
	if !bodyless && r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		ex.rejectResponse(errUnframed)
	}
}

func (ex *exchange) rejectResponse(err error) {
	ex.outcome = mayHaveRun
	ex.err = fmt.Errorf("response from %s: %w", ex.target, err)
}

// recordLatency updates the latency estimates of the server and the service. For
// a server that can't be reached or does not respond, the latency is at least
// the timeout, because that is what another request to it would have to wait.
func (ex *exchange) recordLatency(now, started time.Duration) {
	if !ex.hasSlot {
		return
	}
	switch ex.outcome {
	case headReceived:
		ex.slot.Server.ObserveLatency(now, now-started)
		ex.call.service.ObserveHeadLatency(now - started)
		ex.call.p.cfg.OnEvent(Event{Kind: EventResponseHead, Service: ex.call.service.Name, Target: ex.target, Duration: now - started})
	case rejected:
	default:
		if ex.reused.Load() {
			return
		}
		ex.slot.Server.ObserveLatency(now, max(now-started, ex.headTimeout))
	}
}

// finish ends the exchange and releases or abandons its slot. complete means
// that the response was received completely or that the request certainly did
// not run.
func (ex *exchange) finish(complete bool) {
	if !ex.finished.CompareAndSwap(false, true) {
		return
	}
	ex.watchdog.stop()
	if ex.resp != nil {
		_ = ex.resp.Body.Close()
	}
	defer ex.cancel(nil)
	if ex.peer != nil && complete {
		ex.peer.ReleaseSlot()
	}
	if !ex.hasSlot {
		return
	}
	if complete {
		ex.slot.Release()
		return
	}
	if errors.Is(context.Cause(ex.ctx), errCallerDisconnected) {
		ex.slot.AbandonCharged(ex.slotReleaseTime())
		return
	}
	ex.slot.Abandon(ex.slotReleaseTime())
}

// slotReleaseTime returns the time at which the server has certainly finished an
// abandoned request: the maximum request time after it received the request.
// Without a response head it may have received the request as late as now,
// because net/http reports a request as written while it is still buffered.
func (ex *exchange) slotReleaseTime() time.Duration {
	from := ex.call.p.cfg.Now()
	if wrote := time.Duration(ex.writtenAt.Load()); wrote > 0 && ex.outcome == headReceived {
		from = wrote
	}
	return from + ex.call.p.cfg.Limits.MaxRequest
}

// finishWithoutHead ends an exchange without a usable response and emits the
// event of its failure.
func (ex *exchange) finishWithoutHead() {
	switch {
	case ex.outcome == notConnected:
		ex.emitEvent(EventNotConnected)
	case ex.outcome == rejected:
		ex.emitEvent(EventNotRun)
	case errors.Is(ex.err, errProgressTimeout):
		ex.emitEvent(EventProgressTimeout)
	}
	ex.finish(ex.outcome != mayHaveRun)
	if ex.peer != nil && ex.outcome != mayHaveRun {
		ex.peer.MarkExhausted()
	}
}

// discardResponse reads a response that is not needed because another send
// responded first. The slot is released when the server has finished.
func (ex *exchange) discardResponse() {
	if ex.outcome != headReceived {
		ex.finishWithoutHead()
		return
	}
	ex.watchdog.expectBody(ex.call.progressTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(ex.resp.Body, maxDiscardBytes))
	ex.finish(err == nil && n < maxDiscardBytes)
}

// maxDiscardBytes bounds how much of an unneeded response is read.
const maxDiscardBytes = 256 << 10

func (ex *exchange) emitEvent(kind EventKind) {
	c := ex.call
	c.p.cfg.OnEvent(Event{Kind: kind, Service: c.service.Name, Target: ex.target, Err: ex.err})
}
