package writer

import "slices"

// batch holds the items of one log record. It is guarded by Writer.mu.
type batch struct {
	id    string
	items []*Submission
	// data is the encoded batch. It does not change after sent becomes true.
	data []byte
	// sending is true while an append is in progress.
	sending bool
	// sent is true if a finished append may have reached the log.
	sent bool
	// done is closed when the record has been read back.
	done chan struct{}
	// observed is true if the record has been read back.
	observed bool
}

// mayReachLog reports whether the log may contain the batch now or later.
func (b *batch) mayReachLog() bool {
	return b.sending || b.sent
}

// remove removes an item from a batch that can't have reached the log.
func (b *batch) remove(s *Submission) {
	b.items = slices.DeleteFunc(b.items, func(other *Submission) bool { return other == s })
}

func (b *batch) encode(frame FrameFunc) {
	items := make([][]byte, 0, len(b.items))
	for _, s := range b.items {
		items = append(items, s.item)
	}
	b.data = frame(items)
}

func (b *batch) finish(r Result) {
	for i, s := range b.items {
		r.Index = i
		s.finish(r)
	}
}
