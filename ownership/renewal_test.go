package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Guards against a claim by a VM whose join the owner has not read: it joined
// between the owner's last read of the stream and a renewal that was appended but
// not read back. The owner requests promises only from members whose joins it has
// read, so such a claim would let two VMs use the full slots of the cell.
func TestRenewalNotReadBackExcludesUnreadMembers(t *testing.T) {
	is := is.New(t)
	joiner := New(DefaultConfig("late", "giza", 2, 1))
	step := func(now time.Duration, ev Event) []Action { return joiner.Step(now, ev) }
	apply := func(offset int64, r *recordpb.Record) {
		step(time.Second, Applied{Offset: offset, Record: r})
	}
	apply(1, &recordpb.Record{Join: &recordpb.Join{Vm: "owner", Incarnation: 1}})
	apply(2, &recordpb.Record{Claim: &recordpb.Claim{Vm: "owner", Incarnation: 1, Joined: 1, Number: 1}})
	apply(3, &recordpb.Record{Join: &recordpb.Join{Vm: "late", Incarnation: 2}})
	// The renewal was sent before the owner read the join at offset 3.
	apply(4, &recordpb.Record{Renew: &recordpb.Renew{
		Vm: "owner", Incarnation: 1, Joined: 1, Number: 1, Read: 2,
		Cells: []*recordpb.CellTerm{{Cell: 0, Term: 2}},
	}})
	is.Equal(countClaims(step(30*time.Second, Tick{})), 0)
	// A renewal that was sent after the join was read admits the claim.
	apply(5, &recordpb.Record{Renew: &recordpb.Renew{
		Vm: "owner", Incarnation: 1, Joined: 1, Number: 2, Read: 4,
		Cells: []*recordpb.CellTerm{{Cell: 0, Term: 2}},
	}})
	is.Equal(countClaims(step(60*time.Second, Tick{})), 1)
}

func countClaims(actions []Action) int {
	count := 0
	for _, action := range actions {
		if a, ok := action.(Append); ok && a.Record.GetClaim() != nil {
			count++
		}
	}
	return count
}
