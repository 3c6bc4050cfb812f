package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// listPair lists two workers, each with room for one member of a gang.
func (h *harness) listPair() {
	var list []workload.Worker
	for _, id := range []string{"w", "w2"} {
		list = append(list, workload.Worker{
			Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", Address: id, DataCentre: "giza", Rack: "r1-1",
			Capacity: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 1 << 10},
		})
	}
	h.handle(dispatch.WorkersListed{Workers: list})
	h.advance(20 * time.Millisecond)
}

// reportOf answers a heartbeat of a worker with its active runs.
func (h *harness) reportOf(id string, runs ...workload.RunID) {
	report := workload.Report{Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Clock: h.now}
	for _, run := range runs {
		report.Active = append(report.Active, workload.ActiveRun{RunID: run})
	}
	h.handle(dispatch.HeartbeatAnswered{Worker: id, SentAt: h.now, Report: report})
}

// Guards against a member of a gang that waits on its worker, until it ends alone, for another one
// whose start the previous owner recorded and did not send.
func TestInheritedGangIsStoppedIfAMemberWasNotStarted(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.listPair()
	h.reportOf("w")
	h.reportOf("w2")
	h.withholdsStarts = true
	h.submit("gang", workload.Step{Tasks: 2, Gang: true, Request: hostapi.Resources{MilliCPU: 900, MemoryMiB: 1}, Estimate: time.Second})
	runs := make(map[string]workload.RunID)
	for _, a := range h.actions {
		if s, ok := a.(dispatch.Start); ok {
			runs[s.Worker] = s.Run
		}
	}
	is.Equal(len(runs), 2)
	h.succeedOwner(simLease)
	h.listPair()
	for range 10 {
		h.reportOf("w")
		h.reportOf("w2", runs["w2"])
		h.advance(100 * time.Millisecond)
	}
	is.True(h.count(stopAt("w2")) > 0)
}
