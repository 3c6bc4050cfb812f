package dispatch

import "time"

// Limits of the starts in flight of an owner that is at its limit.
const (
	// slowStartAnswer is the time from which an answer to a start is slow. A usual answer
	// takes one round trip of 10 ms.
	slowStartAnswer = 200 * time.Millisecond
	// startWindow is the number of answers by which the limit is adjusted.
	startWindow = 16
	// maxStartsInFlight and minStartsInFlight bound the limit.
	maxStartsInFlight = 400
	minStartsInFlight = 8
	// startLimitInterval is the time between two reductions of the limit: the starts in
	// flight were sent before the last one.
	startLimitInterval = 700 * time.Millisecond
	// startLimitStep is by how much a window with a fast answer raises the limit.
	startLimitStep = 4
)

// startLimit limits the runs that are being recorded or started. An overloaded owner that
// places what fits sends more starts than it can complete: commands of all kinds then time
// out, stops and renewals of leases among them. The limit is halved while not one answer in
// a window is fast. Workers that are slow or don't answer leave others that are fast.
type startLimit struct {
	limit, inFlight int
	// answers and fastAnswers are those of the current window.
	answers, fastAnswers int
	loweredAt            time.Duration
}

func newStartLimit() startLimit { return startLimit{limit: maxStartsInFlight} }

// room returns how many runs may be placed.
func (l *startLimit) room() int { return l.limit - l.inFlight }

// answered handles the end of a start that took a time, which is 0 if it is not known.
func (l *startLimit) answered(now, took time.Duration, answer Answer) {
	if took <= 0 {
		return
	}
	l.answers++
	if took < slowStartAnswer && answer != NoAnswer {
		l.fastAnswers++
	}
	if l.answers < startWindow {
		return
	}
	switch {
	case l.fastAnswers > 0:
		l.limit = min(maxStartsInFlight, l.limit+startLimitStep)
	case now-l.loweredAt >= startLimitInterval:
		l.loweredAt = now
		l.limit = max(minStartsInFlight, min(l.limit, l.inFlight)/2)
	}
	l.answers, l.fastAnswers = 0, 0
}
