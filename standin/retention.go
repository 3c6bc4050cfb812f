package standin

import (
	"time"
)

// Retention limits which records a stream keeps. Zero values mean no limit.
type Retention struct {
	// Records is the maximum number of records per stream.
	Records int
	// Age is the maximum age of a record.
	Age time.Duration
}
