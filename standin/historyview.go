package standin

import (
	"time"
)

// HistoryView is the answer to GET /history.
type HistoryView struct {
	// Now is the time of the answer in nanoseconds since the stand-in started.
	Now        time.Duration `json:"now"`
	Attempts   []AttemptRun  `json:"attempts"`
	Executions []Execution   `json:"executions"`
	// Connections are those to the backend servers.
	Connections []Connection `json:"connections"`
	// WorkerEvents are those of the workers.
	WorkerEvents []WorkerEvent `json:"changes"`
	Workers      []WorkerView  `json:"workers"`
	Faults       []FaultEvent  `json:"faults"`
}
