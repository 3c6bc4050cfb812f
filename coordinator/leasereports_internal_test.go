package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
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

// Guards against a task that runs twice: an owner's VM is suspended, and the owner goes on granting
// leases by a report whose time has gone on at the witnesses.
func TestReportLimitsLeasesOverASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lead, suspension, expiry = time.Hour, 3 * time.Second, 8 * time.Second
		began, suspended := time.Now(), lead
		n := NewNode(Config{Cells: 1, SuspendClock: func() time.Duration { return time.Since(began) + suspended }}, Platform{}, nil, NewMetrics())
		c := n.cells[0]
		c.witnesses.Store(witness.NewOwner())
		o := &ownership{cell: c, witnesses: c.witnesses.Load()}
		worker := workload.Incarnation{Worker: "w", StartMillis: 1}
		if _, limited := c.leaseExpiryLimit(worker); limited {
			t.Error("limited without a report")
		}
		o.witnesses.Choose([]witness.Candidate{candidateOf(1), candidateOf(2), candidateOf(3)}, "", n.authorityNow())
		o.report(map[workload.Incarnation]time.Duration{worker: expiry})
		for _, call := range o.witnesses.Calls(n.authorityNow()) {
			o.witnesses.Answered(call, witness.Answer{Confirmed: true, Report: 1})
		}
		// The set on trial keeps reports, and holds the first one.
		o.witnesses.Choose(nil, "", n.authorityNow())
		o.report(map[workload.Incarnation]time.Duration{worker: expiry})
		o.witnesses.Choose(nil, "", n.authorityNow())
		if limit, limited := c.leaseExpiryLimit(worker); !limited || limit != expiry {
			t.Errorf("limit %v, %v", limit, limited)
		}
		suspended += suspension
		if limit, limited := c.leaseExpiryLimit(worker); !limited || limit != expiry-suspension {
			t.Errorf("limit %v, %v after a suspension", limit, limited)
		}
	})
}

func candidateOf(process int64) witness.Candidate {
	return witness.Candidate{Witness: ledger.Witness{VM: string(rune('a' + process)), Process: process}}
}
