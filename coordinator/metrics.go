package coordinator

import (
	"errors"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/metrics"
)

// Metrics holds the metrics of a node.
type Metrics struct {
	Registry gometrics.Registry
}

// NewMetrics returns metrics with a new registry.
func NewMetrics() *Metrics { return &Metrics{Registry: gometrics.NewRegistry()} }

func (m *Metrics) count(name string, labels ...string) { m.add(1, name, labels...) }

// add adds a number to a counter.
func (m *Metrics) add(n int, name string, labels ...string) {
	gometrics.GetOrRegisterCounter(metrics.Name(name, labels...), m.Registry).Inc(int64(n))
}

// sampleSize and sampleDecay are the usual parameters of an exponentially
// decaying sample, weighted towards the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// observeDuration adds a duration to a histogram in microseconds.
func (m *Metrics) observeDuration(name string, d time.Duration) {
	h := m.Registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	h.(gometrics.Histogram).Update(d.Microseconds())
}

func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrNoEffect), errors.Is(err, ErrUnavailable):
		return "not_done"
	case errors.Is(err, ErrRejected):
		return "rejected"
	case errors.Is(err, ErrIDInUse):
		return "id_in_use"
	case errors.Is(err, ErrFenced):
		return "fenced"
	case errors.Is(err, ErrOutOfSequence):
		return "out_of_sequence"
	case errors.Is(err, ErrExpired):
		return "expired"
	}
	return "unknown"
}

func (m *Metrics) countLogCall(err error) { m.count("log_calls", "outcome", outcomeLabel(err)) }

func (m *Metrics) countNotification(err error) {
	m.count("owner_notices", "outcome", outcomeLabel(err))
}

// observeIntakeAppend counts an append to an intake, its records, and those whose earlier append
// may still be carried out.
func (m *Metrics) observeIntakeAppend(records, repeats int) {
	m.count("intake_appends")
	m.add(records, "intake_append_records")
	m.add(repeats, "intake_append_repeats")
}

// countPassed counts records that were passed on to a gathering node.
func (m *Metrics) countPassed(records int, err error) {
	m.add(records, "intake_records_passed", "outcome", outcomeLabel(err))
}

// countGathered counts records that other nodes passed on to this one.
func (m *Metrics) countGathered(records int) { m.add(records, "intake_records_gathered") }

func (m *Metrics) countInvitation(err error) {
	m.count("intake_invitations", "outcome", outcomeLabel(err))
}

func (m *Metrics) countLookup(err error) { m.count("owner_lookups", "outcome", outcomeLabel(err)) }

func (m *Metrics) observePlanDelay(d time.Duration) { m.observeDuration("plan_delay_microseconds", d) }

func (m *Metrics) countExpiredView(v dispatch.View) { m.count("views_expired", "view", v.String()) }

func (m *Metrics) observeRenewedView(v dispatch.View, age time.Duration) {
	m.observeDuration(metrics.Name("view_age_microseconds", "view", v.String()), age)
}

func (m *Metrics) observeAppend(d time.Duration) { m.observeDuration("append_microseconds", d) }

func (m *Metrics) observeSubmission(err error, d time.Duration) {
	m.count("submissions", "outcome", outcomeLabel(err))
	m.observeDuration("submission_durable_microseconds", d)
}

// countDiscarded counts the work that a displaced run lost, in seconds of a core.
func (m *Metrics) countDiscarded(work float64) {
	gometrics.GetOrRegisterCounter("displaced_work_core_milliseconds", m.Registry).Inc(int64(1000 * work))
}

func (m *Metrics) observeStart(a dispatch.Answer, d time.Duration) {
	m.count("starts", "answer", a.String())
	m.observeDuration("start_microseconds", d)
}

// countSpent adds a duration to a counter in milliseconds.
func (m *Metrics) countSpent(name string, d time.Duration) {
	gometrics.GetOrRegisterCounter(name, m.Registry).Inc(d.Milliseconds())
}
