package dispatchtest

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// fingerprint describes a state, so that a state that was seen before can be left out. Times
// are rounded, numbers of epochs and runs replaced by whether they are the newest, and the
// two workers interchangeable.
func (c *World) fingerprint() string {
	l := ledger.New()
	for _, r := range c.log {
		l.Apply(r)
	}
	round := func(d time.Duration) int64 {
		return int64(max(0, d)+250*time.Millisecond) / int64(500*time.Millisecond)
	}
	owners := ""
	var leases []map[workload.Incarnation]dispatch.LeaseExpiry
	for o, n := c.owner, 0; o != nil && n < 3; o, n = o.previous, n+1 {
		owners += fmt.Sprint("|", o.told, o.ended, o.killed, o.lost, o.node == c.owner.node, o.node.storeless, len(o.queue), o.unanswered, len(o.node.ends) > 0, round(c.Now-o.joinedAt), round(min(c.Now-o.openedAt, authority)), o.previousSole, c.witnessState(o, round))
		if o.ended {
			leases = append(leases, o.leases)
			continue
		}
		leases = append(leases, o.machine.Leases(c.Now))
		longest := time.Duration(0)
		for _, expiry := range leases[n] {
			longest = max(longest, expiry.All)
		}
		d := o.machine.Dump()
		d.Epoch, d.LongestSilenceMillis, d.StartLimit = 0, d.LongestSilenceMillis/500, 0
		text, _ := json.Marshal(d)
		owners += string(text) + fmt.Sprint(round(longest))
	}
	var workers []string
	for _, w := range c.workers {
		text := fmt.Sprint(w.Up, w.link, len(w.held), w.Info.Draining, w.Epoch-c.owner.epoch, c.Now < w.listedUntil, round(w.deadline-w.Clock(c.Now)), len(w.Ends), round(w.waitUntil-c.Now), round(w.leavesAt-c.Now))
		for _, n := range c.nodes {
			text += fmt.Sprint(n == c.owner.node, n.cutFrom[w.index])
		}
		for _, e := range w.Ends {
			text += fmt.Sprint(e.Task, e.Outcome, w.Voided[e.Sequence])
		}
		for _, id := range c.Tasks {
			t := l.Find(id.Submission).Task(id)
			text += fmt.Sprint(t.Done, t.Open, t.Suspect, t.Open && t.PlacedOn == w.Info.Incarnation, w.Runs[workload.RunID{Task: id, Run: t.Run}] != nil)
		}
		for _, leases := range leases {
			text += fmt.Sprint("/", round(leases[w.Info.Incarnation].All), round(leases[w.Info.Incarnation].Own))
		}
		for o, n := c.owner, 0; o != nil && n < 3; o, n = o.previous, n+1 {
			text += fmt.Sprint("r", c.workerLimit(o, w, round), c.heldReports(o, w.Info.Incarnation, round))
		}
		for _, s := range l.Silences(w.Info.Incarnation) {
			text += fmt.Sprint("s", round(s.Expiry), s.NextEpoch > 0, s.NextEpoch > 0 && round(c.owner.node.age(s.NextEpoch, c.Now)) > 0)
		}
		workers = append(workers, text)
	}
	slices.Sort(workers)
	return fmt.Sprint(c.store, c.witnessLinks, c.lateAnswers, l.Owner().Sole, owners, workers)
}

// witnessState describes what an owner knows of its witnesses, and of those of its predecessor.
func (c *World) witnessState(o *owner, round func(time.Duration) int64) string {
	limit := o.witnesses.LeaseLimit(c.Now, leaseDuration)
	out := fmt.Sprint(o.called, o.handingOver, round(min(c.Now-o.confirmedAt, authority)), round(min(limit, 2*leaseDuration)), o.node.witnessesCut)
	for _, w := range c.witnesses {
		out += fmt.Sprint(w.process > witnessCount, round(min(c.Now-w.startedAt, authority)))
	}
	if o.inquiry != nil {
		out += fmt.Sprint(o.inquiry.answered)
	}
	return out
}

// workerLimit describes the limit of the leases that an owner may grant a worker.
func (c *World) workerLimit(o *owner, w *linkedWorker, round func(time.Duration) int64) string {
	limit, limited := o.witnesses.WorkerLimit(w.Info.Incarnation)
	return fmt.Sprint(limited, round(limit-c.Now))
}

// heldReports describes what the witnesses hold of the leases of a worker by an owner's reports.
func (c *World) heldReports(o *owner, worker workload.Incarnation, round func(time.Duration) int64) string {
	out := ""
	for _, w := range c.witnesses {
		at, reported := w.held[o.epoch][worker]
		out += fmt.Sprint(reported, round(at-c.Now))
	}
	return out
}
