package standin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/standin"
)

// startOne starts a task of its own on a worker with the boot id that it
// reports, and ignores failures: the worker may go down at any time.
func (s *system) startOne(worker int, task string) {
	agent := s.agent(worker)
	ctx, cancel := context.WithTimeout(s.ctx, 100*time.Millisecond)
	defer cancel()
	state, err := agent.Observe(ctx)
	if err != nil {
		return
	}
	_ = agent.Start(ctx, hostapi.Start{
		Command: hostapi.Command{Term: 1, Boot: state.Boot, Deadline: state.Clock + time.Second},
		ID:      attemptOf(task, 1), Kind: "batch", Requests: hostapi.Resources{MilliCPU: 16_000},
		LeaseExpiry: state.Clock + time.Hour, Work: 5 * time.Millisecond,
	})
}

// Guards against faults that race with requests: a stand-in that reports more
// than its workers can do, as a request that runs on after a crash, would make
// the checker blame the system. The random times only vary what is covered.
func TestHistoryIsSoundUnderFaults(t *testing.T) {
	s := startSystem(t)
	ctx, cancel := context.WithCancel(s.ctx)
	var running sync.WaitGroup
	for number := range 24 {
		running.Go(func() {
			worker := number % len(s.at.Workers)
			for i := 0; ctx.Err() == nil; i++ {
				name := fmt.Sprintf("%d-%d", number, i)
				quick := *s // a frozen connection gives no answer
				var done context.CancelFunc
				quick.ctx, done = context.WithTimeout(s.ctx, 100*time.Millisecond)
				_, _, _ = quick.request(worker, name, "work=2ms&size=2000", nil)
				done()
				s.startOne(worker, name)
			}
		})
	}
	random := rand.New(rand.NewPCG(1, 3))
	targets := []string{"worker/giza-w0", "worker/giza-w1", "rack/maadi-r0", "workers/maadi", "workers/giza"}
	kinds := []standin.FaultKind{
		standin.FaultWorkerDown, standin.FaultDown, standin.FaultFrozen, standin.FaultResponseLost,
		standin.FaultCut, standin.FaultFailing,
	}
	for range 150 {
		target := targets[random.IntN(len(targets))]
		kind := kinds[random.IntN(len(kinds))]
		// Counted faults of requests must end, or requests would wait for ever.
		count := 0
		if kind == standin.FaultResponseLost || kind == standin.FaultCut {
			count = 3
		}
		_ = s.platform.SetFault(standin.Fault{Kind: kind, Target: target, Count: count})
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
		s.fault(standin.Fault{Kind: kind, Target: target, Off: true})
	}
	cancel()
	running.Wait()
	view := s.platform.History()
	violations, err := checker.Check(view.CheckerEvents(), checker.DefaultBounds())
	s.is.NoErr(err)
	for _, v := range violations {
		t.Errorf("%v", v)
	}
	s.is.True(len(view.Executions) > 0 && len(view.Attempts) > 0)
	for i := range s.at.Workers { // all are back
		_, err := s.agent(i).Observe(s.ctx)
		s.is.NoErr(err)
	}
}
