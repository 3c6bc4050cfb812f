package dedup

import (
	"container/list"
	"time"
)

// entry is one id of a table.
type entry struct {
	id          string
	fingerprint uint64
	state       State
	answer      *Answer
	// done is closed when the run on this VM has ended; nil if the request
	// does not run on this VM.
	done chan struct{}
	// expires is when the id is dropped. It is in force while the entry is in
	// the table's expiry heap, that is, unless the request runs on this VM.
	expires time.Duration
	// index is the position in the expiry heap, or -1.
	index int
	// kept is the element in the table's list of answers, or nil.
	kept *list.Element
}
