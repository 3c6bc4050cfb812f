package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// SizeClass classifies a submission by its work among the recent submissions of its queue.
type SizeClass int

// Classes of sizes.
const (
	// OtherSize: the submission is in neither of the other classes, or too few submissions of
	// the queue are known to tell.
	OtherSize SizeClass = iota
	// LargeSize: the submission is in the fifth below the largest tenth.
	LargeSize
	// LargestSize: the submission is in the largest tenth.
	LargestSize
)

// String returns the class's name in metrics and logs.
func (c SizeClass) String() string { return [...]string{"other", "large", "largest"}[c] }

const (
	// sizeSampleSize is the number of a queue's submissions that a sample keeps.
	sizeSampleSize = 128
	// minSizeSample is the number of submissions from which on a sample classifies.
	minSizeSample = 10
	// maxSizeSamples limits the queues with a sample.
	maxSizeSamples = 64
)

// sizeSample has the most recent submissions of a queue.
type sizeSample struct {
	submissions [sizeSampleSize]*ledger.Entry
	// added is the number of submissions that were added.
	added int
	// bounds are the greatest amounts of work below the largest tenth, and below the fifth
	// after that, of the first boundsAt submissions, by the run times of boundsVersion.
	bounds        [2]float64
	boundsAt      int
	boundsVersion int
	balance       sizeBalance
	// reportedAt is when the queue was last reported to have favoured submissions, if it was.
	reported   bool
	reportedAt time.Duration
}

func (s *sizeSample) add(e *ledger.Entry) {
	s.submissions[s.added%sizeSampleSize] = e
	s.added++
}

// sizeOf returns the class of a submission by its expected work. A queue of equal submissions
// has no largest ones.
func (m *Machine) sizeOf(e *ledger.Entry) SizeClass {
	s := m.sizes[e.Queue]
	if s == nil || min(s.added, sizeSampleSize) < minSizeSample {
		return OtherSize
	}
	expected := m.expected(e)
	if s.boundsAt != s.added || s.boundsVersion != expected.version {
		s.bounds, s.boundsAt, s.boundsVersion = m.sizeBounds(s), s.added, expected.version
	}
	switch work := expected.work; {
	case work > s.bounds[0]:
		return LargestSize
	case work > s.bounds[1]:
		return LargeSize
	}
	return OtherSize
}

func (m *Machine) sizeBounds(s *sizeSample) [2]float64 {
	n := min(s.added, sizeSampleSize)
	works := make([]float64, n)
	for i, e := range s.submissions[:n] {
		works[i] = m.expectedWork(&e.Submission)
	}
	slices.SortFunc(works, func(a, b float64) int { return cmp.Compare(b, a) })
	return [2]float64{works[n/10], works[3*n/10]}
}

// sizeSamples has the samples of the queues by name.
type sizeSamples map[string]*sizeSample

func (s sizeSamples) add(e *ledger.Entry) {
	sample := s[e.Queue]
	if sample == nil {
		if len(s) >= maxSizeSamples {
			return
		}
		sample = new(sizeSample)
		s[e.Queue] = sample
	}
	sample.add(e)
}

// favours reports whether a submission is one of the largest of a queue in which these fall
// behind.
func (m *Machine) favours(e *ledger.Entry) bool {
	sample := m.sizes[e.Queue]
	return sample != nil && sample.balance.largestFallBehind() && m.sizeOf(e) == LargestSize
}
