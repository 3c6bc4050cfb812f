package dispatch

import (
	"fmt"

	"github.com/cactusreel/cactusreel/ledger"
)

const (
	// balanceSampleSize is the number of a queue's submissions, and minLargestSample that of
	// the largest ones, on which sizeBalance is based.
	balanceSampleSize = 128
	largestSampleSize = 16
	minLargestSample  = 4
	// minLargestShare is the multiple of the share served of a queue below which the largest
	// tenth is favoured. The platform's users expect half at least.
	minLargestShare = 0.75
)

// outcomeSample counts how many of the most recent submissions were served.
type outcomeSample struct {
	// outcomes is used as a ring.
	outcomes []bool
	next     int
	served   int
}

func (s *outcomeSample) add(served bool, size int) {
	if len(s.outcomes) < size {
		s.outcomes = append(s.outcomes, false)
		s.next = len(s.outcomes) - 1
	}
	if s.outcomes[s.next] {
		s.served--
	}
	if served {
		s.served++
	}
	s.outcomes[s.next] = served
	s.next = (s.next + 1) % size
}

// share returns the share that was served.
func (s *outcomeSample) share() float64 { return float64(s.served) / float64(max(1, len(s.outcomes))) }

// sizeBalance compares how often the largest submissions of a queue are served with how
// often all are.
type sizeBalance struct{ all, largest outcomeSample }

func (b *sizeBalance) add(class SizeClass, served bool) {
	b.all.add(served, balanceSampleSize)
	if class == LargestSize {
		b.largest.add(served, largestSampleSize)
	}
}

// largestFallBehind reports whether the largest submissions are served so much less often
// that they are to be favoured.
func (b *sizeBalance) largestFallBehind() bool {
	return len(b.largest.outcomes) >= minLargestSample && b.largest.share() < minLargestShare*b.all.share()
}

// String returns the shares for logs.
func (b *sizeBalance) String() string {
	return fmt.Sprintf("of the last submissions that ended, are overdue or had no run within their objective, %d of %d of the largest were served, and %d of %d of all sizes",
		b.largest.served, len(b.largest.outcomes), b.all.served, len(b.all.outcomes))
}

// judge counts, once, whether a submission was served in the balance of its queue. One that has had
// no run within its objective counts as not served: what becomes of it is known only three
// objectives after its arrival, and by then most of a burst is lost.
func (m *Machine) judge(e *ledger.Entry, served bool) {
	if m.times.judged[e] {
		return
	}
	m.times.judged[e] = true
	if sample := m.sizes[e.Queue]; sample != nil {
		sample.balance.add(m.sizeOf(e), served)
	}
}
