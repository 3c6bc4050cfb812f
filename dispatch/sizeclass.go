package dispatch

import (
	"cmp"
	"slices"
	"time"
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

// sizeSample has the work of the most recent submissions of a queue.
type sizeSample struct {
	works [sizeSampleSize]float64
	// added is the number of submissions that were added.
	added int
	// bounds are the greatest amounts of work below the largest tenth, and below the fifth
	// after that, of the first boundsAt submissions.
	bounds   [2]float64
	boundsAt int
	balance  sizeBalance
	// reportedAt is when the queue was last reported to have favoured submissions, if it was.
	reported   bool
	reportedAt time.Duration
}

func (s *sizeSample) add(work float64) {
	s.works[s.added%sizeSampleSize] = work
	s.added++
}

// classOf returns the class of an amount of work. A queue of equal submissions has no
// largest ones.
func (s *sizeSample) classOf(work float64) SizeClass {
	n := min(s.added, sizeSampleSize)
	if n < minSizeSample {
		return OtherSize
	}
	if s.boundsAt != s.added {
		sorted := slices.Clone(s.works[:n])
		slices.SortFunc(sorted, func(a, b float64) int { return cmp.Compare(b, a) })
		s.bounds, s.boundsAt = [2]float64{sorted[n/10], sorted[3*n/10]}, s.added
	}
	switch {
	case work > s.bounds[0]:
		return LargestSize
	case work > s.bounds[1]:
		return LargeSize
	}
	return OtherSize
}

// sizeSamples has the samples of the queues by name.
type sizeSamples map[string]*sizeSample

func (s sizeSamples) add(queue string, work float64) {
	sample := s[queue]
	if sample == nil {
		if len(s) >= maxSizeSamples {
			return
		}
		sample = new(sizeSample)
		s[queue] = sample
	}
	sample.add(work)
}

func (s sizeSamples) classOf(queue string, work float64) SizeClass {
	if sample := s[queue]; sample != nil {
		return sample.classOf(work)
	}
	return OtherSize
}

// countOutcome records whether a submission was served.
func (s sizeSamples) countOutcome(queue string, class SizeClass, served bool) {
	if sample := s[queue]; sample != nil {
		sample.balance.add(class, served)
	}
}

// favours reports whether a submission is one of the largest of a queue in which these fall
// behind.
func (s sizeSamples) favours(queue string, work float64) bool {
	sample := s[queue]
	return sample != nil && sample.balance.largestFallBehind() && sample.classOf(work) == LargestSize
}
