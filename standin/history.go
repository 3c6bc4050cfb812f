package standin

import (
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// attemptKey identifies an AttemptRun. It includes the boot id because a worker
// can run an attempt again after a restart.
type attemptKey struct {
	worker string
	boot   string
	id     hostapi.AttemptID
}

// History records what the workers and the backend servers did. It is safe for
// concurrent use.
type History struct {
	mu             sync.Mutex
	attempts       []AttemptRun
	runningIndexes map[attemptKey]int
	executions     []Execution
	connections    []Connection
	workerEvents   []WorkerEvent
	faults         []FaultEvent
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{runningIndexes: make(map[attemptKey]int)}
}

// AddAttemptEvent records the start or the end of an attempt. The time at is the
// duration since the stand-in started.
func (h *History) AddAttemptEvent(worker, dataCentre, boot string, at time.Duration, e AttemptEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := attemptKey{worker: worker, boot: boot, id: e.ID}
	if e.State != hostapi.AttemptRunning {
		run := &h.attempts[h.runningIndexes[key]]
		run.End = at
		run.State = e.State
		run.WorkDoneAtEnd = e.WorkDone
		run.Checkpoint = e.Checkpoint
		delete(h.runningIndexes, key)
		return
	}
	h.runningIndexes[key] = len(h.attempts)
	h.attempts = append(h.attempts, AttemptRun{
		Worker:          worker,
		DataCentre:      dataCentre,
		Boot:            boot,
		ID:              e.ID,
		Kind:            e.Kind,
		Requests:        e.Requests,
		Term:            e.Term,
		Start:           at,
		State:           e.State,
		ResumedFrom:     e.ResumedFrom,
		WorkDoneAtStart: e.WorkDone,
	})
}

// BeginExecution records an execution and returns its index for EndExecution.
func (h *History) BeginExecution(e Execution) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, e)
	return len(h.executions) - 1
}

// EndExecution records the end of an execution.
func (h *History) EndExecution(index int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions[index].End = at
}

// BeginConnection records a connection and returns its index for EndConnection.
func (h *History) BeginConnection(worker string, at time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.connections = append(h.connections, Connection{Worker: worker, Opened: at})
	return len(h.connections) - 1
}

// EndConnection records the end of a connection.
func (h *History) EndConnection(index int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.connections[index].Closed = at
}

// AddWorkerEvent records a state change of a worker.
func (h *History) AddWorkerEvent(e WorkerEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workerEvents = append(h.workerEvents, e)
}

// AddFaultEvent records that a fault was switched on or off.
func (h *History) AddFaultEvent(e FaultEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, e)
}

// View returns a copy of the history. Its Now and Workers are not set.
func (h *History) View() HistoryView {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HistoryView{
		Attempts:     append([]AttemptRun{}, h.attempts...),
		Executions:   append([]Execution{}, h.executions...),
		Connections:  append([]Connection{}, h.connections...),
		WorkerEvents: append([]WorkerEvent{}, h.workerEvents...),
		Faults:       append([]FaultEvent{}, h.faults...),
	}
}
