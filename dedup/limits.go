package dedup

import "time"

// MaxAnswerBytes is the size in bytes of the largest response body that is
// kept.
const MaxAnswerBytes = 64 << 10

// Limits are the retention times and memory bounds of a Store.
type Limits struct {
	// Retention is how long an id is kept after its run has ended.
	Retention time.Duration
	// MaxRequest is the maximum request time.
	MaxRequest time.Duration
	// MaxIDs bounds the number of ids over all cells. Beyond it new ids are
	// rejected, because no id may be dropped before its retention has passed.
	MaxIDs int64
	// MaxAnswers bounds the bytes of kept answers over all cells. Beyond it
	// the oldest answers of the cell are dropped; their ids are kept.
	MaxAnswers int64
}

// DefaultLimits returns the documented retention and maximum request time, and
// 32 MiB of answers, half of the memory that a node may use for its control
// plane.
func DefaultLimits() Limits {
	return Limits{
		Retention:  10 * time.Minute,
		MaxRequest: 5 * time.Second,
		MaxIDs:     100_000,
		MaxAnswers: 32 << 20,
	}
}
