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

// requestSample is how many request times a histogram keeps.
const requestSample = 1028

// recentBias weighs a sample towards the last five minutes.
const recentBias = 0.015

// setEventCounters registers one counter for each kind of event of the request
// path, so that the path itself only increments.
func (n *Node) setEventCounters() {
	n.eventCounters = make(map[proxy.EventKind]gometrics.Counter)
	for _, kind := range proxy.EventKinds() {
		name := metrics.Name("request_events_total", "kind", string(kind))
		n.eventCounters[kind] = gometrics.GetOrRegisterCounter(name, n.registry)
	}
}

// proxyEvent counts an event of the request path and logs those that need a look.
func (n *Node) proxyEvent(e proxy.Event) {
	n.eventCounters[e.Kind].Inc(1)
	switch e.Kind {
	case proxy.EventHead:
		n.latencies.observe(e.Service, e.Target, e.Took)
	case proxy.EventFinished:
		n.requestFinished(e)
	case proxy.EventSilent:
		n.events.Log(logevent.ProgressTimeout, zap.String("service", e.Service), zap.String("server", e.Target))
	case proxy.EventTruncated:
		n.events.Log(logevent.ResponseTruncated, zap.String("service", e.Service), zap.String("server", e.Target))
	case proxy.EventLeaving:
		n.events.Log(logevent.ServerLeaving, zap.String("server", e.Target), zap.String("source", "server"))
	}
}

func (n *Node) requestFinished(e proxy.Event) {
	n.logResult(e)
	code := strconv.Itoa(e.Code)
	gometrics.GetOrRegisterCounter(metrics.Name("requests_total", "service", e.Service, "result", code), n.registry).Inc(1)
	name := metrics.Name("request_seconds", "service", e.Service)
	sample := func() gometrics.Sample { return gometrics.NewExpDecaySample(requestSample, recentBias) }
	histogram, ok := n.registry.GetOrRegister(name, func() gometrics.Timer {
		return gometrics.NewCustomTimer(gometrics.NewHistogram(sample()), gometrics.NewMeter())
	}).(gometrics.Timer)
	if ok {
		histogram.Update(e.Took)
	}
}

// logResult logs the results of requests that the system itself answered.
func (n *Node) logResult(e proxy.Event) {
	code := result.Code(e.Code)
	switch code {
	case result.OK:
	case result.OutcomeUnknown:
		n.events.Log(logevent.OutcomeUnknown, zap.String("service", e.Service), zap.Duration("took", e.Took))
	default:
		n.events.Log(logevent.RequestRejected, zap.String("service", e.Service), zap.Int("code", e.Code))
	}
}

// gauges sets the values that are read rather than counted.
func (n *Node) gauges(context.Context) {
	now := n.clock()
	n.gauge("resource_version", n.feed.store.View().Offset())
	n.gauge("start_authority_milliseconds", (n.startsUntil() - now).Milliseconds())
	n.gauge("requests_in_progress", int64(n.proxy.InProgress()))
	n.gauge("goroutines", int64(runtime.NumGoroutine()))
	ids, bytes := n.tables.Usage()
	n.gauge("request_ids", ids)
	n.gauge("kept_answer_bytes", bytes)
	reachable := 0
	for _, p := range n.peers {
		if _, ok := p.recentSummary(now); ok {
			reachable++
		}
	}
	n.gauge("peers_reachable", int64(reachable))
	n.cellGauges()
}

func (n *Node) cellGauges() {
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
	n.gauge("cells_held", int64(held))
	running, pending := 0, 0
	for _, r := range n.runners() {
		for _, c := range r.view().counts {
			running += int(c.Running)
			pending += int(c.Pending)
		}
	}
	n.gauge("tasks_running", int64(running))
	n.gauge("tasks_pending", int64(pending))
}

func (n *Node) gauge(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, n.registry).Update(value)
}
