package witness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/witness"
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
	is.Equal(c.Confirm(1, epoch, begin), witness.Answer{Leaving: true})
	is.Equal(c.LastConfirmed(1, epoch, begin+time.Second), witness.LastAnswer{Age: time.Second})
	is.Equal(c.LastConfirmed(2, epoch, begin+time.Second).Never, true)
	is.Equal(c.Confirm(2, epoch, begin+time.Second), witness.Answer{})
}
