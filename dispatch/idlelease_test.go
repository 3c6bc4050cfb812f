package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// newReportedSim returns a simulation of a worker whose leases keep to reports, one each 250 ms.
func newReportedSim() *loadSim {
	l := newLoadSim(1, 1)
	var limits map[workload.Incarnation]time.Duration
	l.machine = dispatch.New(dispatch.Config{
		Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: 200 * time.Millisecond,
		LeaseExpiryLimit: func(w workload.Incarnation) (time.Duration, bool) {
			at, limited := limits[w]
			return at, limited
		},
	}, l.ledger, l.now, l.wall())
	l.step(dispatch.WorkersListed{Workers: []workload.Worker{l.sortedWorkers()[0].info}})
	var report func()
	report = func() {
		limits = l.machine.ReportedLeases(l.now)
		l.after(250*time.Millisecond, report)
	}
	report()
	return l
}

// Guards against a worker without runs that can be given no lease, as its last answer is too old, but
// is given one run after the other, each of which is recorded and then not started.
func TestRunsAreNotPlacedWhereNoLeaseCanBeGranted(t *testing.T) {
	for idle := simLease / 2; idle <= simLease; idle += 100 * time.Millisecond {
		t.Run(idle.String(), func(t *testing.T) {
			is := is.New(t)
			l := newReportedSim()
			l.run(time.Second)
			l.submit(l.batch("first", 1, 1, 1000, 100, 0))
			l.run(idle)
			placed, began := l.decisions[dispatch.RunPlaced], l.now
			l.submit(l.batch("second", 1, 1, 1000, 100, 0))
			for l.starts < 2 && l.now < began+2*time.Second {
				l.run(time.Millisecond)
			}
			is.True(l.now-began <= 350*time.Millisecond)
			is.Equal(l.decisions[dispatch.RunPlaced]-placed, 1)
		})
	}
}
