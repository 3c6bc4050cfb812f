package capacity

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/writer"
)

// readBackDelays sums the times from submissions to their read-back.
type readBackDelays struct {
	pending sync.WaitGroup
	sum     atomic.Int64
	count   atomic.Int64
}

// add waits for a submission in a goroutine of its own.
func (w *readBackDelays) add(s *writer.Submission) {
	begin := time.Now()
	w.pending.Go(func() {
		<-s.Done()
		w.sum.Add(int64(time.Since(begin)))
		w.count.Add(1)
	})
}

// mean waits for all submissions and returns the mean delay.
func (w *readBackDelays) mean() time.Duration {
	w.pending.Wait()
	return time.Duration(w.sum.Load() / max(1, w.count.Load()))
}
