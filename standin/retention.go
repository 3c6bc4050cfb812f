package standin

import (
	"time"
)

// Retention says how long records are kept. Zero values stand for no limit.
type Retention struct {
	// Records is how many records a stream keeps.
	Records int
	// Age is how long a stream keeps a record.
	Age time.Duration
}
