package coordinator

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
)

// Reasons for which a call is refused.
const (
	// NoKey means that the call has no key in the form that callers use.
	NoKey = "no key"
	// UnknownKey means that no tenant of the manifest has its key.
	UnknownKey = "unknown key"
	// Hidden means that the submission is that of another tenant or to another queue.
	Hidden = "submission of another tenant or queue"
)

// refusalLogInterval is the least time between two lines about refused calls: callers without
// a key must not crowd out other lines.
const refusalLogInterval = time.Second

// refusedCalls counts refused calls between two lines of the log.
type refusedCalls struct {
	mu    sync.Mutex
	calls int
	// loggedAt is when the last line was written; logged says whether there was one.
	loggedAt time.Duration
	logged   bool
}

// ReportRefusedCall records that a call was refused for a reason.
func (n *Node) ReportRefusedCall(queue, reason string) {
	n.metrics.count("calls_refused", "reason", reason)
	calls := n.refusals.add(n.monotonicNow())
	if calls > 0 {
		n.logger.Log(logevent.CallsRefused, zap.String("queue", queue), zap.String("reason", reason), zap.Int("calls", calls))
	}
}

// add counts a call and returns the number of calls for a line of the log, or 0 if none is due.
func (r *refusedCalls) add(now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.logged && now-r.loggedAt < refusalLogInterval {
		return 0
	}
	calls := r.calls
	r.calls, r.loggedAt, r.logged = 0, now, true
	return calls
}
