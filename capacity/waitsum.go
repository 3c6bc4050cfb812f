package capacity

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/writer"
)

// waitSum adds up how long submissions take to be read back.
type waitSum struct {
	pending sync.WaitGroup
	sum     atomic.Int64
	count   atomic.Int64
}

// add waits for a submission in the background.
func (w *waitSum) add(s *writer.Submission) {
	begin := time.Now()
	w.pending.Go(func() {
		<-s.Done()
		w.sum.Add(int64(time.Since(begin)))
		w.count.Add(1)
	})
}

// mean waits for all submissions and returns their mean time.
func (w *waitSum) mean() time.Duration {
	w.pending.Wait()
	return time.Duration(w.sum.Load() / max(1, w.count.Load()))
}
