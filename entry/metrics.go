package entry

import (
	"context"
	"runtime"
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/metrics"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/proxy"
	"github.com/cactusreel/cactusreel/result"
)

// requestSampleSize is the number of request times in a histogram's sample.
const requestSampleSize = 1028

// sampleDecayAlpha is the decay factor of exponentially decaying samples. It
// weights a sample towards the last five minutes.
const sampleDecayAlpha = 0.015

// registerEventCounters registers one counter for each kind of request event, so
// that the request path only increments counters.
func (n *Node) registerEventCounters() {
	n.eventCounters = make(map[proxy.EventKind]gometrics.Counter)
	for _, kind := range proxy.EventKinds() {
		name := metrics.Name("request_events_total", "kind", string(kind))
		n.eventCounters[kind] = gometrics.GetOrRegisterCounter(name, n.registry)
	}
}

// handleProxyEvent counts an event of the request path, and logs those that
// matter to operators.
func (n *Node) handleProxyEvent(e proxy.Event) {
	n.eventCounters[e.Kind].Inc(1)
	switch e.Kind {
	case proxy.EventResponseHead:
		n.latencies.observe(e.Service, e.Target, e.Duration)
	case proxy.EventFinished:
		n.recordFinishedRequest(e)
	case proxy.EventProgressTimeout:
		n.events.Log(logevent.ProgressTimeout, zap.String("service", e.Service), zap.String("worker", e.Target))
	case proxy.EventTruncated:
		n.events.Log(logevent.ResponseTruncated, zap.String("service", e.Service), zap.String("worker", e.Target))
	case proxy.EventLeaving:
		n.events.Log(logevent.ServerLeaving, zap.String("worker", e.Target), zap.String("source", "server"))
	}
}

func (n *Node) recordFinishedRequest(e proxy.Event) {
	n.logResult(e)
	code := strconv.Itoa(e.Code)
	gometrics.GetOrRegisterCounter(metrics.Name("requests_total", "service", e.Service, "result", code), n.registry).Inc(1)
	name := metrics.Name("request_seconds", "service", e.Service)
	sample := func() gometrics.Sample { return gometrics.NewExpDecaySample(requestSampleSize, sampleDecayAlpha) }
	timer, ok := n.registry.GetOrRegister(name, func() gometrics.Timer {
		return gometrics.NewCustomTimer(gometrics.NewHistogram(sample()), gometrics.NewMeter())
	}).(gometrics.Timer)
	if ok {
		timer.Update(e.Duration)
	}
}

// logResult logs the result of a request that the entry VM answered itself: it
// was rejected, or its outcome is unknown.
func (n *Node) logResult(e proxy.Event) {
	code := result.Code(e.Code)
	switch code {
	case result.OK:
	case result.OutcomeUnknown:
		n.events.Log(logevent.OutcomeUnknown, zap.String("service", e.Service), zap.Duration("duration", e.Duration))
	default:
		n.events.Log(logevent.RequestRejected, zap.String("service", e.Service), zap.Int("code", e.Code))
	}
}

func (n *Node) updateGauges(context.Context) {
	now := n.clock()
	n.setGauge("resource_version", n.feed.store.View().Offset())
	n.setGauge("start_authority_milliseconds", (n.startUntil() - now).Milliseconds())
	n.setGauge("requests_in_progress", int64(n.proxy.InProgress()))
	n.setGauge("goroutines", int64(runtime.NumGoroutine()))
	ids, bytes := n.tables.Usage()
	n.setGauge("request_ids", ids)
	n.setGauge("kept_answer_bytes", bytes)
	reachable := 0
	for _, p := range n.peers {
		if _, ok := p.recentSummary(now); ok {
			reachable++
		}
	}
	n.setGauge("peers_reachable", int64(reachable))
	n.updateCellGauges()
}

func (n *Node) updateCellGauges() {
	claims := n.claims.Load()
	if claims == nil {
		return
	}
	held := 0
	for _, v := range claims.Views() {
		if v.OwnState == ownership.StateHeld {
			held++
		}
	}
	n.setGauge("cells_held", int64(held))
	running, pending := 0, 0
	for _, r := range n.ownedRunners() {
		for _, c := range r.view().taskCounts {
			running += int(c.Running)
			pending += int(c.Pending)
		}
	}
	n.setGauge("tasks_running", int64(running))
	n.setGauge("tasks_pending", int64(pending))
}

func (n *Node) setGauge(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, n.registry).Update(value)
}
