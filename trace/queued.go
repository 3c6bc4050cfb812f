package trace

// queued is a line and the number of lines dropped before it.
type queued struct {
	text    []byte
	missing uint64
}
