package writer

import "slices"

// batch is the items of one log record. It is guarded by Writer.mu.
type batch struct {
	id    string
	items []*Submission
	// data is the encoded batch. It is fixed once sent is true.
	data []byte
	// sending is true while an append is under way.
	sending bool
	// sent is true once an append may have reached the log.
	sent bool
	// done is closed when the batch was read back.
	done     chan struct{}
	observed bool
}

// mayBeSent reports whether the log may have the batch or still get it.
func (b *batch) mayBeSent() bool {
	return b.sending || b.sent
}

// remove takes an item out of a batch that was not sent.
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
