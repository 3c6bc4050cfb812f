package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against members of a gang that wait on their workers for one whose repeated start
// has found that its worker is gone.
func TestGangIsStoppedIfARepeatedStartFindsAnotherWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	var list []workload.Worker
	for _, id := range []string{"w", "w2"} {
		list = append(list, workload.Worker{
			Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", Address: id, DataCentre: "giza", Rack: "r1-1",
			Capacity: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 1 << 10},
		})
	}
	h.handle(dispatch.WorkersListed{Workers: list})
	h.advance(20 * time.Millisecond)
	h.report()
	h.handle(dispatch.HeartbeatAnswered{Worker: "w2", SentAt: h.now, Report: workload.Report{Incarnation: list[1].Incarnation, Clock: h.now}})
	h.startAnswer = dispatch.NoAnswer
	h.submit("gang", workload.Step{Tasks: 2, Gang: true, Request: hostapi.Resources{MilliCPU: 900, MemoryMiB: 1}, Estimate: time.Second})
	runs := make(map[string]workload.RunID)
	for _, a := range h.actions {
		if s, ok := a.(dispatch.Start); ok {
			runs[s.Worker] = s.Run
		}
	}
	is.Equal(len(runs), 2)
	h.handle(dispatch.StartAnswered{Worker: "w2", Run: runs["w2"], Answer: dispatch.Done, Clock: h.now})
	h.advance(20 * time.Millisecond)
	h.handle(dispatch.StartAnswered{Worker: "w", Run: runs["w"], Answer: dispatch.WrongWorker})
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.WrongWorker})
	is.Equal(h.count(stopAt("w2")), 1)
}
