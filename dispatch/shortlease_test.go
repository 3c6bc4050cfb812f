package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// limitedHarness has an owner whose leases are limited.
func limitedHarness(t *testing.T, limit *time.Duration) *harness {
	h := newHarnessWithLease(t, longLease)
	h.machine = dispatch.New(dispatch.Config{
		Epoch: 1, Lease: longLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, LeaseLimit: func() time.Duration { return *limit },
	}, h.ledger, h.now, time.Now())
	h.listWorker(workload.Worker{})
	h.report()
	return h
}

// Guards against starts that carry a lease which is about to expire: the runs lapse, again and
// again.
func TestNoStartWithAShortLease(t *testing.T) {
	limit := time.Second
	h := limitedHarness(t, &limit)
	h.submit("batch", plainStep)
	is.New(t).Equal(h.count(startOf("batch")), 0)
	limit = longLease
	h.advance(time.Second)
	is.New(t).Equal(h.count(startOf("batch")), 1)
}

// Guards against a heartbeat that waits for an end longer than the lease that it grants.
func TestHeartbeatDoesNotWaitForLongerThanItsLease(t *testing.T) {
	limit := longLease
	h := limitedHarness(t, &limit)
	h.submit("lasting", lastingTasks(1))
	h.report()
	h.actions = nil
	limit = time.Second
	h.now += longLease - time.Second
	h.report()
	h.advance(200 * time.Millisecond)
	is.New(t).True(h.count(func(a dispatch.Action) bool {
		hb, ok := a.(dispatch.Heartbeat)
		return ok && hb.Wait > 0 && hb.Wait <= time.Second/2
	}) > 0)
}

// inheritedDraining has a lasting run on worker w, which drains, that this owner has not heard
// of. Worker x has room for it.
func inheritedDraining(t *testing.T) *harness {
	h := newHarnessWithLease(t, longLease)
	h.report()
	h.submit("lasting", lastingTasks(1))
	h.report()
	h.takeOver(2)
	h.actions = nil
	h.readList()
	h.listOther(1)
	for range 21 {
		h.advance(20 * time.Millisecond)
	}
	return h
}

func workerNamed(id string, milliCPU int64) workload.Worker {
	return workload.Worker{
		Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", Address: id, DataCentre: "giza", Rack: "r1-1",
		Capacity: hostapi.Resources{MilliCPU: milliCPU, MemoryMiB: 1 << 20},
	}
}

// Guards against a run that is stopped because it has a place on a worker that is gone.
func TestPlaceOnAWorkerThatIsGoneStopsNoRun(t *testing.T) {
	h := inheritedDraining(t)
	w := workerNamed("w", 64000)
	w.Draining, w.Remaining = true, 2*drainsFor
	h.handle(dispatch.WorkersListed{Workers: []workload.Worker{w}})
	h.readList()
	for range 2 {
		h.report()
		h.advance(20 * time.Millisecond)
	}
	is.New(t).Equal(h.count(stopOf("lasting")), 0)
}

// Guards against a run that is stopped because it has a place on a worker that takes no runs any
// more.
func TestPlaceOnAWorkerThatTakesNoRunsStopsNoRun(t *testing.T) {
	for name, change := range map[string]func(h *harness, x *workload.Worker){
		"draining": func(_ *harness, x *workload.Worker) { x.Draining, x.Remaining = true, 2*drainsFor },
		"silent": func(h *harness, _ *workload.Worker) {
			h.handle(dispatch.HeartbeatFailed{Worker: "x", Answer: dispatch.NoAnswer})
		},
		"evacuated": func(h *harness, x *workload.Worker) {
			x.DataCentre = "maadi"
			h.handle(dispatch.Evacuated{DataCentres: map[string]bool{"maadi": true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := inheritedDraining(t)
			w, x := workerNamed("w", 64000), workerNamed("x", 4000)
			w.Draining, w.Remaining = true, 2*drainsFor
			change(h, &x)
			h.handle(dispatch.WorkersListed{Workers: []workload.Worker{w, x}})
			h.readList()
			for range 2 {
				h.report()
				h.advance(20 * time.Millisecond)
			}
			is.New(t).Equal(h.count(stopOf("lasting")), 0)
		})
	}
}

// Guards against a place that stays reserved for a run whose worker does not drain any more.
func TestPlaceIsReleasedWhenAWorkerStopsDraining(t *testing.T) {
	h := inheritedDraining(t)
	x := workerNamed("x", 4000)
	h.handle(dispatch.WorkersListed{Workers: []workload.Worker{workerNamed("w", 4000), x}})
	h.submit("later", lastingBatch)
	for range 50 {
		h.readList()
		h.advance(100 * time.Millisecond)
		h.report()
		h.handle(dispatch.HeartbeatAnswered{Worker: "x", SentAt: h.now, Report: workload.Report{Incarnation: x.Incarnation, Clock: h.now}})
	}
	is.New(t).Equal(h.count(stopOf("lasting")), 0)
	is.New(t).Equal(h.count(startOf("later")), 1)
}

// Guards against runs that die with their worker because the owner's clock stood still while
// its VM was suspended.
func TestSuspendedOwnerStopsRunsBeforeTheirWorkerLeaves(t *testing.T) {
	h := drainingHarness(t, lastingTasks(1))
	h.pass(500 * time.Millisecond)
	h.handle(dispatch.Resumed{})
	h.readList()
	h.pass(200 * time.Millisecond)
	is.New(t).Equal(h.count(stopOf("lasting")), 1)
}
