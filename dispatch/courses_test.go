package dispatch_test

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

var courseDepth = flag.Int("courses.depth", 2, "number of events in the courses of takeovers, leases and ends")

const (
	// courseStep is the time that passes after an event, courseWait that of an event without
	// any other effect.
	courseStep = 400 * time.Millisecond
	courseWait = 2400 * time.Millisecond
	// courseSlack is the time in which an owner finds a worker silent, places a task again and
	// starts it.
	courseSlack = 1200 * time.Millisecond
)

// Names of events with which courses begin.
const (
	courseTime      = "time passes"
	courseSilent    = "w0 is silent, or not any more"
	courseCrash     = "w0 crashes, or begins a new life"
	courseOther     = "w1 crashes, or begins a new life"
	courseStoreless = "the owner is cut off from the store and the other node"
	courseIsland    = "the owner and w0 are cut off from all others"
	courseCutsEnd   = "the cuts end"
	courseTakeover  = "takeover"
	courseNoAnswers = "the store loses answers, or not any more"
)

// courseEvent is something that the environment does. It reports whether it can happen.
type courseEvent struct {
	name string
	do   func(c *courseWorld) bool
}

func courseEvents() []courseEvent {
	all := []courseEvent{{courseTime, func(c *courseWorld) bool {
		c.run(courseWait - courseStep)
		return true
	}}}
	add := func(name string, do func(c *courseWorld) bool) { all = append(all, courseEvent{name, do}) }
	for i := range 2 {
		for link, name := range map[courseLink]string{linkCut: "is silent", linkMute: "loses answers", linkLate: "gets calls late"} {
			add(fmt.Sprintf("w%d %s, or not any more", i, name), func(c *courseWorld) bool { return c.changeLink(c.workers[i], link) })
		}
		add(fmt.Sprintf("w%d crashes, or begins a new life", i), func(c *courseWorld) bool { return c.crash(c.workers[i]) })
		add(fmt.Sprintf("w%d drains, or leaves", i), func(c *courseWorld) bool { return c.leave(c.workers[i]) })
		add(fmt.Sprintf("the owner and w%d are cut off from all others", i), func(c *courseWorld) bool { return c.isolate(c.owner.node, i) })
		add(fmt.Sprintf("run of s%d ends", i), func(c *courseWorld) bool { return c.endRun(i) })
	}
	add(courseStoreless, func(c *courseWorld) bool { return c.isolate(c.owner.node, -1) })
	add(courseCutsEnd, (*courseWorld).endCuts)
	for link, name := range map[courseLink]string{linkCut: "is away", linkMute: "loses answers"} {
		add("the store "+name+", or not any more", func(c *courseWorld) bool { return c.changeStore(link) })
	}
	add(courseTakeover, (*courseWorld).give)
	add("the owner is killed", func(c *courseWorld) bool { return c.kill(false) })
	add("the owner's VM loses power", func(c *courseWorld) bool { return c.kill(true) })
	slices.SortStableFunc(all, func(a, b courseEvent) int { return strings.Compare(a.name, b.name) })
	return all
}

func (c *courseWorld) changeLink(w *courseWorker, link courseLink) bool {
	if !w.up || w.link != linkOK && w.link != link {
		return false
	}
	w.link ^= link
	for _, do := range w.held {
		c.after(courseStep+50*time.Millisecond, do)
	}
	w.held = nil
	return true
}

func (c *courseWorld) crash(w *courseWorker) bool {
	if w.up {
		w.up, w.listedUntil = false, c.now+1500*time.Millisecond
		return true
	}
	w.reboot(c.now)
	w.info.Worker, w.info.Draining = fmt.Sprintf("w%d.%d", w.index, w.info.StartMillis), false
	w.link, w.held = linkOK, nil
	return true
}

func (c *courseWorld) leave(w *courseWorker) bool {
	switch {
	case !w.up:
		return false
	case w.info.Draining:
		w.up = false
	}
	w.info.Draining = true
	return true
}

// isolate cuts a node off from the store and the other node. If worker is not negative, it
// is on the node's side of the cut, and the other worker on the other side.
func (c *courseWorld) isolate(n *courseNode, worker int) bool {
	if c.nodes[0].storeless || c.nodes[1].storeless || c.owner.ended {
		return false
	}
	n.storeless = true
	for _, other := range c.nodes {
		if worker >= 0 {
			other.cutFrom[worker], other.cutFrom[1-worker] = other != n, other == n
		}
	}
	return true
}

func (c *courseWorld) endCuts() bool {
	if !c.nodes[0].storeless && !c.nodes[1].storeless {
		return false
	}
	for _, n := range c.nodes {
		n.storeless, n.cutFrom = false, [2]bool{}
	}
	return true
}

func (c *courseWorld) changeStore(link courseLink) bool {
	if c.store != linkOK && c.store != link {
		return false
	}
	c.store ^= link
	return true
}

// give moves the cell. An owner that is cut off goes on.
func (c *courseWorld) give() bool {
	if c.store == linkCut || c.owner.ended {
		return false
	}
	if !c.owner.node.storeless {
		c.handOver()
	}
	return c.takeOver()
}

// kill ends the newest owner's process. lost: nobody can tell that it has ended.
func (c *courseWorld) kill(lost bool) bool {
	o := c.owner
	if o.ended || o.node.storeless {
		return false
	}
	o.ended, o.endedAt, o.killed, o.lost = true, c.now, !lost, lost
	o.node.seen = map[int64]time.Duration{o.epoch: c.now}
	return true
}

// endRun ends the run of a task: a finite one is done.
func (c *courseWorld) endRun(i int) bool {
	for _, w := range c.workers {
		for _, r := range w.sorted() {
			if !w.up || i >= len(c.tasks) || r.id.Task != c.tasks[i] {
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

// fingerprint describes a state, so that a state that was seen before can be left out. Times
// are rounded, numbers of epochs and runs replaced by whether they are the newest, and the
// two workers interchangeable.
func (c *courseWorld) fingerprint() string {
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
		owners += fmt.Sprint("|", o.told, o.ended, o.killed, o.lost, o.node == c.owner.node, o.node.storeless, len(o.queue), o.unanswered, round(c.now-o.joinedAt), round(min(c.now-o.openedAt, courseAuthority)), o.previousSole)
		if o.ended {
			leases = append(leases, o.leases)
			continue
		}
		leases = append(leases, o.machine.Leases(c.now))
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
		text := fmt.Sprint(w.up, w.link, len(w.held), w.info.Draining, w.epoch-c.owner.epoch, c.now < w.listedUntil, round(w.deadline-w.clock(c.now)), len(w.ends), round(w.waitUntil-c.now))
		for _, n := range c.nodes {
			text += fmt.Sprint(n == c.owner.node, n.cutFrom[w.index])
		}
		for _, e := range w.ends {
			text += fmt.Sprint(e.Task, e.Outcome, w.voided[e.Sequence])
		}
		for _, id := range c.tasks {
			t := l.Find(id.Submission).Task(id)
			text += fmt.Sprint(t.Done, t.Open, t.Suspect, t.Open && t.PlacedOn == w.info.Incarnation, w.runs[workload.RunID{Task: id, Run: t.Run}] != nil)
		}
		for _, leases := range leases {
			text += fmt.Sprint("/", round(leases[w.info.Incarnation].All), round(leases[w.info.Incarnation].Own))
		}
		for _, s := range l.Silences(w.info.Incarnation) {
			text += fmt.Sprint("s", round(s.Expiry), s.NextEpoch > 0, s.NextEpoch > 0 && round(c.owner.node.age(s.NextEpoch, c.now)) > 0)
		}
		workers = append(workers, text)
	}
	slices.Sort(workers)
	return fmt.Sprint(c.store, l.Owner().Sole, owners, workers)
}

func (w *courseWorker) usable() bool { return w.up && w.link == linkOK && !w.info.Draining }

// settle ends the faults, but for workers that are down or not reached as long as another one
// can take the tasks, and finds a task without a run after the bound.
func (c *courseWorld) settle() {
	c.endCuts()
	c.store = linkOK
	for _, w := range c.workers {
		if !c.workers[0].usable() && !c.workers[1].usable() {
			c.changeLink(w, w.link)
		}
	}
	if w := c.workers[1]; !w.usable() && !c.workers[0].usable() {
		w.up = false
		c.crash(w)
	}
	c.note("the faults end")
	for began := c.now; c.problem == ""; c.run(courseTick) {
		bound, waiting := began, ""
		for _, w := range c.workers {
			if !w.usable() {
				bound = max(bound, w.leaseEnd, w.waitUntil)
			}
		}
		for _, id := range c.tasks {
			if t := c.owner.ledger.Find(id.Submission).Task(id); !t.Done && c.runsOf(id) == 0 {
				waiting = id.Submission
			}
		}
		late := c.now - bound
		switch {
		case waiting == "" && (c.isCalm() || late >= courseSlack):
			return
		case late >= courseSlack:
			c.fail("%s has no run %v after the end of the faults and %v after the bound", waiting, c.now-began, late)
		}
	}
}

// isCalm reports whether nothing happens any more without a fault.
func (c *courseWorld) isCalm() bool {
	for o := c.owner.previous; o != nil; o = o.previous {
		if !o.ended {
			return false
		}
	}
	for _, w := range c.workers {
		if w.link != linkOK && len(w.runs)+len(w.held) > 0 {
			return false
		}
	}
	d := c.owner.machine.Dump()
	delete(d.Runs, "running")
	return c.owner.told && len(d.Runs) == 0 && d.AppendsInFlight == 0
}

// playCourse plays a course from the beginning, because a machine can't be copied. It returns nil if
// an event of the course is not possible.
func playCourse(events []courseEvent, course []byte, steps []workload.Step) *courseWorld {
	c := newCourseWorld(steps...)
	for _, n := range course {
		c.note("%s", events[n].name)
		if !events[n].do(c) {
			return nil
		}
		if c.run(courseStep); c.problem != "" {
			break
		}
	}
	return c
}

// exploreCourses plays all courses that go on from a first one with up to depth events, those
// with fewer events first, and none that goes on from a state which another one has reached.
func exploreCourses(t *testing.T, depth int, steps []workload.Step, first ...string) {
	t.Helper()
	events := courseEvents()
	var course []byte
	for _, name := range first {
		n := slices.IndexFunc(events, func(ev courseEvent) bool { return ev.name == name })
		course = append(course, byte(n))
	}
	began, courses, seen := time.Now(), 0, make(map[[sha256.Size]byte]bool)
	// visit plays a course and reports whether it reaches a new state.
	visit := func(course []byte) bool {
		c := playCourse(events, course, steps)
		if c == nil {
			return false
		}
		courses++
		if c.problem == "" {
			state := sha256.Sum256([]byte(c.fingerprint()))
			if seen[state] {
				return false
			}
			seen[state] = true
			c.settle()
		}
		if c.problem != "" {
			t.Fatalf("%s\n%s", c.problem, strings.Join(c.trace, "\n"))
		}
		return true
	}
	visit(course)
	frontier := [][]byte{course}
	for level := range depth {
		var next [][]byte
		for _, course := range frontier {
			for n := range events {
				if longer := append(slices.Clone(course), byte(n)); visit(longer) {
					next = append(next, longer)
				}
			}
		}
		t.Logf("up to %d events: %d states, %d courses, %v", level+1, len(seen), courses, time.Since(began).Round(time.Millisecond))
		frontier = next
	}
}

// Guards against two runs of a task, a start of a done task, and a task that waits for longer
// than the bound, on any course of takeovers, silent, crashing and leaving workers, late calls,
// lost answers and outages of the store.
func TestCoursesOfTakeoversLeasesAndEnds(t *testing.T) {
	finite := workload.Step{Tasks: 1, Request: courseRequest, Estimate: time.Hour}
	lasting := finite
	lasting.LongRunning = true
	for _, c := range []struct {
		name  string
		steps []workload.Step
		first []string
	}{
		{"lasting", []workload.Step{lasting}, nil},
		{"finite", []workload.Step{finite}, nil},
		{"both", []workload.Step{finite, lasting}, nil},
		{"worker recorded as silent", []workload.Step{lasting}, []string{courseSilent, courseTime}},
		{"silent worker heard again", []workload.Step{lasting}, []string{courseSilent, courseTime, courseSilent}},
		{"owner without the store", []workload.Step{finite}, []string{courseStoreless}},
		{"lease from an owner without the store", []workload.Step{lasting}, []string{courseSilent, courseTime, courseIsland, courseSilent}},
		{"recorded silence taken over", []workload.Step{lasting}, []string{courseSilent, courseTime, courseStoreless, courseSilent, courseTakeover, courseCutsEnd}},
		{"placement without an answer", []workload.Step{lasting}, []string{courseCrash, courseOther, courseTime, courseTime, courseNoAnswers, courseOther}},
	} {
		t.Run(c.name, func(t *testing.T) { exploreCourses(t, *courseDepth, c.steps, c.first...) })
	}
}
