package standin

import "time"

// Connection is one connection to a backend server. Times are in nanoseconds
// since the stand-in started.
type Connection struct {
	Worker string        `json:"worker"`
	Opened time.Duration `json:"opened"`
	// Closed is 0 while the connection is open.
	Closed time.Duration `json:"closed"`
}
