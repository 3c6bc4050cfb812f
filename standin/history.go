package standin

import (
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/platform"
)

// AttemptRun is one run of an attempt on a worker. Times are in nanoseconds
// since the stand-in started.
type AttemptRun struct {
	Worker     string             `json:"worker"`
	DataCentre string             `json:"dataCentre"`
	Boot       string             `json:"boot"`
	ID         platform.AttemptID `json:"id"`
	Kind       string             `json:"kind"`
	Requests   platform.Resources `json:"requests"`
	// Term is that of the start.
	Term  int64         `json:"term"`
	Start time.Duration `json:"start"`
	// End is 0 while State is running.
	End   time.Duration         `json:"end"`
	State platform.AttemptState `json:"state"`
	// Resumed is the checkpoint that the run started from, or "".
	Resumed string `json:"resumed,omitempty"`
	// DoneAtStart and DoneAtEnd are the work done, in nanoseconds.
	DoneAtStart time.Duration `json:"doneAtStart"`
	DoneAtEnd   time.Duration `json:"doneAtEnd"`
}

// Execution is one request that a backend server ran or refused. Times are in
// nanoseconds since the stand-in started.
type Execution struct {
	RequestID  string        `json:"requestId"`
	Worker     string        `json:"worker"`
	DataCentre string        `json:"dataCentre"`
	Method     string        `json:"method"`
	Path       string        `json:"path"`
	Term       int64         `json:"term"`
	Start      time.Duration `json:"start"`
	// End is 0 while the request runs.
	End time.Duration `json:"end"`
	// Concurrent is how many requests the server ran right after the start,
	// this one included.
	Concurrent int `json:"concurrent"`
	// Refused is why the server did not run the request, or "".
	Refused string `json:"refused,omitempty"`
	// Leaving tells whether the server had said before the start that it leaves.
	Leaving bool `json:"leaving,omitempty"`
}

// WorkerView is what one worker and its backend server have and have seen.
type WorkerView struct {
	Worker     string             `json:"worker"`
	DataCentre string             `json:"dataCentre"`
	Rack       string             `json:"rack"`
	Capacity   platform.Resources `json:"capacity"`
	Slots      int                `json:"slots"`
	// ConnectionLimit, Connections, MaxConnections and RefusedConnections are
	// about the backend server.
	ConnectionLimit    int   `json:"connectionLimit"`
	Connections        int   `json:"connections"`
	MaxConnections     int   `json:"maxConnections"`
	RefusedConnections int64 `json:"refusedConnections"`
	// Down tells whether the worker is down.
	Down bool `json:"down"`
}

// FaultEvent is a fault that was switched on or off.
type FaultEvent struct {
	At    time.Duration `json:"at"`
	Fault Fault         `json:"fault"`
}

// HistoryView is the answer to GET /history.
type HistoryView struct {
	// Now is the time of the answer in nanoseconds since the stand-in started.
	Now        time.Duration `json:"now"`
	Attempts   []AttemptRun  `json:"attempts"`
	Executions []Execution   `json:"executions"`
	Workers    []WorkerView  `json:"workers"`
	Faults     []FaultEvent  `json:"faults"`
}

// attemptKey names a run: after a restart a worker can run an attempt again.
type attemptKey struct {
	worker string
	boot   string
	id     platform.AttemptID
}

// History records what the workers and the backend servers did. It is safe for
// concurrent use.
type History struct {
	mu         sync.Mutex
	attempts   []AttemptRun
	running    map[attemptKey]int
	executions []Execution
	faults     []FaultEvent
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{running: make(map[attemptKey]int)}
}

// AddAttempt records the start or the end of an attempt at a time since the
// stand-in started.
func (h *History) AddAttempt(worker, dataCentre, boot string, at time.Duration, e AttemptEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := attemptKey{worker: worker, boot: boot, id: e.ID}
	if e.State != platform.AttemptRunning {
		run := &h.attempts[h.running[key]]
		run.End = at
		run.State = e.State
		run.DoneAtEnd = e.Done
		delete(h.running, key)
		return
	}
	h.running[key] = len(h.attempts)
	h.attempts = append(h.attempts, AttemptRun{
		Worker:      worker,
		DataCentre:  dataCentre,
		Boot:        boot,
		ID:          e.ID,
		Kind:        e.Kind,
		Requests:    e.Requests,
		Term:        e.Term,
		Start:       at,
		State:       e.State,
		Resumed:     e.Resumed,
		DoneAtStart: e.Done,
	})
}

// BeginExecution records an execution and returns its number for EndExecution.
func (h *History) BeginExecution(e Execution) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, e)
	return len(h.executions) - 1
}

// EndExecution records the end of an execution.
func (h *History) EndExecution(number int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions[number].End = at
}

// AddFault records a fault.
func (h *History) AddFault(e FaultEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, e)
}

// View returns a copy without Now and Workers.
func (h *History) View() HistoryView {
	h.mu.Lock()
	defer h.mu.Unlock()
	return HistoryView{
		Attempts:   append([]AttemptRun{}, h.attempts...),
		Executions: append([]Execution{}, h.executions...),
		Faults:     append([]FaultEvent{}, h.faults...),
	}
}
