package dedup

import (
	"container/list"
	"time"
)

// entry is the state of one id in a table.
type entry struct {
	id          string
	fingerprint uint64
	state       State
	answer      *Answer
	// done is closed when the run on this VM ends. It is nil if the request is
	// not running on this VM.
	done chan struct{}
	// expires is the time at which the id is dropped. It applies only while
	// the entry is in the table's expiry heap, that is, unless the request is
	// running on this VM.
	expires time.Duration
	// heapIndex is the position in the expiry heap, or -1.
	heapIndex int
	// answerElement is the entry's element in the table's list of kept answers,
	// or nil.
	answerElement *list.Element
}
