package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// startOfTwo runs two machines that start together, of which one claims both cells. The
// renewals of each name the other one from copiedAt on. It returns when the first cell was
// released, 0 if none was.
func startOfTwo(copiedAt, syncWait, end time.Duration) (releasedAt time.Duration) {
	names := []string{"giza-1", "giza-2"}
	machines := make([]*Machine, len(names))
	read := make([]int, len(names))
	for i, name := range names {
		config := DefaultConfig(name, "giza", uint64(i)+1, 2)
		config.SyncWait = syncWait
		machines[i] = New(config)
	}
	var log []*recordpb.Record
	var step func(now time.Duration, i int, ev Event)
	step = func(now time.Duration, i int, ev Event) {
		for _, action := range machines[i].Step(now, ev) {
			switch a := action.(type) {
			case Append:
				if renew := a.Record.GetRenew(); renew != nil && now >= copiedAt {
					renew.Synced = []string{record.MemberName(names[1-i], uint64(1-i)+1)}
				}
				if a.Record.GetRelease() != nil && releasedAt == 0 {
					releasedAt = now
				}
				log = append(log, a.Record)
			case Drain:
				step(now, i, CellDrained(a))
			}
		}
	}
	for now := time.Millisecond; now < end; now += 10 * time.Millisecond {
		for i := range machines {
			step(now, i, Tick{})
			for ; read[i] < len(log); read[i]++ {
				step(now, i, Applied{Offset: int64(read[i]) + 1, Record: log[read[i]]})
			}
		}
	}
	return releasedAt
}

// Guards against a cell that is released to a VM right after its claim, before the receiver
// has a copy of the request table: it would refuse ids of callers as unknown for as long as
// ids are kept.
func TestSurplusWaitsForACopyAtTheReceiver(t *testing.T) {
	is := is.New(t)
	const end = 30 * time.Second
	config := DefaultConfig("giza-1", "giza", 1, 2)

	releasedAt := startOfTwo(end, 0, time.Second)
	is.True(releasedAt > 0 && releasedAt < 100*time.Millisecond) // without a wait

	const copiedAt = 2 * time.Second
	releasedAt = startOfTwo(copiedAt, config.SyncWait, end)
	is.True(releasedAt >= copiedAt)
	is.True(releasedAt <= copiedAt+config.RenewEvery+50*time.Millisecond)

	// The wait has a bound.
	releasedAt = startOfTwo(end, config.SyncWait, end)
	is.True(releasedAt >= config.SyncWait && releasedAt <= config.SyncWait+100*time.Millisecond)
}

// Guards against a copy that counts for a cell which the owner claimed after it was made.
func TestCopyCountsForTheCellsOfItsRenewalOnly(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig("owner", "giza", 1, 2))
	m.Step(time.Second, Tick{})
	apply := func(offset int64, r *recordpb.Record) { m.Step(time.Second, Applied{Offset: offset, Record: r}) }
	apply(1, &recordpb.Record{Join: &recordpb.Join{Vm: "owner", Incarnation: 1}})
	apply(2, &recordpb.Record{Join: &recordpb.Join{Vm: "other", Incarnation: 2}})
	apply(3, &recordpb.Record{Claim: &recordpb.Claim{Vm: "owner", Incarnation: 1, Joined: 1, Cell: 0, Number: 1}})
	apply(4, &recordpb.Record{Claim: &recordpb.Claim{Vm: "owner", Incarnation: 1, Joined: 1, Cell: 1, Number: 2}})
	apply(5, &recordpb.Record{Renew: &recordpb.Renew{
		Vm: "owner", Incarnation: 1, Joined: 1, Number: 1, Read: 4, Synced: []string{record.MemberName("other", 2)},
		Cells: []*recordpb.CellTerm{{Cell: 0, Term: 3}},
	}})
	is.True(m.mayReceive(&m.cells[0], "other"))
	is.True(!m.mayReceive(&m.cells[1], "other"))
	// A process that has restarted has lost its copy.
	apply(6, &recordpb.Record{Join: &recordpb.Join{Vm: "other", Incarnation: 3}})
	is.True(!m.mayReceive(&m.cells[0], "other"))
}
