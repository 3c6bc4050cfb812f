package dispatchtest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	// stepTime is the time that passes after an event, waitTime that of an event without
	// any other effect.
	stepTime = 400 * time.Millisecond
	waitTime = 2400 * time.Millisecond
	// restartTime is the time for which a worker that restarts is down.
	restartTime = 250 * time.Millisecond
	// drainTime is the time from the announcement of a worker to its end.
	drainTime = 2 * time.Second
)

// Names of events with which courses can begin, of the first worker (w0), the other one (w1),
// the owner and the store.
const (
	TimePasses     = "time passes"
	WorkerSilent   = "w0 is silent, or not any more"
	WorkerCrash    = "w0 crashes, or begins a new life"
	OtherSilent    = "w1 is silent, or not any more"
	OtherCrash     = "w1 crashes, or begins a new life"
	OwnerStoreless = "the owner is cut off from the store and the other node"
	OwnerIsland    = "the owner and w0 are cut off from all others"
	RunEnds        = "run of s0 ends"
	CutsEnd        = "the cuts end"
	Takeover       = "takeover"
	StoreNoAnswers = "the store loses answers, or not any more"
	PowerLoss      = "the owner's VM loses power"
	OwnerKilled    = "the owner is killed"
	firstCancelled = "s0 and s1 are cancelled"
)

// Names of events of the witnesses (v0, v1 and v2).
const (
	WitnessRestart = "a new process replaces v1"
	WitnessesLate  = "answers of witnesses are late, or not any more"
	WitnessLinks   = "owners reach only v0 and v1, then only v2, then all witnesses"
	OwnerOutpost   = "the owner and w0 are cut off from all others but v1 and v2, the other node from v2"
)

// event is something that the environment does. It reports whether it can happen.
type event struct {
	name string
	do   func(c *World) bool
}

// witnessEvents returns the events of courses that are about witnesses: those beside which a
// successor depends on them.
func witnessEvents() []event {
	all := []event{
		{WitnessRestart, func(c *World) bool { c.startWitness(1); return true }},
		{WitnessesLate, func(c *World) bool { c.lateAnswers = !c.lateAnswers; return true }},
		{WitnessLinks, func(c *World) bool { c.witnessLinks = (c.witnessLinks + 1) % linkStates; return true }},
		{OwnerOutpost, (*World).cutOutpost},
	}
	for _, ev := range generalEvents() {
		if slices.Contains([]string{TimePasses, WorkerSilent, OwnerStoreless, OwnerIsland, CutsEnd, Takeover, PowerLoss, OwnerKilled}, ev.name) {
			all = append(all, ev)
		}
	}
	return all
}

// generalEvents returns the events of all other courses, in an order that does not depend on
// the run.
func generalEvents() []event {
	all := []event{{TimePasses, func(c *World) bool {
		c.Run(waitTime - stepTime)
		return true
	}}}
	add := func(name string, do func(c *World) bool) { all = append(all, event{name, do}) }
	for i := range 2 {
		for link, name := range map[linkState]string{linkCut: "is silent", linkMute: "loses answers", linkLate: "gets calls late"} {
			add(fmt.Sprintf("w%d %s, or not any more", i, name), func(c *World) bool { return c.changeLink(c.workers[i], link) })
		}
		add(fmt.Sprintf("w%d crashes, or begins a new life", i), func(c *World) bool { return c.crash(c.workers[i]) })
		add(fmt.Sprintf("w%d restarts under its id", i), func(c *World) bool { return c.restart(c.workers[i]) })
		add(fmt.Sprintf("w%d drains, or leaves", i), func(c *World) bool { return c.leave(c.workers[i]) })
		add(fmt.Sprintf("the owner and w%d are cut off from all others", i), func(c *World) bool { return c.isolate(c.owner.node, i) })
		add(fmt.Sprintf("run of s%d ends", i), func(c *World) bool { return c.endRun(i) })
	}
	add(OwnerStoreless, func(c *World) bool { return c.isolate(c.owner.node, -1) })
	add(CutsEnd, (*World).endCuts)
	for link, name := range map[linkState]string{linkCut: "is away", linkMute: "loses answers"} {
		add("the store "+name+", or not any more", func(c *World) bool { return c.changeStore(link) })
	}
	add(Takeover, (*World).give)
	add(OwnerKilled, func(c *World) bool { return c.kill(false) })
	add(PowerLoss, func(c *World) bool { return c.kill(true) })
	slices.SortStableFunc(all, func(a, b event) int { return strings.Compare(a.name, b.name) })
	return all
}

func (c *World) changeLink(w *linkedWorker, link linkState) bool {
	if !w.Up || w.link != linkOK && w.link != link {
		return false
	}
	w.link ^= link
	for _, do := range w.held {
		c.after(stepTime+50*time.Millisecond, do)
	}
	w.held = nil
	return true
}

// down ends a worker's incarnation without an announcement.
func (c *World) down(w *linkedWorker) {
	c.Crashes++
	w.Up, w.listedUntil = false, c.Now+1500*time.Millisecond
}

func (c *World) crash(w *linkedWorker) bool {
	if w.Up {
		c.down(w)
		return true
	}
	w.Reboot(c.Now)
	w.Info.Worker, w.Info.Draining = fmt.Sprintf("w%d.%d", w.index, w.Info.StartMillis), false
	w.link, w.held = linkOK, nil
	return true
}

// restart begins a new incarnation of a worker with the same id after a while in which it is down.
func (c *World) restart(w *linkedWorker) bool {
	if !w.Up || w.Info.Draining {
		return false
	}
	c.down(w)
	c.after(restartTime, func() { w.Reboot(c.Now) })
	return true
}

func (c *World) leave(w *linkedWorker) bool {
	switch {
	case !w.Up || w.Info.Draining && c.Now < w.leavesAt:
		return false
	case w.Info.Draining:
		w.Up = false
		return true
	}
	w.Info.Draining, w.leavesAt = true, c.Now+drainTime
	return true
}

// isolate cuts a node off from the store and the other node. If worker is not negative, it
// is on the node's side of the cut, and the other worker on the other side.
func (c *World) isolate(n *node, worker int) bool {
	if c.nodes[0].storeless || c.nodes[1].storeless || c.owner.ended {
		return false
	}
	n.storeless, n.witnessesCut = true, [witnessCount]bool{true, true, true}
	for _, other := range c.nodes {
		if worker >= 0 {
			other.cutFrom[worker], other.cutFrom[1-worker] = other != n, other == n
		}
	}
	return true
}

// cutOutpost cuts the owner and the first worker off from all others but a majority of the
// witnesses, and the other node off from one of these: each reaches a majority, and both reach
// one process.
func (c *World) cutOutpost() bool {
	if !c.isolate(c.owner.node, 0) {
		return false
	}
	c.owner.node.witnessesCut = [witnessCount]bool{true}
	c.nodes[1-c.owner.node.index].witnessesCut = [witnessCount]bool{2: true}
	return true
}

func (c *World) endCuts() bool {
	if !c.nodes[0].storeless && !c.nodes[1].storeless {
		return false
	}
	for _, n := range c.nodes {
		n.storeless, n.cutFrom, n.witnessesCut = false, [2]bool{}, [witnessCount]bool{}
	}
	return true
}

func (c *World) changeStore(link linkState) bool {
	if c.store != linkOK && c.store != link {
		return false
	}
	c.store ^= link
	return true
}

// give moves the cell. An owner that is cut off goes on.
func (c *World) give() bool {
	if c.store == linkCut || c.owner.ended {
		return false
	}
	if !c.owner.node.storeless {
		c.handOver()
	}
	return c.takeOver()
}

// kill ends the newest owner's process. lost: nobody can tell that it has ended.
func (c *World) kill(lost bool) bool {
	o := c.owner
	if o.ended || o.node.storeless {
		return false
	}
	o.ended, o.endedAt, o.killed, o.lost = true, c.Now, !lost, lost
	o.node.seen, o.node.ends = map[int64]time.Duration{o.epoch: c.Now}, nil
	return true
}

// endRun ends the run of a task: a finite one is done.
// cancelFirst cancels the first two submissions. Only the other ones are judged from then on.
func (c *World) cancelFirst() bool {
	if len(c.Tasks) < 3 || !c.reachesStore(c.owner.node) || c.owner.ended {
		return false
	}
	for _, id := range c.Tasks[:2] {
		record := ledger.CancelledRecord(id.Submission)
		c.log = append(c.log, record)
		c.step(c.owner, dispatch.EntryChanged{Entry: c.owner.ledger.Apply(record)})
	}
	c.Tasks, c.steps = c.Tasks[2:], c.steps[2:]
	return true
}

func (c *World) endRun(i int) bool {
	for _, w := range c.workers {
		for _, r := range w.sorted() {
			if !w.Up || i >= len(c.Tasks) || r.ID.Task != c.Tasks[i] {
				continue
			}
			outcome := workload.Succeeded
			if c.steps[i].LongRunning {
				outcome = workload.Errored
			}
			w.end(r, outcome)
			return true
		}
	}
	return false
}

func (w *linkedWorker) usable() bool { return w.Up && w.link == linkOK && !w.Info.Draining }
