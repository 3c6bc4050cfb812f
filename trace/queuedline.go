package trace

// queuedLine is an encoded line and the number of lines dropped before it.
type queuedLine struct {
	text          []byte
	droppedBefore uint64
}
