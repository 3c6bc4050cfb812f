package boundedhttp

import (
	"context"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/connbudget"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/metrics"
)

const (
	// ProgressScans is the number of scans over which progress is measured.
	ProgressScans = 10
	// scanInterval is the interval of the scans.
	scanInterval = time.Second
	// closedLogInterval is the minimum time between two log lines on closed connections of a
	// listener.
	closedLogInterval = 5 * time.Second
)

// Watch checks the progress of the clients of listeners at intervals until ctx ends, and reports
// what was closed and how much memory the clients take.
func Watch(ctx context.Context, listeners []*Listener, registry gometrics.Registry, logger *logevent.Logger) {
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	reports := make([]closedReport, len(listeners))
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for i, l := range listeners {
			l.Scan()
			l.measure(registry)
			reports[i].add(l, registry)
			reports[i].log(l, logger)
		}
	}
}

// measure updates the gauges of a listener.
func (l *Listener) measure(registry gometrics.Registry) {
	u := l.Usage()
	for name, value := range map[string]int64{
		"client_connections": int64(u.Connections), "client_memory_bytes": u.Bytes, "client_memory_peak_bytes": u.Peak,
	} {
		gometrics.GetOrRegisterGauge(metrics.Name(name, "listener", l.name), registry).Update(value)
	}
}

// closedReport collects what a listener has closed until it is logged.
type closedReport struct {
	counts      [len(connbudget.Reasons)]int
	lastAddress string
	loggedAt    time.Time
}

// add counts what the listener has closed since the last call.
func (c *closedReport) add(l *Listener, registry gometrics.Registry) {
	r := l.TakeReport()
	for reason, n := range r.Closed {
		c.counts[reason] += n
		c.lastAddress = r.LastAddress
		name := metrics.Name("clients_closed", "listener", l.name, "reason", reason.String())
		gometrics.GetOrRegisterCounter(name, registry).Inc(int64(n))
	}
}

// log logs what was closed, at most once in closedLogInterval.
func (c *closedReport) log(l *Listener, logger *logevent.Logger) {
	if c.lastAddress == "" || time.Since(c.loggedAt) < closedLogInterval {
		return
	}
	logger.Log(logevent.ClientsClosed, zap.String("listener", l.name), zap.String("address", c.lastAddress),
		zap.Int("connections", c.counts[connbudget.NoConnections]), zap.Int("memory", c.counts[connbudget.NoMemory]),
		zap.Int("progress", c.counts[connbudget.NoProgress]))
	*c = closedReport{loggedAt: time.Now()}
}
