package standin

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// WorkerView is what one worker and its backend server have and have seen.
type WorkerView struct {
	Worker     string            `json:"worker"`
	DataCentre string            `json:"dataCentre"`
	Rack       string            `json:"rack"`
	Capacity   hostapi.Resources `json:"capacity"`
	Slots      int               `json:"slots"`
	// ConnectionLimit, Connections, MaxConnections and RefusedConnections are
	// about the backend server.
	ConnectionLimit    int   `json:"connectionLimit"`
	Connections        int   `json:"connections"`
	MaxConnections     int   `json:"maxConnections"`
	RefusedConnections int64 `json:"refusedConnections"`
	// Down tells whether the worker is down.
	Down bool `json:"down"`
}
