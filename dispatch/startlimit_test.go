package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// startTimeout is the time after which a start counts as unanswered.
const startTimeout = 700 * time.Millisecond

// slowOwner is an owner that completes a limited number of starts in a tick of 20 ms.
type slowOwner struct {
	machine *dispatch.Machine
	now     time.Duration
	queue   []sentStart
	active  map[string][]workload.ActiveRun
	// took are the times of the starts that were completed in time, late counts the others.
	took []time.Duration
	late int
}

type sentStart struct {
	action dispatch.Start
	at     time.Duration
}

func (o *slowOwner) handle(ev dispatch.Event) {
	for _, a := range o.machine.Step(o.now, ev) {
		switch a := a.(type) {
		case dispatch.Append:
			o.handle(dispatch.Appended{ID: a.ID})
		case dispatch.Start:
			o.queue = append(o.queue, sentStart{action: a, at: o.now})
		case dispatch.Heartbeat:
			report := workload.Report{Incarnation: a.Incarnation, Clock: o.now, Active: o.active[a.Worker]}
			o.handle(dispatch.HeartbeatAnswered{Worker: a.Worker, SentAt: o.now, Report: report})
		}
	}
}

// tick advances the time and completes up to a number of starts. A start that has waited for
// startTimeout has cost as much, and has no answer.
func (o *slowOwner) tick(completed int) {
	o.now += 20 * time.Millisecond
	for range min(completed, len(o.queue)) {
		s := o.queue[0]
		o.queue = o.queue[1:]
		ev := dispatch.StartAnswered{Worker: s.action.Worker, Run: s.action.Run, Answer: dispatch.Done, Clock: o.now, Took: o.now - s.at}
		if ev.Took >= startTimeout {
			ev.Answer = dispatch.NoAnswer
			o.late++
		} else {
			o.active[ev.Worker] = append(o.active[ev.Worker], workload.ActiveRun{RunID: s.action.Run, ProgressPercent: 100})
			o.took = append(o.took, ev.Took)
		}
		o.handle(ev)
	}
	o.handle(dispatch.Tick{Now: time.UnixMilli(o.now.Milliseconds())})
}

// Guards against an owner that sends far more starts than it can complete, so that its
// commands time out, those that stop cancelled work among them.
func TestOverloadedOwnerSendsFewerStarts(t *testing.T) {
	is := is.New(t)
	cell := ledger.New()
	o := &slowOwner{now: time.Minute, active: make(map[string][]workload.ActiveRun)}
	config := dispatch.Config{Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: stopTime}
	o.machine = dispatch.New(config, cell, o.now, time.Now())
	var workers []workload.Worker
	for _, id := range []string{"u", "v", "w"} {
		workers = append(workers, workload.Worker{
			Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", Address: id, DataCentre: "giza", Rack: "r",
			Capacity: hostapi.Resources{MilliCPU: 1 << 30, MemoryMiB: 1 << 30},
		})
	}
	o.handle(dispatch.WorkersListed{Workers: workers})
	o.tick(0)
	is.Equal(len(o.queue), 0)
	for i := range 60 {
		o.handle(dispatch.EntryChanged{Entry: cell.Apply(ledger.SubmittedRecord(&workload.Submission{
			ID: string(rune('A' + i)), Queue: "q", Steps: []workload.Step{stepOfSize(50, 1)}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
		}))})
	}
	const perTick, ticks = 2, 250
	for range ticks {
		o.tick(perTick)
	}
	// After 5 s, nearly all of what the owner can complete is of use.
	o.took, o.late = nil, 0
	for range ticks {
		o.tick(perTick)
	}
	is.Equal(o.late, 0)
	is.True(len(o.took) >= perTick*ticks*8/10)
	for _, took := range o.took {
		is.True(took < startTimeout/2)
	}
	// An owner that is fast again uses its speed.
	before := len(o.took)
	for range 100 {
		o.tick(1000)
	}
	is.True(len(o.took)-before >= 1000)
}
