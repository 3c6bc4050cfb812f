package witness

import (
	"sync"
	"time"
)

// maxConfirmedEpochs limits the epochs of a cell of which the last confirmation is kept.
const maxConfirmedEpochs = 16

// Answer is the answer of a process to a call that asks it to confirm an owner.
type Answer struct {
	Confirmed bool
	// Leaving: the process that was called has ended, or is being stopped.
	Leaving bool
}

// LastAnswer says how long ago a process last confirmed an owner.
type LastAnswer struct {
	// Never: it has not confirmed the owner.
	Never bool
	Age   time.Duration
}

// Confirmations are the times at which a process confirmed that the owners of a cell are
// alive.
type Confirmations struct {
	// process is the number of the process, which began at startedAt.
	process   int64
	startedAt time.Duration

	mu sync.Mutex
	// barred: no epoch up to this one is confirmed any more.
	barred int64
	// at is when an epoch was last confirmed. forgotten has the latest time of the epochs up
	// to forgottenEpoch, which are not in it.
	at             map[int64]time.Duration
	forgottenEpoch int64
	forgotten      time.Duration
}

// NewConfirmations returns the confirmations of a process that begins now.
func NewConfirmations(process int64, now time.Duration) *Confirmations {
	return &Confirmations{process: process, startedAt: now, at: make(map[int64]time.Duration)}
}

// Confirm answers a call that asks a process to confirm the owner of an epoch. It is not
// confirmed once a successor has asked for it, nor in place of an earlier process, which may
// have been asked.
func (c *Confirmations) Confirm(process, epoch int64, now time.Duration) Answer {
	if process != c.process {
		return Answer{Leaving: true}
	}
	return Answer{Confirmed: c.confirm(epoch, now)}
}

// LastConfirmed answers a call that asks when a process last confirmed the owner of an epoch,
// or of one before it, and confirms none of these any more. An earlier process may have
// confirmed it until this one began.
func (c *Confirmations) LastConfirmed(process, epoch int64, now time.Duration) LastAnswer {
	if process != c.process {
		return LastAnswer{Age: now - c.startedAt}
	}
	last, confirmed := c.last(epoch)
	return LastAnswer{Never: !confirmed, Age: now - last}
}

// confirm confirms the owner of an epoch, unless a successor has asked for it.
func (c *Confirmations) confirm(epoch int64, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch <= max(c.barred, c.forgottenEpoch) {
		return false
	}
	c.at[epoch] = max(c.at[epoch], now)
	if len(c.at) > maxConfirmedEpochs {
		oldest := epoch
		for other := range c.at {
			oldest = min(oldest, other)
		}
		c.forgottenEpoch, c.forgotten = oldest, max(c.forgotten, c.at[oldest])
		delete(c.at, oldest)
	}
	return true
}

// last returns when an epoch, or one before it, was last confirmed, and bars them. It returns
// false if none was.
func (c *Confirmations) last(epoch int64) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.barred = max(c.barred, epoch)
	last, confirmed := c.forgotten, c.forgottenEpoch > 0
	for other, at := range c.at {
		if other <= epoch {
			last, confirmed = max(last, at), true
		}
	}
	return last, confirmed
}
