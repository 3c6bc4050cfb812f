package coordinator

import (
	"errors"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/metrics"
)

// Meters counts what a node does.
type Meters struct {
	Registry gometrics.Registry
}

// NewMeters returns meters with a registry of their own.
func NewMeters() *Meters { return &Meters{Registry: gometrics.NewRegistry()} }

func (m *Meters) count(name string, labels ...string) {
	gometrics.GetOrRegisterCounter(metrics.Name(name, labels...), m.Registry).Inc(1)
}

// sampleSize and sampleDecay are the usual ones of an exponentially decaying
// sample: the last five minutes weigh most.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// time adds to a distribution in microseconds.
func (m *Meters) time(name string, d time.Duration) {
	h := m.Registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	h.(gometrics.Histogram).Update(d.Microseconds())
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrNotDone), errors.Is(err, ErrUnavailable):
		return "not_done"
	case errors.Is(err, ErrFenced):
		return "fenced"
	case errors.Is(err, ErrExpired):
		return "expired"
	}
	return "unknown"
}

func (m *Meters) logCall(err error) { m.count("log_calls", "outcome", outcome(err)) }

func (m *Meters) notified(err error) { m.count("owner_notices", "outcome", outcome(err)) }

func (m *Meters) lookedUp(err error) { m.count("owner_lookups", "outcome", outcome(err)) }

func (m *Meters) appended(d time.Duration) { m.time("append_microseconds", d) }

func (m *Meters) submitted(err error, d time.Duration) {
	m.count("submissions", "outcome", outcome(err))
	m.time("submission_durable_microseconds", d)
}

func (m *Meters) started(a dispatch.Answer, d time.Duration) {
	m.count("starts", "answer", a.String())
	m.time("start_microseconds", d)
}
