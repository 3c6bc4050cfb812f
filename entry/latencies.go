package entry

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// serverKey identifies a service on a backend server.
type serverKey struct {
	service, address string
}

// latencySampleSize is the number of response times kept per service and server.
const latencySampleSize = 200

// targetQuantile is the quantile to which the latency targets of services apply.
const targetQuantile = 0.99

// serverLatencies keeps recent response times per service and server.
type serverLatencies struct {
	mu      sync.RWMutex
	samples map[serverKey]gometrics.Sample
}

func newServerLatencies() *serverLatencies {
	return &serverLatencies{samples: make(map[serverKey]gometrics.Sample)}
}

// observe adds the time from a request to the head of its response.
func (l *serverLatencies) observe(service, address string, took time.Duration) {
	key := serverKey{service, address}
	l.mu.RLock()
	sample := l.samples[key]
	l.mu.RUnlock()
	if sample == nil {
		sample = l.addSample(key)
	}
	sample.Update(int64(took))
}

func (l *serverLatencies) addSample(key serverKey) gometrics.Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sample := l.samples[key]; sample != nil {
		return sample
	}
	sample := gometrics.NewExpDecaySample(latencySampleSize, sampleDecayAlpha)
	l.samples[key] = sample
	return sample
}

// recentP99 returns the p99 of the recent response times of a service on a
// server, 0 if there are none.
func (l *serverLatencies) recentP99(service, address string) time.Duration {
	l.mu.RLock()
	sample := l.samples[serverKey{service, address}]
	l.mu.RUnlock()
	if sample == nil {
		return 0
	}
	return time.Duration(sample.Percentile(targetQuantile))
}

// retain drops the samples of servers whose addresses are not in the set.
func (l *serverLatencies) retain(addresses map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.samples {
		if !addresses[key.address] {
			delete(l.samples, key)
		}
	}
}

// latencyP99 implements cellHost.
func (n *Node) latencyP99(service, address string) time.Duration {
	return n.latencies.recentP99(service, address)
}
