package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

const (
	// demandInterval is the time between two computations of the demand.
	demandInterval = 500 * time.Millisecond
	// maxDemandWindow is the longest time over which arrivals are averaged: finite work that no longer
	// arrives needs no room.
	maxDemandWindow = 30 * time.Second
	// minDemandWindow is the shortest one. An owner that has observed arrivals for less keeps as much
	// room as it may: of the submissions before its epoch, it knows only those that still wait.
	minDemandWindow = 3 * time.Second
	// demandSpread is the number of standard deviations of the CPU that finite runs have at a time
	// which is kept beside its mean.
	demandSpread = 2.0
)

// pieceShares are the shares of the demand, from the largest request on, whose smallest requests are
// the sizes of pieces that are looked at.
var pieceShares = [...]float64{0.1, 0.25, 0.5, 1}

// demandKey says which finite steps share room: those that the same workers can take, as far as they are
// at least as urgent as a priority.
type demandKey struct {
	service, label string
	priority       int
}

// finiteDemand is the CPU, in thousandths of a core, that finite steps need at a time in pieces of
// different sizes.
type finiteDemand struct {
	// sizes are requests in descending order, needs what tasks that request at least as much have at a
	// time.
	sizes, needs [len(pieceShares)]int64
}

// finiteDemands has the demands by key. They follow from the submissions that the ledger knows, so that
// another owner finds the same.
type finiteDemands struct {
	at    time.Duration
	known bool
	// settled: arrivals have been observed for minDemandWindow.
	settled bool
	steps   map[demandKey][]steadyStep
	byKey   map[demandKey]*finiteDemand
}

// steadyStep is a finite step as it arrives on average.
type steadyStep struct {
	// request is the CPU of a task, cpu that of all its tasks, in thousandths of a core.
	request, cpu int64
	// load is the mean number of such steps that run at a time.
	load float64
}

// demandFor returns the demand of finite steps that are at least as urgent as a priority, or nil if there
// is none.
func (m *Machine) demandFor(key demandKey) *finiteDemand {
	d := &m.finiteDemands
	if !d.known || m.now-d.at >= demandInterval {
		*d = finiteDemands{at: m.now, known: true, settled: m.now-m.createdAt >= minDemandWindow, steps: m.steadySteps(), byKey: make(map[demandKey]*finiteDemand)}
	}
	demand, known := d.byKey[key]
	if !known {
		var steps []steadyStep
		for k, s := range d.steps {
			if k.service == key.service && k.label == key.label && k.priority <= key.priority {
				steps = append(steps, s...)
			}
		}
		demand = newFiniteDemand(steps)
		d.byKey[key] = demand
	}
	return demand
}

// steadySteps returns the finite steps of the recent submissions of all queues.
func (m *Machine) steadySteps() map[demandKey][]steadyStep {
	out := make(map[demandKey][]steadyStep)
	for _, sample := range m.sizes {
		if sample.added < minSizeSample {
			continue
		}
		entries, window := m.arrivals(sample)
		for _, e := range entries {
			for i := range e.Steps {
				step := &e.Steps[i]
				if step.LongRunning || step.BestEffort || step.Request.MilliCPU <= 0 {
					continue
				}
				key := demandKey{service: e.Policy.Service, label: step.Label, priority: e.Policy.Priority}
				out[key] = append(out[key], steadyStep{
					request: step.Request.MilliCPU, cpu: step.Request.MilliCPU * int64(step.Tasks),
					load: m.expectedRunTime(e.Queue, step).Seconds() / window.Seconds(),
				})
			}
		}
	}
	return out
}

// arrivals returns the recent submissions of a queue, with the time in which they were accepted. Once
// the epoch has lasted for minDemandWindow, they are those of the epoch.
func (m *Machine) arrivals(sample *sizeSample) ([]*ledger.Entry, time.Duration) {
	entries := slices.Clone(sample.submissions[:min(sample.added, sizeSampleSize)])
	window := min(m.now-m.createdAt, maxDemandWindow)
	if window < minDemandWindow {
		window = maxDemandWindow
	}
	from := m.wall.Add(-window)
	if len(entries) == sizeSampleSize {
		first := slices.MinFunc(entries, func(a, b *ledger.Entry) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
		if first.AcceptedAt.After(from) {
			return entries, max(minDemandWindow, m.wall.Sub(first.AcceptedAt))
		}
	}
	return slices.DeleteFunc(entries, func(e *ledger.Entry) bool { return e.AcceptedAt.Before(from) }), window
}

// newFiniteDemand returns the demand of steps that arrive at random: for each size the mean of the CPU
// of those that run at a time, and its standard deviation.
func newFiniteDemand(steps []steadyStep) *finiteDemand {
	slices.SortFunc(steps, func(a, b steadyStep) int {
		return cmp.Or(cmp.Compare(b.request, a.request), cmp.Compare(b.cpu, a.cpu), cmp.Compare(b.load, a.load))
	})
	total := 0.0
	for _, s := range steps {
		total += s.load * float64(s.cpu)
	}
	if total <= 0 {
		return nil
	}
	d, mean, variance, next := new(finiteDemand), 0.0, 0.0, 0
	for i, s := range steps {
		cpu := float64(s.cpu)
		mean, variance = mean+s.load*cpu, variance+s.load*cpu*cpu
		for next < len(pieceShares) && (mean >= pieceShares[next]*total*(1-1e-9) || i == len(steps)-1) {
			d.sizes[next], d.needs[next] = s.request, int64(mean+demandSpread*math.Sqrt(variance))
			next++
		}
	}
	return d
}

// demandsOf returns the demands of finite steps of a service that are at least as urgent as a priority, one
// for each label that they require.
func (m *Machine) demandsOf(class runClass) map[string]*finiteDemand {
	out := make(map[string]*finiteDemand)
	for _, label := range m.demandLabels(class.service) {
		if demand := m.demandFor(demandKey{class.service, label, class.priority}); demand != nil {
			out[label] = demand
		}
	}
	return out
}

// demandLabels returns the labels that finite steps of a service require, "" for none.
func (m *Machine) demandLabels(service string) []string {
	m.demandFor(demandKey{service: service})
	var out []string
	for key := range m.finiteDemands.steps {
		if key.service == service && !slices.Contains(out, key.label) {
			out = append(out, key.label)
		}
	}
	return out
}
