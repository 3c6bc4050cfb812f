package dispatch

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
}

func (s *sizeSample) add(work float64) {
	s.works[s.added%sizeSampleSize] = work
	s.added++
}

// classOf returns the class of an amount of work. Submissions of equal work share the
// middle of their ranks, so that a queue of equal submissions has no largest ones.
func (s *sizeSample) classOf(work float64) SizeClass {
	n := min(s.added, sizeSampleSize)
	if n < minSizeSample {
		return OtherSize
	}
	above := 0.0
	for _, w := range s.works[:n] {
		switch {
		case w > work:
			above++
		case w == work:
			above += 0.5
		}
	}
	switch share := above / float64(n); {
	case share < 0.1:
		return LargestSize
	case share < 0.3:
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
