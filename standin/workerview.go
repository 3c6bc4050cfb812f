package standin

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// WorkerView describes a worker and the connections of its backend server.
type WorkerView struct {
	Worker     string            `json:"worker"`
	DataCentre string            `json:"dataCentre"`
	Rack       string            `json:"rack"`
	Capacity   hostapi.Resources `json:"capacity"`
	Slots      int               `json:"slots"`
	// ConnectionLimit is the maximum number of open connections of the backend
	// server. Connections and MaxConnections are the current and the highest
	// number so far. RefusedConnections counts those above the limit.
	ConnectionLimit    int   `json:"connectionLimit"`
	Connections        int   `json:"connections"`
	MaxConnections     int   `json:"maxConnections"`
	RefusedConnections int64 `json:"refusedConnections"`
	// Down reports whether the worker is down.
	Down bool `json:"down"`
}
