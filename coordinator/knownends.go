package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// knownEnds are the ends of runs that this node saw as an owner and could not record, or
// that other nodes told it. They are passed on to every later owner of the cell for
// knownEndRetention: by then the leases that an owner would wait for have expired.
type knownEnds struct {
	mu sync.Mutex
	// since is when each end was first known to a node, on this node's monotonic clock.
	since map[dispatch.KnownEnd]time.Duration
	// version is the number of changes.
	version int64
	// toldEpoch is the epoch whose owner was told all ends of toldVersion.
	toldEpoch, toldVersion int64
}

// add adds ends that have been known since a time.
func (k *knownEnds) add(since time.Duration, ends ...dispatch.KnownEnd) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, end := range ends {
		if _, known := k.since[end]; known {
			continue
		}
		if k.since == nil {
			k.since = make(map[dispatch.KnownEnd]time.Duration)
		}
		k.since[end] = since
		k.version++
	}
	k.forgetExcess(len(k.since) - dispatch.MaxKnownEnds)
}

// forgetExcess removes ends, those that have been known for the longest time first, those of
// long-running tasks last.
func (k *knownEnds) forgetExcess(excess int) {
	if excess <= 0 {
		return
	}
	all := make([]dispatch.KnownEnd, 0, len(k.since))
	for end := range k.since {
		all = append(all, end)
	}
	slices.SortFunc(all, func(a, b dispatch.KnownEnd) int {
		switch {
		case a.LongRunning == b.LongRunning:
			return cmp.Compare(k.since[a], k.since[b])
		case a.LongRunning:
			return 1
		}
		return -1
	})
	for _, end := range all[:excess] {
		delete(k.since, end)
	}
}

// newerThan returns the ends, and their version, if they have changed since an earlier one.
func (k *knownEnds) newerThan(version int64, now time.Duration) ([]dispatch.KnownEnd, int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == version {
		return nil, version
	}
	k.forgetExpired(now)
	out := make([]dispatch.KnownEnd, 0, len(k.since))
	for end := range k.since {
		out = append(out, end)
	}
	return out, k.version
}

func (k *knownEnds) forgetExpired(now time.Duration) {
	for end, since := range k.since {
		if now-since > knownEndRetention {
			delete(k.since, end)
		}
	}
}

// messages returns the ends for another node.
func (k *knownEnds) messages(now time.Duration) []*coordpb.KnownEnd {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forgetExpired(now)
	var out []*coordpb.KnownEnd
	for end, since := range k.since {
		task := end.Run.Task
		out = append(out, &coordpb.KnownEnd{
			Worker: end.Worker.Worker, Born: end.Worker.StartMillis,
			Submission: task.Submission, Occurrence: int32(task.Occurrence), Step: int32(task.Step), Index: int32(task.Index),
			Run: end.Run.Run, Outcome: int32(end.Outcome), Checkpoint: end.Checkpoint, AgeMs: (now - since).Milliseconds(),
			LongRunning: end.LongRunning,
		})
	}
	return out
}

// untold returns the ends for the owner of an epoch unless it was told them, and their
// version.
func (k *knownEnds) untold(epoch int64, now time.Duration) ([]*coordpb.KnownEnd, int64) {
	k.mu.Lock()
	version := k.version
	told := k.toldEpoch == epoch && k.toldVersion == version
	k.mu.Unlock()
	if told {
		return nil, version
	}
	return k.messages(now), version
}

func (k *knownEnds) told(epoch, version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.toldEpoch, k.toldVersion = epoch, version
}

// learnEnds stores ends that another node knows.
func (c *cell) learnEnds(messages []*coordpb.KnownEnd) {
	now := c.node.monotonicNow()
	for _, e := range messages {
		task := workload.TaskID{Submission: e.Submission, Occurrence: int(e.Occurrence), Step: int(e.Step), Index: int(e.Index)}
		c.knownEnds.add(now-time.Duration(e.AgeMs)*time.Millisecond, dispatch.KnownEnd{
			Worker: workload.Incarnation{Worker: e.Worker, StartMillis: e.Born}, Run: workload.RunID{Task: task, Run: e.Run},
			Outcome: workload.Outcome(e.Outcome), Checkpoint: e.Checkpoint, LongRunning: e.LongRunning,
		})
	}
}

// applyKnownEnds passes ends that are new to the machine to it.
func (o *ownership) applyKnownEnds(ctx context.Context) {
	ends, version := o.knownEnds.newerThan(o.endsVersion, o.node.monotonicNow())
	if o.endsVersion = version; len(ends) > 0 {
		o.step(ctx, dispatch.EndsLearned{Ends: ends})
	}
}
