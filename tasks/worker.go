package tasks

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// worker is a worker of the cell as its owner knows it.
type worker struct {
	id       string
	listed   bool
	leaving  bool
	capacity hostapi.Resources

	// asked and askedAt tell when the state was last asked for.
	polled   bool
	polledAt time.Duration
	// boot is "" until the worker has answered. clock is its clock at the
	// local time at, at the latest.
	boot       string
	clock      time.Duration
	answeredAt time.Duration
	// term is the highest term that the worker has seen.
	term      int64
	renewedAt time.Duration
	// strange is what attempts unknown to the cell's stream use.
	unknownUsage hostapi.Resources
}

// reset forgets what a term has learned.
func (w *worker) reset() {
	*w = worker{id: w.id, listed: w.listed, leaving: w.leaving, capacity: w.capacity}
}

// fenced reports whether the worker refuses commands of terms below term.
func (w *worker) fenced(term int64) bool {
	return w.boot != "" && w.term >= term
}

// deadline returns the value on the worker's clock at which the local clock
// is at most end, whatever the drift.
func (w *worker) deadline(c *Config, end time.Duration) time.Duration {
	return w.clock + c.lessDriftMargin(end-w.answeredAt)
}

func (m *Machine) handleWorkersListed(e WorkersListed) {
	for _, w := range m.workers {
		w.listed = false
	}
	for _, listed := range e.Workers {
		w := m.workers[listed.ID]
		if w == nil {
			w = &worker{id: listed.ID}
			m.workers[listed.ID] = w
		}
		w.listed, w.leaving = true, listed.Leaving
		if w.boot == "" {
			w.capacity = listed.Capacity
		}
	}
	m.removeUnusedWorkers()
}

// removeUnusedWorkers forgets workers that are not listed and have no live attempt.
func (m *Machine) removeUnusedWorkers() {
	used := make(map[string]bool)
	for _, t := range m.tasks {
		if t.live {
			used[t.worker] = true
		}
	}
	maps.DeleteFunc(m.workers, func(id string, w *worker) bool {
		return !w.listed && !used[id]
	})
	m.sortedWorkers = slices.SortedFunc(maps.Values(m.workers), func(a, b *worker) int {
		return strings.Compare(a.id, b.id)
	})
}

// pollWorkers fences the workers that have not seen this term, and observes
// the others.
func (m *Machine) pollWorkers() {
	if m.rescue {
		return
	}
	for _, w := range m.sortedWorkers {
		if w.polled && m.now-w.polledAt < m.config.ObserveEvery {
			continue
		}
		w.polled, w.polledAt = true, m.now
		if w.fenced(m.ownTerm) {
			m.emit(Observe{Worker: w.id})
		} else {
			m.emit(Fence{Worker: w.id, Term: m.ownTerm})
		}
	}
}

// newCommand returns the common part of a command that is not a start, and
// whether the authority to send it is in force.
func (m *Machine) newCommand(w *worker, boot string) (hostapi.Command, bool) {
	if w == nil || w.boot != boot || m.now >= m.renewUntil {
		return hostapi.Command{}, false
	}
	return hostapi.Command{
		Term:     m.ownTerm,
		Boot:     boot,
		Deadline: w.deadline(&m.config, m.renewUntil),
	}, true
}

// reservedByWorker returns what is reserved on each worker: all live attempts, the
// placements in flight, and attempts that only the worker knows.
func (m *Machine) reservedByWorker() map[string]hostapi.Resources {
	sums := make(map[string]hostapi.Resources, len(m.workers))
	for id, w := range m.workers {
		sums[id] = w.unknownUsage
	}
	for _, t := range m.tasks {
		if t.live {
			sums[t.worker] = sums[t.worker].Add(t.requests)
		}
		if placed := t.inFlight.GetPlaced(); placed != nil {
			sums[placed.Worker] = sums[placed.Worker].Add(resourcesFromProto(placed.Requests))
		}
	}
	return sums
}

// nextRequests returns what the next attempt of a task requests.
func (m *Machine) nextRequests(t *task) hostapi.Resources {
	if w := m.workOf(t); w != nil {
		return w.Requests
	}
	return hostapi.Resources{}
}

// Workers returns all workers of the cell in ascending order of id.
func (m *Machine) Workers() []WorkerView {
	reserved := m.reservedByWorker()
	views := make([]WorkerView, 0, len(m.workers))
	for _, w := range m.sortedWorkers {
		views = append(views, WorkerView{
			ID:       w.id,
			Ready:    m.ready(w),
			Leaving:  w.leaving,
			Boot:     w.boot,
			Capacity: w.capacity,
			Reserved: reserved[w.id],
		})
	}
	return views
}

// ready reports whether attempts can be placed on a worker. A worker that
// does not answer counts as full.
func (m *Machine) ready(w *worker) bool {
	return m.owned && m.termOpen && w.listed && !w.leaving && w.fenced(m.ownTerm) && m.reachable(w)
}

// reachable reports whether a worker has answered lately.
func (m *Machine) reachable(w *worker) bool {
	return w.boot != "" && m.now-w.answeredAt < 2*m.config.RenewEvery
}
