package coordinator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// logRetention is the history that the deployments' stores keep.
const logRetention = 20 * time.Second

// Guards against a task that starts again after its acknowledged end: the log has dropped the record of the
// end before a snapshot had it, because few records were added since the last snapshot, or because one was not
// saved.
func TestRecordsAreInASnapshotBeforeTheLogDropsThem(t *testing.T) {
	for name, failing := range map[string]time.Duration{"few records": 0, "snapshots fail": 10 * time.Second} {
		for after := 40 * time.Second; after < 60*time.Second; after += 9 * time.Second {
			t.Run(fmt.Sprint(name, " ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkDroppedRecords(t, after, failing) })
			})
		}
	}
}

// checkDroppedRecords gives a cell to a new owner after a time. Before that no snapshot is saved for a time.
func checkDroppedRecords(t *testing.T, after, failing time.Duration) {
	s := newStorm(t, 0)
	s.begin(false)
	ctx, cancel := context.WithCancel(t.Context())
	go s.store.dropAfter(ctx, logRetention)
	time.AfterFunc(after-failing, func() { s.store.set(func() { s.store.snapshotShare = 1 }) })
	time.AfterFunc(after, func() { s.group.assign(0, s.vms[1]) })
	for i := range 4 * int(after/time.Second) {
		w := submission(fmt.Sprint("s", i))
		w.Steps = []workload.Step{{Tasks: 1, Request: hostapi.Resources{MilliCPU: 500, MemoryMiB: 1}, Estimate: time.Second}}
		w.Policy.MaxAttempts = 50
		if err := s.running[s.vms[0]].node.Submit(timeoutContext(time.Second), w); err != nil {
			t.Error(err)
		}
		s.accepted = append(s.accepted, w.ID)
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	cancel()
	s.close()
	for _, v := range s.workers.violations {
		t.Error(v)
	}
}
