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

// Guards against an overload in which everything is late: sign-in batches come
// for 15 s at about twice the rate for which there is room, and those that can
// still be on time must go first. At twice the rate at most about half can be
// on time; served by due time alone, hardly any is.
func TestOverloadServesWhatCanBeOnTime(t *testing.T) {
	is := is.New(t)
	l := newLoad(3, 30)
	l.run(2 * time.Second)
	until := l.now + 15*time.Second
	l.arrivals(40, until, l.signIn)
	l.run(40 * time.Second)
	is.True(len(l.lateness["sign-in"]) > 400)
	is.True(l.share("sign-in", 1) >= 0.3)
	// What was accepted is finished.
	is.Equal(len(l.arrived), 0)
}

// Guards against a large submission that gives way to newer ones each time that
// some of its tasks end: what was done for it would be lost.
func TestBegunWorkKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	hand := func(id string, tasks int) {
		e := d.book.Apply(ledger.SubmittedRecord(&workload.Submission{
			ID: id, Queue: "q", AcceptedAt: time.UnixMilli(d.now.Milliseconds()),
			Steps: []workload.Step{{
				Tasks: tasks, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: 32000, MemoryMiB: 10},
			}},
			Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1.5},
		}))
		d.do(dispatch.EntryChanged{Entry: e})
		d.pass(20 * time.Millisecond)
	}
	hand("large", 4)
	is.Equal(d.count(startOf("large")), 2)
	d.pass(1200 * time.Millisecond)
	hand("newer", 1)
	for index := range 2 {
		run := workload.RunID{Task: workload.TaskID{Submission: "large", Index: index}, Run: 1}
		delete(d.active, run)
		d.seq++
		d.report(workload.EndedRun{RunID: run, Sequence: d.seq, Outcome: workload.Succeeded})
	}
	d.pass(20 * time.Millisecond)
	is.Equal(d.count(startOf("large")), 4)
	is.Equal(d.count(startOf("newer")), 0)
}
