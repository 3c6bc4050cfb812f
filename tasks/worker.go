package tasks

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// worker is the owner's state of one worker of the cell.
type worker struct {
	id       string
	listed   bool
	leaving  bool
	capacity hostapi.Resources

	// polled is set once the worker has been polled in this term; polledAt is
	// the local time of the last poll.
	polled   bool
	polledAt time.Duration
	// boot is "" until the worker has answered. The worker's clock read clock at
	// local time answeredAt or earlier.
	boot       string
	clock      time.Duration
	answeredAt time.Duration
	// term is the highest term that the worker has seen.
	term      int64
	renewedAt time.Duration
	// unknownUsage is the sum of the requests of running attempts that are not
	// live in the cell's task stream.
	unknownUsage hostapi.Resources
}

// reset clears the state that belongs to one term.
func (w *worker) reset() {
	*w = worker{id: w.id, listed: w.listed, leaving: w.leaving, capacity: w.capacity}
}

// fenced reports whether the worker refuses commands of terms below term.
func (w *worker) fenced(term int64) bool {
	return w.boot != "" && w.term >= term
}

// deadline converts the local time end to a time on the worker's clock that is
// not later, at any drift within the bound.
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

// removeUnusedWorkers removes the workers that are not listed and have no live
// attempt.
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

// pollWorkers fences the workers that have not seen this term and asks the others
// for their state.
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

// newCommand returns the common part of any command but a start. It returns
// false if the worker runs another boot or the authority to send it has ended.
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

// reservedByWorker returns the resources reserved on each worker: those of live
// attempts, of placements in flight, and of running attempts that are not live in
// the task stream.
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

// nextRequests returns the resources that the next attempt of a task requests.
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

// ready reports whether attempts can be placed on a worker. A worker that does
// not answer is not ready.
func (m *Machine) ready(w *worker) bool {
	return m.owned && m.termOpen && w.listed && !w.leaving && w.fenced(m.ownTerm) && m.reachable(w)
}

// reachable reports whether a worker has answered within the last two renewal
// intervals.
func (m *Machine) reachable(w *worker) bool {
	return w.boot != "" && m.now-w.answeredAt < 2*m.config.RenewEvery
}
