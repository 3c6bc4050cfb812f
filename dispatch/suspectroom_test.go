package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// addWorker lists one more worker of 64 cores.
func (l *loadSim) addWorker(id string) *loadWorker {
	w := &loadWorker{runs: make(map[workload.RunID]*loadRun), info: workload.Worker{
		Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", DataCentre: "giza", Rack: "r1-0",
		Address: id, Capacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 256000},
	}}
	l.workers[id] = w
	l.step(dispatch.WorkersListed{Workers: l.listed()})
	l.run(500 * time.Millisecond)
	return w
}

// loseWhile submits a long-running task that fits only one more worker, and loses that worker after
// the task has run for a time.
func (l *loadSim) loseWhile(milliCPU int64, ran time.Duration) {
	extra := l.addWorker("extra")
	l.submit(&workload.Submission{
		ID: "missing", Queue: "q", Steps: []workload.Step{lastingStep(1, milliCPU)},
		Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3},
	})
	for l.countRuns("missing") == 0 {
		l.run(time.Millisecond)
	}
	l.run(ran)
	l.lose(extra)
}

// Guards against a long-running task that is suspected of the crash of its worker, because it had
// just started there, and waits without end although moving one run, or displacing finite runs of a
// lower priority, makes room for it.
func TestSuspectedLongRunningTaskRunsAgainWhereRoomCanBeMade(t *testing.T) {
	for name, fill := range map[string]func(l *loadSim){
		"move": func(l *loadSim) { l.fillEvenly(1) },
		"displacement": func(l *loadSim) {
			l.run(time.Second)
			for i := range 4 {
				s := l.batch("finite", 1, 7, 12000, 60000, 0)
				s.ID, s.Policy.Priority = fmt.Sprintf("finite-%d", i), 1
				l.submit(s)
			}
			l.run(2 * time.Second)
		},
	} {
		for _, ran := range []time.Duration{3 * time.Second, 100 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, lost after %v", name, ran), func(t *testing.T) {
				is := is.New(t)
				l := newLoadSim(1, 5)
				fill(l)
				l.loseWhile(24000, ran)
				l.run(dispatch.LeaseExpiryBound(simLease) + maxRestartDelay)
				is.Equal(l.countRuns("missing"), 1)
			})
		}
	}
}
