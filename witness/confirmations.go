package witness

import (
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// maxConfirmedEpochs limits the epochs of a cell of which the last confirmation is kept.
const maxConfirmedEpochs = 16

// Answer is the answer of a process to a call that asks it to confirm an owner.
type Answer struct {
	Confirmed bool
	// Leaving: the process that was called has ended, or is being stopped.
	Leaving bool
	// Report is the number of the newest report of the owner that the process holds, 0 in
	// answers of earlier versions. Known are the workers that it knows.
	Report int64
	Known  Known
}

// LastAnswer says how long ago a process last confirmed an owner.
type LastAnswer struct {
	// Never: it has not confirmed the owner.
	Never bool
	Age   time.Duration
	// Report is the number of the newest report of the named epoch that the process holds, or
	// 0.
	Report int64
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
	// reports are the newest reports of leases of the epochs in at.
	reports map[int64]*heldReport
}

// NewConfirmations returns the confirmations of a process that begins now.
func NewConfirmations(process int64, now time.Duration) *Confirmations {
	return &Confirmations{process: process, startedAt: now, at: make(map[int64]time.Duration), reports: make(map[int64]*heldReport)}
}

// Confirm answers a call that asks a process to confirm the owner of an epoch, and to keep its
// report, which is nil in calls of earlier versions. It is not confirmed once a successor has
// asked for it, nor in place of an earlier process, which may have been asked.
func (c *Confirmations) Confirm(process, epoch int64, report *Report, now time.Duration) Answer {
	if process != c.process {
		return Answer{Leaving: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch <= max(c.barred, c.forgottenEpoch) {
		return Answer{}
	}
	answer := Answer{Confirmed: true}
	answer.Report, answer.Known = c.keep(epoch, report, now)
	c.confirm(epoch, now)
	return answer
}

// keep keeps a report of an epoch, and returns the number of the newest one and the workers that
// are known.
func (c *Confirmations) keep(epoch int64, report *Report, now time.Duration) (int64, Known) {
	if c.reports[epoch] == nil {
		c.reports[epoch] = &heldReport{}
	}
	held := c.reports[epoch]
	if report != nil {
		held.update(report, now)
	}
	return held.number, held.known()
}

// LastConfirmed answers a call that asks when a process last confirmed the owner of an epoch,
// or of one before it, and confirms none of these any more. An earlier process may have
// confirmed it until this one began.
func (c *Confirmations) LastConfirmed(process, epoch int64, now time.Duration) LastAnswer {
	if process != c.process {
		return LastAnswer{Age: now - c.startedAt}
	}
	last, confirmed, report := c.last(epoch)
	return LastAnswer{Never: !confirmed, Age: now - last, Report: report}
}

// LastReport returns the number of the newest report of the owner of an epoch that a process
// holds, and the time until the leases of the workers in it have expired. The number is 0 if it
// holds none, or confirms the owner still. No newer report replaces it.
func (c *Confirmations) LastReport(process, epoch int64, now time.Duration) (int64, map[workload.Incarnation]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.reports[epoch]
	if process != c.process || held == nil || epoch > c.barred {
		return 0, nil
	}
	return held.number, held.leases(now)
}

// confirm notes that the owner of an epoch is confirmed.
func (c *Confirmations) confirm(epoch int64, now time.Duration) {
	c.at[epoch] = max(c.at[epoch], now)
	if len(c.at) > maxConfirmedEpochs {
		oldest := epoch
		for other := range c.at {
			oldest = min(oldest, other)
		}
		c.forgottenEpoch, c.forgotten = oldest, max(c.forgotten, c.at[oldest])
		delete(c.at, oldest)
		delete(c.reports, oldest)
	}
}

// last returns when an epoch, or one before it, was last confirmed, and bars them. confirmed is
// false if none was. report is the number of the epoch's newest report, or 0.
func (c *Confirmations) last(epoch int64) (last time.Duration, confirmed bool, report int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.barred = max(c.barred, epoch)
	last, confirmed = c.forgotten, c.forgottenEpoch > 0
	if held := c.reports[epoch]; held != nil {
		report = held.number
	}
	for other, at := range c.at {
		if other <= epoch {
			last, confirmed = max(last, at), true
		}
	}
	return last, confirmed, report
}
