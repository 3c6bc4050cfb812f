package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against an entry of another writer under a worker's id, of another service, that
// counts as a restart of the worker: its tasks would run twice at the same time. A successor
// knows the worker by the runs in the log only.
func TestEntryOfAnotherServiceIsNoRestart(t *testing.T) {
	for name, takenOver := range map[string]bool{"by the owner that started the run": false, "by its successor": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			h.submit("s", plainStep)
			is.Equal(h.count(startOf("s")), 1)
			if takenOver {
				h.restart(2)
			}
			entry := func(id, service string, startMillis int64) workload.Worker {
				return workload.Worker{
					Incarnation: workload.Incarnation{Worker: id, StartMillis: startMillis}, Service: service, Address: id, DataCentre: "giza", Rack: "r1-1",
					Capacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20},
				}
			}
			h.handle(dispatch.WorkersListed{Workers: []workload.Worker{entry("w", "other", 9), entry("w2", "register", 1)}})
			h.handle(dispatch.HeartbeatAnswered{Worker: "w2", SentAt: h.now, Report: workload.Report{Incarnation: entry("w2", "", 1).Incarnation, Clock: h.now}})
			h.readViews(h.now, allViews...)
			for range 5 {
				h.advance(100 * time.Millisecond)
			}
			is.Equal(h.count(startOf("s")), 1)
			// The worker's own next entry stands again.
			h.handle(dispatch.WorkersListed{Workers: []workload.Worker{entry("w", "register", 1), entry("w2", "register", 1)}})
			h.report()
			h.submit("next", workload.Step{Tasks: 2, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: 40000, MemoryMiB: 10}})
			is.Equal(h.count(startOf("next")), 2)
			is.Equal(h.count(startOf("s")), 1)
		})
	}
}
