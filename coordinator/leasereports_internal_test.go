package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/witness"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a round of calls that carries the report before the one that was made for it, so
// that leases are short for longer and a set of witnesses is recorded later.
func TestRoundOfCallsCarriesItsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &ownership{witnesses: witness.NewOwner(), reportRequests: make(chan chan<- struct{})}
		worker := workload.Incarnation{Worker: "w", StartMillis: 1}
		go func() {
			made := <-o.reportRequests
			time.Sleep(reportTimeout / 2)
			o.witnesses.Report(map[workload.Incarnation]time.Duration{worker: time.Minute})
			close(made)
		}()
		o.requestReport(t.Context())
		if report := o.witnesses.ReportFor(witness.Call{}, 0); report == nil || report.Number != 1 {
			t.Errorf("report %v", report)
		}
	})
}
