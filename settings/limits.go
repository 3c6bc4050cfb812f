package settings

// Limits holds the limit settings of the [limits] section.
type Limits struct {
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request to a service that does not set a limit.
	MaxBodyBytes int64
	// RequestTableEntries bounds the request ids kept per cell.
	RequestTableEntries int
	// RequestsInProgress bounds the requests in progress in this process.
	RequestsInProgress int
	// Watches bounds the operator watches that are open at the same time.
	Watches int
	// SnapshotRecords is the number of records after which a stream gets a snapshot.
	SnapshotRecords int
	// BatchRecords bounds the records in one append.
	BatchRecords int
	// BatchBytes bounds the size of one append.
	BatchBytes int
	// ClientConnections bounds the connections of callers, and those of peers.
	ClientConnections int
	// ClientMemory bounds the memory of the connections of callers, of their heads and bodies.
	ClientMemory int64
	// ClientProgress is the number of bytes of a body that must arrive within 10 s.
	ClientProgress int64
}
