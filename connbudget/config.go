package connbudget

// Config holds the limits of a listener.
type Config struct {
	// Bytes limits the memory of all connections, heads and bodies.
	Bytes int64
	// Connections limits the open connections.
	Connections int
	// ConnectionBytes is the memory of a connection without a request.
	ConnectionBytes int64
	// Window is the time over which progress is measured, in scans.
	Window int
	// WindowBytes is the smallest progress of a body, and of a client that reads its answer,
	// within a window.
	WindowBytes int64
}

// Reason is why a connection was closed.
type Reason int

// Reasons.
const (
	// NoConnections means that the listener has as many connections as it may.
	NoConnections Reason = iota
	// NoMemory means that the memory of the listener's connections is used up.
	NoMemory
	// NoProgress means that a client sends its body, or reads its answer, too slowly.
	NoProgress
)

// Reasons lists all reasons.
var Reasons = [...]Reason{NoConnections, NoMemory, NoProgress}

func (r Reason) String() string {
	return [...]string{"connections", "memory", "progress"}[r]
}

// Closed is a connection that the caller must close.
type Closed struct {
	Conn   *Conn
	Reason Reason
}

// Usage is the use of a budget.
type Usage struct {
	// Bytes and Connections are in use, Peak is the largest number of bytes so far.
	Bytes, Peak int64
	Connections int
}
