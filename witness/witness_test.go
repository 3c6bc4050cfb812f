package witness_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/witness"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	epoch = 7
	lease = 5 * time.Second
	// begin is a time at which an owner has no witnesses yet.
	begin = time.Minute
)

func candidates() (out []witness.Candidate) {
	for i := range int64(3) {
		out = append(out, witness.Candidate{Witness: ledger.Witness{VM: string(rune('a' + i)), Process: i + 1}})
	}
	return out
}

// startTrial returns an owner with three witnesses on trial, and the calls to them.
func startTrial(is *is.I) (*witness.Owner, []witness.Call) {
	o := witness.NewOwner()
	is.Equal(o.Choose(candidates(), "", begin), nil)
	calls := o.Calls(begin)
	is.Equal(len(calls), 3)
	return o, calls
}

// Guards against a set that is recorded although leases were granted since a majority of it
// confirmed the owner.
func TestSetWithAnOldMajorityIsNotChosen(t *testing.T) {
	is := is.New(t)
	o, calls := startTrial(is)
	o.Answered(calls[0], witness.Answer{Confirmed: true})
	o.Answered(calls[1], witness.Answer{Confirmed: true})
	later := begin + 2*time.Second
	o.Answered(o.Calls(later)[2], witness.Answer{Confirmed: true})
	is.Equal(o.Choose(candidates(), "", later), nil)
	o.Answered(o.Calls(later)[0], witness.Answer{Confirmed: true})
	is.True(o.Choose(candidates(), "", later) != nil)
}

// Guards against leases that last for longer than a late confirmation allows.
func TestLateConfirmationsAreAsOldAsTheirCalls(t *testing.T) {
	is := is.New(t)
	o, calls := startTrial(is)
	for _, c := range calls {
		o.Answered(c, witness.Answer{Confirmed: true})
	}
	is.True(o.Choose(candidates(), "", begin) != nil)
	calls = o.Calls(begin + time.Second)
	o.Calls(begin + 2*time.Second)
	for _, c := range calls {
		o.Answered(c, witness.Answer{Confirmed: true})
	}
	is.Equal(o.LeaseLimit(begin+3*time.Second, lease), witness.ConfirmedDuration+lease-2*time.Second)
}

// Guards against a process that answers for an earlier one, whose confirmations it doesn't know.
func TestAnotherProcessMayHaveConfirmed(t *testing.T) {
	is := is.New(t)
	c := witness.NewConfirmations(2, begin)
	is.Equal(c.Confirm(1, epoch, nil, begin), witness.Answer{Leaving: true})
	is.Equal(c.LastConfirmed(1, epoch, begin+time.Second), witness.LastAnswer{Age: time.Second})
	is.Equal(c.LastConfirmed(2, epoch, begin+time.Second).Never, true)
	is.Equal(c.Confirm(2, epoch, nil, begin+time.Second), witness.Answer{})
}

// Guards against leases that a new set doesn't allow, granted while its record may be in the
// log and the owner hasn't heard of it: a successor asks the new set only.
func TestSetLimitsLeasesFromBeforeItsRecord(t *testing.T) {
	is := is.New(t)
	o, calls := startTrial(is)
	all := candidates()
	for _, c := range calls {
		o.Answered(c, witness.Answer{Confirmed: true})
	}
	is.True(o.Choose(all, "", begin) != nil)
	o.Recorded(1)
	for i := range int64(2) {
		all = append(all, witness.Candidate{Witness: ledger.Witness{VM: string(rune('d' + i)), Process: i + 4}})
	}
	is.Equal(o.Choose(slices.Clone(all), "", begin), nil)
	for _, c := range o.Calls(begin) {
		o.Answered(c, witness.Answer{Confirmed: true})
	}
	second := o.Choose(slices.Clone(all), "", begin)
	is.Equal(len(second.All), 5)
	later := begin + 3*time.Second
	for _, c := range o.Calls(later)[:2] {
		o.Answered(c, witness.Answer{Confirmed: true})
	}
	limit := witness.ConfirmedDuration + lease - 3*time.Second
	is.Equal(o.LeaseLimit(later, lease), limit)
	o.Recorded(second.Number)
	is.Equal(o.LeaseLimit(later, lease), limit)
}

// Guards against a set with a process that has never answered: with the loss of another one, the
// owner would have no majority.
func TestSetWithAProcessThatHasNotAnsweredIsNotChosen(t *testing.T) {
	is := is.New(t)
	o, calls := startTrial(is)
	for _, c := range calls[:2] {
		o.Answered(c, witness.Answer{Confirmed: true})
	}
	is.Equal(o.Choose(candidates(), "", begin), nil)
	o.Answered(calls[2], witness.Answer{Confirmed: true})
	is.True(o.Choose(candidates(), "", begin) != nil)
}

// Guards against a successor that is told of another report than the one that a witness named, or
// of one that may still be replaced, or by a process in place of the one that held it.
func TestReportOfAWitnessThatWasAskedStays(t *testing.T) {
	is := is.New(t)
	worker := workload.Incarnation{Worker: "w", StartMillis: 1}
	report := func(number int64) *witness.Report {
		return &witness.Report{Number: number, Numbering: 1, Workers: []workload.Incarnation{worker}, Expiry: []byte{byte(20 * number)}}
	}
	c := witness.NewConfirmations(2, begin)
	is.Equal(c.Confirm(2, epoch, report(1), begin), witness.Answer{Confirmed: true, Report: 1, Known: witness.Known{Numbering: 1, Workers: 1}})
	number, _ := c.LastReport(2, epoch, begin)
	is.Equal(number, int64(0))
	is.Equal(c.LastConfirmed(2, epoch, begin).Report, int64(1))
	is.Equal(c.Confirm(2, epoch, report(2), begin), witness.Answer{})
	number, leases := c.LastReport(2, epoch, begin+300*time.Millisecond)
	is.Equal(number, int64(1))
	is.Equal(leases, map[workload.Incarnation]time.Duration{worker: 700 * time.Millisecond})
	number, _ = c.LastReport(1, epoch, begin)
	is.Equal(number, int64(0))
}

// Guards against a process that ends at a call with a report that isn't whole.
func TestReportThatIsNotWholeIsNotKept(t *testing.T) {
	is := is.New(t)
	workers := []workload.Incarnation{{Worker: "w", StartMillis: 1}}
	c := witness.NewConfirmations(2, begin)
	for _, r := range []witness.Report{
		{Number: 1, Numbering: 1, Workers: workers, Expiry: []byte{1, 2}},
		{Number: 2, Numbering: 1, FirstWorker: 3, Workers: workers, Expiry: []byte{1}},
		{Number: 3, Numbering: 1, FirstWorker: -1, Workers: workers, Expiry: []byte{1}},
		{Number: 4, Numbering: 2, FirstWorker: 1, Workers: workers, Expiry: []byte{1}},
	} {
		answer := c.Confirm(2, epoch, &r, begin)
		is.True(answer.Confirmed)
		is.Equal(answer.Report, int64(0))
	}
	c.LastConfirmed(2, epoch, begin)
	number, leases := c.LastReport(2, epoch, begin)
	is.Equal(number, int64(0))
	is.Equal(len(leases), 0)
}

// Guards against leases that stay short because of the reports of witnesses that have been lost, once
// the record that there are none is in the log.
func TestReportsOfLostWitnessesLimitNothing(t *testing.T) {
	is := is.New(t)
	worker := workload.Incarnation{Worker: "w", StartMillis: 1}
	o, calls := startTrial(is)
	report := func() { o.Report(map[workload.Incarnation]time.Duration{worker: begin + lease}) }
	report()
	for _, c := range calls {
		o.Answered(c, witness.Answer{Confirmed: true, Report: 1})
	}
	is.Equal(o.Choose(candidates(), "", begin), nil)
	report()
	for _, c := range calls {
		o.Answered(c, witness.Answer{Confirmed: true, Report: 2})
	}
	is.True(o.Choose(candidates(), "", begin).Reports)
	o.Recorded(1)
	_, limited := o.WorkerLimit(worker)
	is.True(limited)
	none := o.Choose(nil, "", begin+10*time.Second)
	is.Equal(len(none.All), 0)
	_, limited = o.WorkerLimit(worker)
	is.True(limited)
	o.Recorded(none.Number)
	_, limited = o.WorkerLimit(worker)
	is.True(!limited)
}
