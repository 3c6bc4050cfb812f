package standin

import (
	"time"
)

// HistoryView is the response to GET /history.
type HistoryView struct {
	// Now is the time of the response in nanoseconds since the stand-in started.
	Now        time.Duration `json:"now"`
	Attempts   []AttemptRun  `json:"attempts"`
	Executions []Execution   `json:"executions"`
	// Connections are the connections to backend servers.
	Connections []Connection `json:"connections"`
	// WorkerEvents are the state changes of workers.
	WorkerEvents []WorkerEvent `json:"changes"`
	Workers      []WorkerView  `json:"workers"`
	Faults       []FaultEvent  `json:"faults"`
}
