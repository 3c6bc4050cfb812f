package checker

import "time"

// workerLoad is the capacity of one worker and what it runs.
type workerLoad struct {
	// capacityKnown is set by the first WorkerSeen event.
	capacityKnown   bool
	capacity        Resources
	slots           int
	connectionLimit int
	used            Resources
	attempts        map[attemptKey]Resources
	runs            map[int64]bool
	openConnections int
}

type attemptKey struct {
	task    string
	attempt int64
}

// overcommitChecker checks I1: no worker uses more processors, memory,
// accelerators, slots or connections than it has.
type overcommitChecker struct {
	workers map[string]*workerLoad
}

func newOvercommitChecker() *overcommitChecker {
	return &overcommitChecker{workers: make(map[string]*workerLoad)}
}

func (c *overcommitChecker) worker(name string) *workerLoad {
	w := c.workers[name]
	if w == nil {
		w = &workerLoad{attempts: make(map[attemptKey]Resources), runs: make(map[int64]bool)}
		c.workers[name] = w
	}
	return w
}

func (c *overcommitChecker) observe(index int, e Event) []Violation {
	switch e.Type {
	case WorkerSeen:
		w := c.worker(e.Worker)
		w.capacityKnown = true
		w.capacity = e.Capacity
		w.slots = e.Slots
		w.connectionLimit = e.Connections
	case WorkerLost:
		delete(c.workers, e.Worker)
	case AttemptStarted:
		return c.attemptStarted(index, e)
	case AttemptEnded:
		c.attemptEnded(e)
	case RunStarted:
		return c.runStarted(index, e)
	case RunEnded:
		delete(c.worker(e.Worker).runs, e.Run)
	case ConnectionOpened:
		return c.connectionOpened(index, e)
	case ConnectionClosed:
		c.worker(e.Worker).openConnections--
	}
	return nil
}

func (c *overcommitChecker) attemptStarted(index int, e Event) []Violation {
	w := c.worker(e.Worker)
	if !w.capacityKnown {
		return violated(NoOvercommit, index, e, "worker %s started a task before its capacity was observed", e.Worker)
	}
	w.attempts[attemptKey{e.Task, e.Attempt}] = e.Requests
	w.used.MilliCPU += e.Requests.MilliCPU
	w.used.MemoryMiB += e.Requests.MemoryMiB
	w.used.Accelerators += e.Requests.Accelerators
	if w.used.MilliCPU > w.capacity.MilliCPU || w.used.MemoryMiB > w.capacity.MemoryMiB || w.used.Accelerators > w.capacity.Accelerators {
		return violated(NoOvercommit, index, e, "worker %s uses %+v of %+v", e.Worker, w.used, w.capacity)
	}
	return nil
}

func (c *overcommitChecker) attemptEnded(e Event) {
	w := c.worker(e.Worker)
	key := attemptKey{e.Task, e.Attempt}
	requests, ok := w.attempts[key]
	if !ok {
		return
	}
	delete(w.attempts, key)
	w.used.MilliCPU -= requests.MilliCPU
	w.used.MemoryMiB -= requests.MemoryMiB
	w.used.Accelerators -= requests.Accelerators
}

func (c *overcommitChecker) runStarted(index int, e Event) []Violation {
	w := c.worker(e.Worker)
	w.runs[e.Run] = true
	if len(w.runs) > w.slots {
		return violated(NoOvercommit, index, e, "worker %s runs %d requests in %d slots", e.Worker, len(w.runs), w.slots)
	}
	return nil
}

func (c *overcommitChecker) connectionOpened(index int, e Event) []Violation {
	w := c.worker(e.Worker)
	w.openConnections++
	if w.openConnections > w.connectionLimit {
		return violated(NoOvercommit, index, e, "worker %s has %d of %d connections", e.Worker, w.openConnections, w.connectionLimit)
	}
	return nil
}

func (c *overcommitChecker) finish(int, time.Duration) []Violation { return nil }
