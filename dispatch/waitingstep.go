package dispatch

import (
	"cmp"

	"github.com/cactusreel/cactusreel/ledger"
)

// waitingStep is a step of an occurrence that has tasks to place.
type waitingStep struct {
	entry      *ledger.Entry
	occurrence int
	stepIndex  int
	// state is the ledger's state of the step. Its waiting tasks are determined when
	// the step is placed.
	state      *ledger.Step
	image      imageID
	priority   int
	timeliness timeliness
	// remaining is the relative remaining work of the occurrence, and 0 for a
	// long-running step: see workIndex.
	remaining float64
	// due is the wall-clock time at which the objective is reached, in Unix
	// nanoseconds.
	due int64
	// favoured: the submission is one of the largest of its queue, and its turn has come
	// (favourLargest).
	favoured bool
	// shared: it is placed before long-running steps, because its submission's size is below its share
	// of the room (roomShares).
	shared bool
	// leaving are the runs on draining workers whose tasks need a place. If it isn't nil, the
	// tasks that wait for a placement are those of another waitingStep.
	leaving []*run
	// yields: all of its waiting tasks leave room to finite steps (finiteRoom).
	yields bool
	// beyondShare: its tasks would have more than their tenant's share of the room (markBeyondShares).
	beyondShare bool
	// beyondRate: its submission is beyond what its tenant may send in a second (rateAccepted).
	beyondRate bool
	// level is what the tenant of such a step has and is given before it, relative to its weight.
	level float64
	// claimsOnly: its tenant's cap is kept for a step before, so that only tasks that claim room are placed.
	claimsOnly bool
	// suspect: the tasks to place are suspected of a crash.
	suspect bool
}

// isWaiting reports whether a task has no run and may be placed here.
func (m *Machine) isWaiting(t *ledger.Task) bool {
	return !t.Done && !t.Away && m.active[t.ID] == nil && !m.recordingEnds[t.ID] && !m.releasing[t.ID]
}

// turn ranks steps of one priority by what their tenants may have: those beyond a share come after the
// others, then those beyond a rate, and last those that can be of no use any more.
func (ws *waitingStep) turn() int {
	switch {
	case ws.timeliness == veryLate:
		return 3
	case ws.beyondRate:
		return 2
	case ws.beyondShare:
		return 1
	}
	return 0
}

// compareUrgency orders waiting steps, the most urgent first, and those beyond their tenants' shares
// after the others of their priority, first those of tenants that have the least for their weight. Among steps of one
// priority and timeliness, those whose occurrence has the least relative remaining
// work come first: a free core then completes the most submissions, and the work done
// for a submission that has begun counts in its favour. Long-running steps precede them
// in the order of their due times: their remaining work never decreases, so that the
// work which keeps arriving would overtake them without end.
func compareUrgency(a, b *waitingStep) int {
	switch {
	case a.priority != b.priority:
		return cmp.Compare(a.priority, b.priority)
	case a.turn() != b.turn():
		return cmp.Compare(a.turn(), b.turn())
	case a.level != b.level:
		return cmp.Compare(a.level, b.level)
	case a.timeliness != b.timeliness:
		return cmp.Compare(a.timeliness, b.timeliness)
	case a.remaining != b.remaining:
		return cmp.Compare(a.remaining, b.remaining)
	}
	return cmp.Compare(a.due, b.due)
}

// workIndex has the mean work of the live submissions of each queue.
type workIndex map[string]float64

func (m *Machine) newWorkIndex(live []*ledger.Entry) workIndex {
	type total struct {
		work  float64
		count int
	}
	totals := make(map[string]*total)
	var last *total
	for i, e := range live {
		if i == 0 || e.Queue != live[i-1].Queue {
			if last = totals[e.Queue]; last == nil {
				last = new(total)
				totals[e.Queue] = last
			}
		}
		last.work += m.expected(e).work
		last.count++
	}
	index := make(workIndex, len(totals))
	for queue, t := range totals {
		index[queue] = t.work / float64(t.count)
	}
	return index
}

// queueMeanWeight is the weight of the queue's mean work in workIndex.remaining. With
// a greater weight, small submissions overtake a large one that is half done.
const queueMeanWeight = 0.5

// favouredRemaining is the relative remaining work of favoured steps: they come after
// long-running ones and before the other finite steps.
const favouredRemaining = 1e-9

// remaining returns, for a step of an occurrence, the remaining work of the occurrence
// relative to its whole work and the weighted mean of its queue, a value from 0 to 1, or
// 0 if the step is long-running. The mean ranks small submissions before large ones, and
// bounds their advantage: a large submission that is half done comes before any that has
// not begun and is larger than the mean.
func (x workIndex) remaining(e *ledger.Entry, expected *expectation, o *ledger.Occurrence, step int) float64 {
	whole := expected.work + queueMeanWeight*x[e.Queue]
	if whole == 0 || e.Steps[step].LongRunning {
		return 0
	}
	return expected.remainingWork(o) / whole
}
