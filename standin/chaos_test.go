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

// tryStartTask observes a worker and starts a new task with the reported boot id.
// It ignores errors because the worker may go down at any time.
func (s *testPlatform) tryStartTask(worker int, task string) {
	agent := s.agent(worker)
	ctx, cancel := context.WithTimeout(s.ctx, 100*time.Millisecond)
	defer cancel()
	state, err := agent.Observe(ctx)
	if err != nil {
		return
	}
	_ = agent.Start(ctx, hostapi.Start{
		Command: hostapi.Command{Term: 1, Boot: state.Boot, Deadline: state.Clock + time.Second},
		ID:      attemptID(task, 1), Kind: "batch", Requests: hostapi.Resources{MilliCPU: 16_000},
		LeaseExpiry: state.Clock + time.Hour, Work: 5 * time.Millisecond,
	})
}

// Guards against races between faults and requests that make the history
// inconsistent, for example a request that continues to run after a crash: the
// checker would report a violation of the system under test. The random delays
// only vary the coverage.
func TestHistoryIsConsistentUnderFaults(t *testing.T) {
	s := startTestPlatform(t)
	ctx, cancel := context.WithCancel(s.ctx)
	var running sync.WaitGroup
	for number := range 24 {
		running.Go(func() {
			worker := number % len(s.addresses.Workers)
			for i := 0; ctx.Err() == nil; i++ {
				name := fmt.Sprintf("%d-%d", number, i)
				client := *s // with a timeout, because a frozen connection sends no response
				var cancelRequest context.CancelFunc
				client.ctx, cancelRequest = context.WithTimeout(s.ctx, 100*time.Millisecond)
				_, _, _ = client.request(worker, name, "work=2ms&size=2000", nil)
				cancelRequest()
				s.tryStartTask(worker, name)
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
		// These faults get a count so that they end by themselves. Otherwise
		// requests would wait forever.
		count := 0
		if kind == standin.FaultResponseLost || kind == standin.FaultCut {
			count = 3
		}
		_ = s.platform.SetFault(standin.Fault{Kind: kind, Target: target, Count: count})
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
		s.setFault(standin.Fault{Kind: kind, Target: target, Off: true})
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
	for i := range s.addresses.Workers { // all workers are up again
		_, err := s.agent(i).Observe(s.ctx)
		s.is.NoErr(err)
	}
}
