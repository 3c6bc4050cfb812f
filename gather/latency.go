package gather

import "time"

const (
	// SlowAnswer is the latency from which a call shows that the store is slow: callers that want
	// a start within a quarter of a second notice it.
	SlowAnswer = 150 * time.Millisecond
	// FastAnswer is the latency up to which a call shows that it is not. The gap to SlowAnswer is
	// the hysteresis.
	FastAnswer = 100 * time.Millisecond
	// slowHold is how long a slow call counts without a newer one.
	slowHold = time.Second
	// maxCalls is the maximum number of calls that are followed at a time.
	maxCalls = 64
)

// Latency tells from a node's own calls whether the store is slow. The zero value knows of no call.
type Latency struct {
	// calls are the times at which the calls that have no answer were sent, by number.
	calls map[int64]time.Duration
	last  int64
	// slowSent and slowSeen are when the newest slow call was sent, and when its answer or its
	// failure was seen.
	slowSent, slowSeen time.Duration
	sawSlow            bool
	// answeredSlowly: that call was answered.
	answeredSlowly bool
	// fastSent is when the newest call that was answered fast was sent.
	fastSent time.Duration
	sawFast  bool
}

// Sent records that a call was sent and returns its number.
func (l *Latency) Sent(now time.Duration) int64 {
	if l.calls == nil {
		l.calls = make(map[int64]time.Duration)
	}
	l.last++
	if len(l.calls) < maxCalls {
		l.calls[l.last] = now
	}
	return l.last
}

// Done records the end of a call. A call that was not answered can show that the store is slow, but
// not that it is fast: a refused connection ends at once.
func (l *Latency) Done(call int64, now time.Duration, answered bool) {
	sent, known := l.calls[call]
	if !known {
		return
	}
	delete(l.calls, call)
	switch took := now - sent; {
	case took >= SlowAnswer && (!l.sawSlow || sent >= l.slowSent):
		l.slowSent, l.slowSeen, l.sawSlow, l.answeredSlowly = sent, now, true, answered
	case took <= FastAnswer && answered && (!l.sawFast || sent > l.fastSent):
		l.fastSent, l.sawFast = sent, true
	}
}

// Slow reports whether a call has taken too long lately, or is taking too long, and none that was
// sent after it was answered fast.
func (l *Latency) Slow(now time.Duration) bool {
	if l.sawSlowCall(now) {
		return true
	}
	for _, sent := range l.calls {
		if now-sent >= SlowAnswer && !l.FastSince(sent) {
			return true
		}
	}
	return false
}

// AnsweringSlowly reports whether a call has taken too long lately and was answered.
func (l *Latency) AnsweringSlowly(now time.Duration) bool {
	return l.sawSlowCall(now) && l.answeredSlowly
}

func (l *Latency) sawSlowCall(now time.Duration) bool {
	return l.sawSlow && now-l.slowSeen < slowHold && !l.FastSince(l.slowSent)
}

// FastSince reports whether a call that was sent after a time was answered fast.
func (l *Latency) FastSince(t time.Duration) bool { return l.sawFast && l.fastSent > t }
