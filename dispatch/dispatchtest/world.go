package dispatchtest

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Times of the modelled deployment. They keep the order of the real ones, so that few steps
// of a course pass each of them.
const (
	leaseDuration  = 4 * time.Second
	handoverLease  = 5 * time.Second
	leaseAuthority = 3 * time.Second
	authority      = 5 * time.Second
	// handOverInterval is the time between two extensions of the leases after an ownership.
	handOverInterval = time.Second
	callTimeout      = 500 * time.Millisecond
	// latestCall is the age from which a call is not carried out any more.
	latestCall = 9 * time.Second
	// Tick is the time between two steps of the processes' clocks.
	Tick    = 100 * time.Millisecond
	endless = 1000 * time.Hour
)

// TaskRequest is what each task requests; a worker has room for four.
var TaskRequest = hostapi.Resources{MilliCPU: 4000, MemoryMiB: 100}

// Checks judges what happens in a world. It reports a broken rule by World.Fail.
type Checks interface {
	// Advanced is called after each action in a world.
	Advanced(c *World)
	// Started is called when a worker has started a run.
	Started(c *World, run workload.RunID)
	// Acknowledged is called when the success of a run is acknowledged to its worker before
	// the worker's lease has expired.
	Acknowledged(c *World, run workload.RunID)
	// FaultsEnded is called when the faults have ended after a course.
	FaultsEnded(c *World)
}

// World is a cell with two nodes, two workers, three witnesses and a store in virtual time. Its
// environment is as free as the platform's: calls are lost, late or carried out without an
// answer, and an owner knows of its predecessors what it was told.
type World struct {
	// Now is the virtual time.
	Now time.Duration
	// Tasks has the task of each submission.
	Tasks []workload.TaskID
	// Trace tells what happened, a line each.
	Trace []string
	// Problem is the first broken rule.
	Problem string
	// Crashes counts the incarnations of workers that ended without an announcement.
	Crashes int

	queue   Timers
	checks  Checks
	steps   []workload.Step
	log     []*ledgerpb.Record
	store   linkState
	nodes   [2]*node
	workers [2]*linkedWorker
	owner   *owner
	// witnesses are processes that can witness for both nodes.
	witnesses [witnessCount]*witnessProcess
	// witnessLinks says which witnesses the owners reach. lateAnswers: answers of witnesses
	// arrive late.
	witnessLinks witnessLinks
	lateAnswers  bool
	// stopTime is how long stops take. requests are what the tasks of each submission request.
	stopTime time.Duration
	requests map[string]hostapi.Resources
	// ownedAt is when an owner could last append records.
	ownedAt time.Duration
}

// NewWorld returns a world with a submission of each step, a while after its first owner began.
func NewWorld(checks Checks, steps ...workload.Step) *World { return newWorld(checks, 0, steps) }

func newWorld(checks Checks, stopTime time.Duration, steps []workload.Step) *World {
	c := &World{Now: time.Minute, steps: steps, checks: checks, stopTime: stopTime, requests: make(map[string]hostapi.Resources)}
	for i := range c.nodes {
		c.nodes[i] = &node{index: i, seen: make(map[int64]time.Duration)}
		c.workers[i] = &linkedWorker{Worker: NewWorker(fmt.Sprintf("w%d", i), 16000), index: i}
		c.workers[i].slow, c.workers[i].StopTime, c.workers[i].LeaseLimit = 0.02, stopTime, handoverLease
	}
	for i := range c.witnesses {
		c.startWitness(i)
	}
	for i, step := range steps {
		id := fmt.Sprintf("s%d", i)
		c.Tasks = append(c.Tasks, workload.TaskID{Submission: id})
		c.requests[id] = step.Request
		c.log = append(c.log, ledger.SubmittedRecord(&workload.Submission{
			ID: id, Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 50, SlackFactor: 1.5},
		}))
	}
	c.openEpoch(c.nodes[0])
	c.after(Tick, c.tick)
	c.Run(800 * time.Millisecond)
	c.Trace = nil
	return c
}

func (c *World) after(d time.Duration, do func()) {
	c.queue.Add(c.Now+d, do)
}

// Run lets time pass.
func (c *World) Run(d time.Duration) {
	until := c.Now + d
	for c.Problem == "" {
		ev, ok := c.queue.Next(until)
		if !ok {
			break
		}
		c.Now = ev.At
		c.advance()
		ev.Action()
		c.checks.Advanced(c)
	}
	c.Now = until
	c.advance()
}

func (c *World) advance() {
	for _, w := range c.workers {
		n := w.sequence
		w.Advance(c.Now)
		if w.sequence > n {
			c.note("the lease of %s lapses", w.Info.Worker)
		}
	}
}

func (c *World) note(format string, args ...any) {
	c.Trace = append(c.Trace, fmt.Sprintf("%v ", c.Now-time.Minute)+fmt.Sprintf(format, args...))
}

// Fail notes that a rule is broken.
func (c *World) Fail(format string, args ...any) {
	if c.Problem == "" {
		c.Problem = fmt.Sprintf(format, args...)
	}
	c.note(format, args...)
}

// RunsOf returns the number of runs of a task on workers that are up.
func (c *World) RunsOf(id workload.TaskID) int {
	n := 0
	for _, w := range c.workers {
		for run := range w.Runs {
			if w.Up && run.Task == id {
				n++
			}
		}
	}
	return n
}

// tick is the clock of all processes.
func (c *World) tick() {
	c.after(Tick, c.tick)
	for _, n := range c.nodes {
		if n.seen[c.owner.epoch] == 0 && !n.storeless {
			n.seen[c.owner.epoch] = c.Now
		}
	}
	for o := c.owner; o != nil; o = o.previous {
		if o.ended {
			continue
		}
		if o == c.owner && c.reachesStore(o.node) {
			o.joinedAt = c.Now
		}
		if c.Now-o.joinedAt >= authority {
			c.end(o)
			continue
		}
		if c.reachesStore(o.node) && (c.Now/Tick)%4 == 0 {
			c.list(o)
		}
		if n := len(o.node.ends); n > o.endsLearned {
			o.endsLearned = n
			c.step(o, dispatch.EndsLearned{Ends: o.node.ends})
		}
		c.step(o, dispatch.Tick{Now: time.UnixMilli(c.Now.Milliseconds())})
		c.pump(o)
	}
	if c.owner.ended {
		c.takeOver()
	}
	c.ask(c.owner)
	if !c.owner.ended && c.store == linkOK && !c.owner.node.storeless {
		c.ownedAt = c.Now
	}
}

func (c *World) list(o *owner) {
	var list []workload.Worker
	for _, w := range c.workers {
		if w.Up || c.Now < w.listedUntil {
			w.Info.Remaining = max(0, w.leavesAt-c.Now)
			list = append(list, w.Info)
		}
	}
	c.step(o, dispatch.WorkersListed{Workers: list, All: list})
	c.step(o, dispatch.ViewRead{View: dispatch.WorkerList, SentAt: c.Now})
}

// IsGivenUp reports whether the newest owner has given a task's submission up.
func (c *World) IsGivenUp(id workload.TaskID) bool {
	return c.owner.ledger.Find(id.Submission).State() == workload.Failed
}

// Task returns a task as the newest owner knows it.
func (c *World) Task(id workload.TaskID) *ledger.Task {
	return c.owner.ledger.Find(id.Submission).Task(id)
}
