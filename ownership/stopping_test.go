package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// runWithOwnRecords steps a machine and feeds its own records back to it, with
// one record of another VM, which its renewals name, among them. It returns the number of Drain actions.
func runWithOwnRecords(m *Machine, other *recordpb.Renew) int {
	offset, drains := int64(0), 0
	var log []*recordpb.Record
	collect := func(actions []Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case Append:
				if renew := a.Record.GetRenew(); renew != nil {
					renew.Synced = []string{record.MemberName(other.Vm, other.Incarnation)}
				}
				log = append(log, a.Record)
			case Drain:
				drains++
			}
		}
	}
	for now := time.Duration(0); now < 4*time.Second; now += 50 * time.Millisecond {
		collect(m.Step(now, Tick{}))
		if now == 2*time.Second {
			log = append(log, &recordpb.Record{Renew: other})
		}
		for len(log) > 0 {
			offset++
			next := log[0]
			log = log[1:]
			collect(m.Step(now, Applied{Offset: offset, Record: next}))
		}
	}
	return drains
}

// Guards against releasing a cell to a VM that has begun its planned stop: the
// cell would have no running owner until the lease of the stopped VM expires.
func TestStoppingVMGetsNoCells(t *testing.T) {
	is := is.New(t)
	other := &recordpb.Renew{Vm: "other", Incarnation: 2, Joined: 1, Number: 1}
	is.True(runWithOwnRecords(New(DefaultConfig("owner", "giza", 1, 4)), other) > 0) // surplus goes to a live VM
	other.Stopping = true
	is.Equal(runWithOwnRecords(New(DefaultConfig("owner", "giza", 1, 4)), other), 0)
}

// Guards against releasing a cell to a VM whose leave record precedes the release.
func TestReleaseToVMThatLeftLeavesNoOwner(t *testing.T) {
	is := is.New(t)
	reader := New(DefaultConfig("reader", "giza", 9, 1))
	records := []*recordpb.Record{
		{Join: &recordpb.Join{Vm: "owner", Incarnation: 1}},
		{Join: &recordpb.Join{Vm: "other", Incarnation: 2}},
		{Claim: &recordpb.Claim{Vm: "owner", Incarnation: 1, Joined: 1, Number: 1}},
		{Leave: &recordpb.Leave{Vm: "other", Incarnation: 2}},
		{Release: &recordpb.Release{Vm: "owner", Incarnation: 1, Term: 3, To: "other", ToIncarnation: 2}},
	}
	for i, r := range records {
		reader.Step(time.Second, Applied{Offset: int64(i) + 1, Record: r})
	}
	is.Equal(reader.View(time.Second, 0).Owner, "")
	is.Equal(reader.View(time.Second, 0).Term, int64(5))
}
