package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	// gangMembers is the number of members of the gang, gangWorkers that of workers with room for
	// one member each.
	gangMembers = 3
	gangWorkers = 4
	// gangTick is the time between two ticks of the owner.
	gangTick = 50 * time.Millisecond
	// gangCallTimeout is the time after which a call has no answer.
	gangCallTimeout = 300 * time.Millisecond
	// gangTimeout is how long a member waits for the others to start.
	gangTimeout = 3 * time.Second
	// gangLease is the lease of the workers.
	gangLease = 3 * time.Second
)

// gangStep is the step of the gang.
var gangStep = workload.Step{
	Tasks: gangMembers, Gang: true, Checkpoints: true, Request: dispatchtest.TaskRequest, Estimate: time.Hour,
}

// gangWorld is a cell with a gang, in virtual time.
type gangWorld struct {
	now     time.Duration
	queue   dispatchtest.Timers
	log     []*ledgerpb.Record
	epoch   int64
	ledger  *ledger.Ledger
	machine *dispatch.Machine
	workers []*gangWorker
	// checkpoints counts the checkpoints that members have made.
	checkpoints int
	// carried are the checkpoints that starts of each run of the gang carried.
	carried map[int64]map[int]bool
	// whole are the runs of which all members were at work at a time.
	whole map[int64]bool
	// startsLeft is the number of starts after which a takeover precedes the next one, recordsLeft
	// that of placements that are still recorded before one. Negative: there is no such takeover.
	startsLeft, recordsLeft int
	trace                   []string
}

// gangWorker is a worker, and how calls reach it.
type gangWorker struct {
	*dispatchtest.Worker
	// silent: no call arrives. mute: calls are carried out, their answers are lost.
	silent, mute bool
}

func newGangWorld() *gangWorld {
	c := &gangWorld{now: time.Minute, carried: make(map[int64]map[int]bool), whole: make(map[int64]bool), startsLeft: -1, recordsLeft: -1}
	for i := range gangWorkers {
		c.workers = append(c.workers, &gangWorker{Worker: dispatchtest.NewWorker(fmt.Sprintf("w%d", i), dispatchtest.TaskRequest.MilliCPU)})
	}
	c.log = append(c.log, ledger.SubmittedRecord(&workload.Submission{
		ID: "gang", Queue: "q", Steps: []workload.Step{gangStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 50},
	}))
	c.takeOver(false)
	c.after(gangTick, c.tick)
	c.run(time.Second)
	return c
}

func (c *gangWorld) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%v ", c.now-time.Minute)+fmt.Sprintf(format, args...))
}

func (c *gangWorld) after(d time.Duration, do func()) {
	c.queue.Add(c.now+d, do)
}

// run lets time pass.
func (c *gangWorld) run(d time.Duration) {
	until := c.now + d
	for timer, ok := c.queue.Next(until); ok; timer, ok = c.queue.Next(until) {
		c.now = timer.At
		for _, w := range c.workers {
			w.Advance(c.now)
		}
		timer.Action()
		c.endPartial()
	}
	c.now = until
}

// endPartial ends the members that are left of a run of which another one has ended, or of which not
// all have started in time.
func (c *gangWorld) endPartial() {
	left := make(map[int64]int)
	for _, w := range c.workers {
		for id := range w.Runs {
			left[id.Run]++
		}
	}
	for number, n := range left {
		c.whole[number] = c.whole[number] || n == gangMembers
	}
	for _, w := range c.workers {
		for id, r := range w.Runs {
			switch {
			case left[id.Run] == gangMembers:
			case c.whole[id.Run]:
				w.End(r, workload.MemberEnded)
			case c.now-r.StartedAt >= gangTimeout:
				w.End(r, workload.MembersMissing)
			}
		}
	}
}

func (c *gangWorld) tick() {
	c.after(gangTick, c.tick)
	c.list()
	c.step(dispatch.Tick{Now: time.UnixMilli(c.now.Milliseconds())})
}

func (c *gangWorld) list() {
	var list []workload.Worker
	for _, w := range c.workers {
		list = append(list, w.Info)
	}
	c.step(dispatch.WorkersListed{Workers: list, All: list})
}

// takeOver opens an epoch whose owner reads the log, or a snapshot of it.
func (c *gangWorld) takeOver(fromSnapshot bool) {
	c.epoch++
	c.note("epoch %d", c.epoch)
	opened := ledger.OpenedRecord(ledger.Owner{Epoch: c.epoch, VM: "a", Sole: true})
	c.log = append(c.log, opened)
	c.ledger = ledger.New()
	for _, r := range c.log {
		c.ledger.Apply(r)
	}
	if fromSnapshot {
		parts := c.ledger.Snapshot(ledger.Offsets{})
		c.ledger = ledger.New()
		c.ledger.ApplySnapshot(parts)
	}
	c.machine = dispatch.New(dispatch.Config{
		Epoch: c.epoch, Lease: gangLease, HeartbeatWait: gangLease / 2, RemoteFactor: 2, StopTime: gangTick,
	}, c.ledger, c.now, time.UnixMilli(c.now.Milliseconds()))
	c.list()
	c.step(dispatch.PredecessorResigned{Sole: true})
}

// step passes an event to the owner and carries out its actions until another owner takes over.
func (c *gangWorld) step(ev dispatch.Event) {
	epoch := c.epoch
	for _, action := range c.machine.Step(c.now, ev) {
		if c.epoch != epoch {
			return
		}
		c.carryOut(action)
	}
}

// later passes an event to the owner after a time unless another owner has taken over by then.
func (c *gangWorld) later(d time.Duration, ev dispatch.Event) {
	epoch := c.epoch
	c.after(d, func() {
		if c.epoch == epoch {
			c.step(ev)
		}
	})
}

func (c *gangWorld) carryOut(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Append:
		c.append(a)
	case dispatch.Start:
		c.start(a)
	case dispatch.Stop:
		w := c.worker(a.Worker)
		answered := dispatch.StopAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Run: a.Run}
		answer, delay := w.call(a.Incarnation, func() dispatch.Answer { return w.Stop(c.epoch, a) })
		answered.Answer = answer
		c.later(delay, answered)
	case dispatch.Heartbeat:
		c.heartbeat(a)
	case dispatch.Decision:
		c.note("%v of member %d, run %d on %s: %s", a.Kind, a.Run.Task.Index, a.Run.Run, a.Worker, a.Reason)
	}
}

func (c *gangWorld) worker(id string) *gangWorker {
	return c.workers[slices.IndexFunc(c.workers, func(w *gangWorker) bool { return w.Info.Worker == id })]
}

// call carries out a call, and returns its answer and the time until that arrives.
func (w *gangWorker) call(to workload.Incarnation, do func() dispatch.Answer) (dispatch.Answer, time.Duration) {
	if w.silent {
		return dispatch.NoAnswer, gangCallTimeout
	}
	answer := dispatch.WrongWorker
	if w.Info.Incarnation == to {
		answer = do()
	}
	if w.mute {
		return dispatch.NoAnswer, gangCallTimeout
	}
	return answer, time.Millisecond
}

// append appends records. A takeover that is due leaves out the last of its placements.
func (c *gangWorld) append(a dispatch.Append) {
	for _, r := range a.Records {
		if r.Placed != nil && c.recordsLeft >= 0 {
			if c.recordsLeft == 0 {
				c.recordsLeft = -1
				c.takeOver(false)
				return
			}
			c.recordsLeft--
		}
		c.log = append(c.log, r)
	}
	c.later(time.Millisecond, dispatch.Appended{ID: a.ID})
}

func (c *gangWorld) start(a dispatch.Start) {
	if c.startsLeft == 0 {
		c.startsLeft = -1
		c.takeOver(false)
		return
	}
	c.startsLeft = max(-1, c.startsLeft-1)
	c.note("start of member %d, run %d on %s from %q", a.Run.Task.Index, a.Run.Run, a.Worker, a.Checkpoint)
	if c.carried[a.Run.Run] == nil {
		c.carried[a.Run.Run] = make(map[int]bool)
	}
	c.carried[a.Run.Run][checkpointNumber(a.Checkpoint)] = true
	w := c.worker(a.Worker)
	answer, delay := w.call(a.Incarnation, func() dispatch.Answer {
		return w.Start(c.now, c.epoch, a, &dispatchtest.Run{
			ID: a.Run, Request: dispatchtest.TaskRequest, StartedAt: c.now, EndsAt: c.now + 1000*time.Hour, Checkpoint: a.Checkpoint,
		})
	})
	ev := dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: answer}
	switch answer {
	case dispatch.NoAnswer:
	case dispatch.WrongWorker:
		ev.Found = w.Info.Incarnation
	default:
		ev.Clock = w.Clock(c.now)
	}
	c.later(delay, ev)
}

func (c *gangWorld) heartbeat(a dispatch.Heartbeat) {
	w := c.worker(a.Worker)
	if w.Info.Incarnation != a.Incarnation {
		a.Cursor, a.Deadline = 0, 0
	}
	var report workload.Report
	answer, delay := w.call(w.Info.Incarnation, func() dispatch.Answer {
		var answer dispatch.Answer
		report, answer = w.Heartbeat(c.now, c.epoch, a)
		return answer
	})
	if answer != dispatch.Done {
		c.later(delay, dispatch.HeartbeatFailed{Worker: a.Worker, Answer: answer})
		return
	}
	c.later(delay, dispatch.HeartbeatAnswered{Worker: a.Worker, SentAt: c.now, Report: report})
}

// member returns the worker that has a member of the gang, and its newest run there, or nil.
func (c *gangWorld) member(index int) (*gangWorker, *dispatchtest.Run) {
	var on *gangWorker
	var newest *dispatchtest.Run
	for _, w := range c.workers {
		for id, r := range w.Runs {
			if id.Task.Index == index && (newest == nil || id.Run > newest.ID.Run) {
				on, newest = w, r
			}
		}
	}
	return on, newest
}

// progress lets a member of the gang make a checkpoint.
func (c *gangWorld) progress(index int) bool {
	_, r := c.member(index)
	if r == nil {
		return false
	}
	c.checkpoints++
	r.Checkpoint = fmt.Sprint(c.checkpoints)
	c.note("member %d makes checkpoint %s", index, r.Checkpoint)
	return true
}

// checkpointNumber returns the number of a checkpoint, or 0 for none.
func checkpointNumber(checkpoint string) int {
	n, _ := strconv.Atoi(checkpoint)
	return n
}

// carriesWrong returns what is wrong with the checkpoints that starts carried, or "": those of one run
// must be the same, those of a later run not older.
func (c *gangWorld) carriesWrong() string {
	newest := 0
	for _, number := range slices.Sorted(maps.Keys(c.carried)) {
		values := slices.Sorted(maps.Keys(c.carried[number]))
		if len(values) > 1 {
			return fmt.Sprintf("the starts of run %d carry %v", number, values)
		}
		if values[0] < newest {
			return fmt.Sprintf("the starts of run %d carry %d, those of an earlier run %d", number, values[0], newest)
		}
		newest = values[0]
	}
	return ""
}

// isWhole reports whether all members of the gang are at work in one run.
func (c *gangWorld) isWhole() bool {
	_, first := c.member(0)
	for i := range gangMembers {
		if _, r := c.member(i); r == nil || r.ID.Run != first.ID.Run {
			return false
		}
	}
	return true
}
