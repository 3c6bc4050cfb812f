package record

import (
	"slices"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// MaxWriters limits the number of writers that a Filter tracks. At the limit, the
// Filter evicts the writer whose last record has the lowest offset, which is the
// same writer at all readers of a stream.
const MaxWriters = 4096

// Filter detects duplicate records of a stream. A writer has at most one append
// in flight per stream and its sequence numbers ascend, so a record is new if
// and only if its sequence number is above the highest applied one of its
// writer. The zero value is ready for use.
type Filter struct {
	marks map[uint64]writerMark
}

type writerMark struct {
	sequence uint64
	offset   int64
}

// Accept reports whether the record at offset is new, and marks it as applied.
func (f *Filter) Accept(id ID, offset int64) bool {
	if f.marks == nil {
		f.marks = make(map[uint64]writerMark)
	}
	last, known := f.marks[id.Incarnation]
	if known && id.Sequence <= last.sequence {
		return false
	}
	if !known && len(f.marks) == MaxWriters {
		f.evictOldest()
	}
	f.marks[id.Incarnation] = writerMark{sequence: id.Sequence, offset: offset}
	return true
}

func (f *Filter) evictOldest() {
	var oldest uint64
	lowest := int64(-1)
	for incarnation, m := range f.marks {
		if lowest < 0 || m.offset < lowest {
			oldest, lowest = incarnation, m.offset
		}
	}
	delete(f.marks, oldest)
}

// Marks returns the state of the filter for a snapshot, in ascending order of
// incarnation.
func (f *Filter) Marks() []*recordpb.WriterMark {
	marks := make([]*recordpb.WriterMark, 0, len(f.marks))
	for incarnation, m := range f.marks {
		marks = append(marks, &recordpb.WriterMark{Incarnation: incarnation, Sequence: m.sequence, Offset: m.offset})
	}
	slices.SortFunc(marks, func(a, b *recordpb.WriterMark) int {
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	})
	return marks
}

// Restore replaces the state of the filter by the result of Marks.
func (f *Filter) Restore(marks []*recordpb.WriterMark) {
	f.marks = make(map[uint64]writerMark, len(marks))
	for _, m := range marks {
		f.marks[m.Incarnation] = writerMark{sequence: m.Sequence, offset: m.Offset}
	}
}
