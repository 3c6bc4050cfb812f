package checker

import "time"

// load is what one worker runs.
type load struct {
	known       bool
	capacity    Resources
	slots       int
	connections int
	used        Resources
	attempts    map[attemptKey]Resources
	runs        map[int64]bool
	open        int
}

type attemptKey struct {
	task    string
	attempt int64
}

// overcommitJudge holds I1: processors, memory, accelerators, slots and
// connections of each worker.
type overcommitJudge struct {
	workers map[string]*load
}

func newOvercommitJudge() *overcommitJudge {
	return &overcommitJudge{workers: make(map[string]*load)}
}

func (j *overcommitJudge) worker(name string) *load {
	w := j.workers[name]
	if w == nil {
		w = &load{attempts: make(map[attemptKey]Resources), runs: make(map[int64]bool)}
		j.workers[name] = w
	}
	return w
}

func (j *overcommitJudge) observe(index int, e Event) []Violation {
	switch e.Type {
	case WorkerSeen:
		w := j.worker(e.Worker)
		w.known = true
		w.capacity = e.Capacity
		w.slots = e.Slots
		w.connections = e.Connections
	case WorkerLost:
		delete(j.workers, e.Worker)
	case AttemptStarted:
		return j.start(index, e)
	case AttemptEnded:
		j.end(e)
	case RunStarted:
		return j.run(index, e)
	case RunEnded:
		delete(j.worker(e.Worker).runs, e.Run)
	case ConnectionOpened:
		return j.connect(index, e)
	case ConnectionClosed:
		j.worker(e.Worker).open--
	}
	return nil
}

func (j *overcommitJudge) start(index int, e Event) []Violation {
	w := j.worker(e.Worker)
	if !w.known {
		return breach(NoOvercommit, index, e, "worker %s started a task before its capacity was seen", e.Worker)
	}
	w.attempts[attemptKey{e.Task, e.Attempt}] = e.Requests
	w.used.MilliCPU += e.Requests.MilliCPU
	w.used.MemoryMiB += e.Requests.MemoryMiB
	w.used.Accelerators += e.Requests.Accelerators
	if w.used.MilliCPU > w.capacity.MilliCPU || w.used.MemoryMiB > w.capacity.MemoryMiB || w.used.Accelerators > w.capacity.Accelerators {
		return breach(NoOvercommit, index, e, "worker %s uses %+v of %+v", e.Worker, w.used, w.capacity)
	}
	return nil
}

func (j *overcommitJudge) end(e Event) {
	w := j.worker(e.Worker)
	key := attemptKey{e.Task, e.Attempt}
	held, ok := w.attempts[key]
	if !ok {
		return
	}
	delete(w.attempts, key)
	w.used.MilliCPU -= held.MilliCPU
	w.used.MemoryMiB -= held.MemoryMiB
	w.used.Accelerators -= held.Accelerators
}

func (j *overcommitJudge) run(index int, e Event) []Violation {
	w := j.worker(e.Worker)
	w.runs[e.Run] = true
	if len(w.runs) > w.slots {
		return breach(NoOvercommit, index, e, "worker %s runs %d requests in %d slots", e.Worker, len(w.runs), w.slots)
	}
	return nil
}

func (j *overcommitJudge) connect(index int, e Event) []Violation {
	w := j.worker(e.Worker)
	w.open++
	if w.open > w.connections {
		return breach(NoOvercommit, index, e, "worker %s has %d of %d connections", e.Worker, w.open, w.connections)
	}
	return nil
}

func (j *overcommitJudge) finish(int, time.Duration) []Violation { return nil }
