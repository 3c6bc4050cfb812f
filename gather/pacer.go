package gather

import "time"

const (
	// maxAppends is the maximum number of appends that a node has in flight. A second one keeps a
	// silent connection from delaying all callers.
	maxAppends = 2
	// secondAppendDelay is the age of the append in flight from which a second one is sent.
	secondAppendDelay = 450 * time.Millisecond
	// maxSlowAppends is that maximum while the store is slow.
	maxSlowAppends = 4
	// minPace is the minimum time between two appends while the store is slow.
	minPace = 100 * time.Millisecond
	// paceShare is the number of appends in the time of one.
	paceShare = 3
	// maxLatencyAge is the age beyond which the latency of an append decides nothing.
	maxLatencyAge = 2 * time.Second
)

// Pacer says when a node sends its next append to a stream. While the store is slow, the time
// between two appends follows their latency: records wait for a third of it instead of all of it,
// and the longer the stream's queue, the fewer appends join it. The zero value has sent none.
type Pacer struct {
	inFlight   int
	lastSent   time.Duration
	latency    time.Duration
	answeredAt time.Duration
}

// Sent records that an append was sent.
func (p *Pacer) Sent(now time.Duration) {
	p.inFlight++
	p.lastSent = now
}

// Answered records the latency of an append that was answered.
func (p *Pacer) Answered(now, latency time.Duration) { p.latency, p.answeredAt = latency, now }

// Ended records that an append is not in flight any more.
func (p *Pacer) Ended() { p.inFlight-- }

// Wait returns the time until the next append may be sent, or false if one in flight has to end
// before.
func (p *Pacer) Wait(now time.Duration, slow bool) (time.Duration, bool) {
	limit, delay := maxAppends, secondAppendDelay
	if slow {
		limit = maxSlowAppends
		delay = min(secondAppendDelay, max(minPace, p.latency/paceShare))
	}
	switch {
	case p.inFlight == 0:
		return 0, true
	case p.inFlight >= limit:
		return 0, false
	}
	return max(0, p.lastSent+delay-now), true
}

// WaitInOrder is Wait for appends that take effect one after the other only: while the store is fast,
// one is in flight.
func (p *Pacer) WaitInOrder(now time.Duration, slow bool) (time.Duration, bool) {
	if !slow && p.inFlight > 0 {
		return 0, false
	}
	return p.Wait(now, slow)
}

// Idle reports whether no append is in flight.
func (p *Pacer) Idle() bool { return p.inFlight == 0 }

// TooLate reports whether an append that is sent now can't be expected to be answered within the
// time that remains: it is less than half of the latency of the last one, whose queue may have
// become shorter.
func (p *Pacer) TooLate(now, remaining time.Duration, slow bool) bool {
	return slow && p.latency > 0 && now-p.answeredAt < maxLatencyAge && remaining < p.latency/2
}
