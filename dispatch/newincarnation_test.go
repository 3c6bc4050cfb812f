package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a start on a new incarnation of a worker that is chosen by the capacity
// and the labels of the previous one: only the list shows those of the new one.
func TestNewIncarnationGetsNothingBeforeItIsListed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	second := workload.Incarnation{Worker: "w", StartMillis: 2}
	report := func() {
		h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: workload.Report{Incarnation: second, Clock: h.now}})
		h.advance(20 * time.Millisecond)
	}
	report()
	h.submit("load", stepOfSize(2, 16))
	is.Equal(h.count(startOf("load")), 0)
	// A list that is older than the restart changes nothing.
	h.listWorker(workload.Worker{})
	h.advance(20 * time.Millisecond)
	report()
	is.Equal(h.count(startOf("load")), 0)
	h.handle(dispatch.WorkersListed{Workers: []workload.Worker{{
		Incarnation: second, Service: "register", Address: "w", DataCentre: "giza", Rack: "r1-1",
		Capacity: hostapi.Resources{MilliCPU: 16000, MemoryMiB: 1 << 20},
	}}})
	h.advance(20 * time.Millisecond)
	report()
	is.Equal(h.count(startOf("load")), 1)
}
