package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/standin"
)

// owner returns an entry VM of a data centre that owns a cell.
func (c *cluster) owner(dataCentre string) *entryVM {
	c.t.Helper()
	var found *entryVM
	c.await("an owner in "+dataCentre, func() bool {
		for _, vm := range c.entries {
			if vm.dataCentre == dataCentre && len(c.dump(vm).Cells) > 0 {
				found = vm
			}
		}
		return found != nil
	})
	return found
}

// finish waits until all work is done and judges the history.
func (c *cluster) finish(replicas, tasks int, vms ...*entryVM) {
	c.t.Helper()
	c.await("job completes", func() bool { return c.jobStatus(api.KindJob, "reports", vms...).Completed == tasks })
	c.await("replicas run", func() bool { return c.jobStatus(api.KindService, "register", vms...).Running == replicas })
	c.judge()
}

// without returns the entry VMs but one.
func (c *cluster) without(gone *entryVM) []*entryVM {
	var rest []*entryVM
	for _, vm := range c.entries {
		if vm != gone {
			rest = append(rest, vm)
		}
	}
	return rest
}

// Guards against work that is lost or runs twice, and against requests that
// run twice, when an owner is killed in the middle of starts and of requests.
func TestOwnerKilled(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.declare(6, 16, 4)
	gets := c.load("register", http.MethodGet, "work=10ms", 4, c.entries...)
	posts := c.load("register", http.MethodPost, "work=30ms", 4, c.entries...)
	killed := c.owner("giza")
	c.signal(killed, syscall.SIGKILL)
	rest := c.without(killed)
	c.await("job completes", func() bool { return c.jobStatus(api.KindJob, "reports", rest...).Completed == 16 })
	is.True(gets() > 0)
	is.True(posts() > 0)
	c.finish(6, 16, rest...)
}

// Guards against an owner that was frozen past its lease and goes on as if it
// still held its cells.
func TestOwnerFrozenPastItsLease(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.declare(6, 16, 4)
	posts := c.load("register", http.MethodPost, "work=30ms", 4, c.entries...)
	frozen := c.owner("giza")
	cells := c.dump(frozen).Cells
	c.signal(frozen, syscall.SIGSTOP)
	rest := c.without(frozen)
	c.await("another VM takes the cell over", func() bool { return c.ownedByAnother(frozen, cells[0].Cell, rest) })
	c.signal(frozen, syscall.SIGCONT)
	c.await("the frozen VM sees its loss", func() bool { return !c.owns(frozen, cells[0].Cell, cells[0].Term) })
	is.True(posts() > 0)
	c.finish(6, 16)
}

// Guards against a data centre that stops serving, or starts tasks, when the
// log is down for everybody, and against a submission that is half accepted.
func TestLogDown(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.declare(6, 16, 4)
	c.fault(standin.Fault{Kind: standin.FaultDown, Target: "log"})
	c.await("starts are suspended", func() bool { return !c.accepting() })
	before := len(c.history().Attempts)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := c.operator().Put(ctx, job("late", 1, 1), client.WriteOptions{})
	is.Equal(result.CodeOf(err, result.OK), result.NotRunLogUnavailable)
	answered := 0
	end := time.Now().Add(8 * time.Second) // longer than an owner's lease
	for i := 0; time.Now().Before(end); i++ {
		vm := c.entries[i%len(c.entries)]
		get := try{method: http.MethodGet, id: fmt.Sprintf("get-%d", i), query: "work=5ms", vm: vm}
		c.await("a GET is answered without the log", func() bool { return c.answered(get) })
		post := try{method: http.MethodPost, id: fmt.Sprintf("%s.post-%d", vm.dataCentre, i), query: "work=5ms", vm: vm}
		c.await("a POST is answered without the log", func() bool { return c.answered(post) })
		answered++
	}
	is.True(answered > 0)
	is.Equal(len(c.history().Attempts), before) // nothing started
	c.fault(standin.Fault{Kind: standin.FaultDown, Target: "log", Off: true})
	c.finish(6, 16)
}

// Guards against a data centre that can't reach the log itself and does not
// use its peers in the other one.
func TestDataCentreCutFromTheLog(t *testing.T) {
	c := start(t, twoCentres)
	c.declare(6, 0, 0)
	c.fault(standin.Fault{Kind: standin.FaultDown, Target: "log/giza"})
	c.put(job("reports", 16, 2))
	c.finish(6, 16)
}

// Guards against a second effect when answers of the log are lost after the
// append, and against two operators who both believe that their write won.
func TestLostAnswersAndRacingOperators(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.declare(6, 0, 0)
	c.fault(standin.Fault{Kind: standin.FaultResponseLost, Target: "log", Count: 60})
	c.put(job("reports", 8, 1))
	won := c.race(4)
	is.Equal(won, 1)
	c.finish(6, 8)
}

// race lets several operators create the same resource at different entry VMs
// and returns how many were told that they did.
func (c *cluster) race(operators int) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	won := 0
	for i := range operators {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			options := client.WriteOptions{Precondition: resources.Precondition{MustNotExist: true}, OperationID: client.NewOperationID()}
			for ctx.Err() == nil {
				_, err := c.operator(c.entries[i%len(c.entries)]).Put(ctx, job("raced", 1, 1), options)
				code := result.CodeOf(err, result.WriteOutcomeUnknown)
				if code == result.OK {
					mu.Lock()
					won++
					mu.Unlock()
					return
				}
				if code == result.Conflict {
					return
				}
			}
		})
	}
	wait.Wait()
	return won
}

// Guards against a planned stop that cuts off requests.
func TestPlannedStopUnderLoad(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.declare(6, 0, 0)
	gets := c.load("register", http.MethodGet, "work=50ms", 4, c.entries...)
	posts := c.load("register", http.MethodPost, "work=50ms", 4, c.entries...)
	stopping := c.owner("giza")
	c.signal(stopping, syscall.SIGTERM)
	c.stopped(stopping)
	is.True(gets() > 0)
	is.True(posts() > 0)
	c.judge()
}

// Guards against new work for a server that is leaving, whichever source says
// so, and against a request that runs twice on a connection gone silent.
func TestLeavingServerAndSilentConnections(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.declare(8, 0, 0)
	gets := c.load("register", http.MethodGet, "work=10ms", 4, c.entries...)
	posts := c.load("register", http.MethodPost, "work=10ms", 4, c.entries...)
	c.fault(standin.Fault{Kind: standin.FaultFrozen, Target: "backend", Count: 6, Bytes: 200})
	used := c.busyWorker()
	c.fault(standin.Fault{Kind: standin.FaultLeaving, Target: "worker/" + used})
	c.await("the replicas run elsewhere", func() bool {
		return c.jobStatus(api.KindService, "register").Running == 8 && !c.serves(used)
	})
	is.True(gets() > 0)
	is.True(posts() > 0)
	c.judge()
}

// Guards against batch work that is lost with its data centre: its entry VMs
// and workers end and do not return.
func TestDataCentreLost(t *testing.T) {
	is := is.New(t)
	l := twoCentres
	l.times = "offline_tasks = 10s\ntask_lease = 3s\ntask_renewal = 1s\n"
	c := start(t, l)
	c.declare(4, 16, 5)
	c.await("tasks run in maadi", func() bool { return c.runningIn("maadi") > 0 })
	for _, vm := range c.entries {
		if vm.dataCentre == "maadi" {
			c.signal(vm, syscall.SIGKILL)
		}
	}
	c.fault(standin.Fault{Kind: standin.FaultWorkerDown, Target: "workers/maadi"})
	is.Equal(c.runningIn("maadi"), 0)
	c.finish(4, 16, c.entries[0], c.entries[1])
}

// runningIn counts the attempts that run in a data centre.
func (c *cluster) runningIn(dataCentre string) int {
	count := 0
	for _, a := range c.history().Attempts {
		if a.DataCentre == dataCentre && a.State == hostapi.AttemptRunning {
			count++
		}
	}
	return count
}

// Guards against a worker that fails everything it starts and goes on getting
// tasks until their retries are used up.
func TestFailingWorker(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.put(team())
	c.fault(standin.Fault{Kind: standin.FaultFailing, Target: "worker/giza-w4"})
	for i := range 4 {
		c.put(job(fmt.Sprintf("reports-%d", i), 8, 1))
	}
	for i := range 4 {
		c.await("job completes", func() bool { return c.jobStatus(api.KindJob, fmt.Sprintf("reports-%d", i)).Completed == 8 })
	}
	failed := 0
	for _, a := range c.history().Attempts {
		if a.State == hostapi.AttemptFailed {
			failed++
		}
	}
	is.True(failed > 0) // the fault took effect
	c.judge()
}

// Guards against a second signal that does not end a planned stop, and against
// a stop that hides from its exit code that requests were cut off.
func TestSecondSignalEndsTheStop(t *testing.T) {
	is := is.New(t)
	l := twoCentres
	l.times = "max_request = 30s\nprogress = 25s\nstop_deadline = 60s\n"
	c := start(t, l)
	c.declare(4, 0, 0)
	vm := c.entries[0]
	ended := make(chan checker.Result, 1)
	go func() {
		told, _ := c.send("register", try{method: http.MethodGet, id: "long", query: "work=20s", vm: vm})
		ended <- told
	}()
	c.await("the request is in progress", func() bool { return c.dump(vm).Requests.InProgress > 0 })
	c.signal(vm, syscall.SIGTERM)
	c.await("the stop has begun", func() bool { return c.dump(vm).Stopping })
	c.signal(vm, syscall.SIGTERM)
	is.Equal(<-vm.exited, 3) // exit code of a stop that cut requests off
	is.Equal(<-ended, checker.NoAnswer)
}
