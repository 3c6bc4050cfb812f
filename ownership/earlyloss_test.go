package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Guards against a cell that nobody may claim because its owner was killed before its next
// renewal, and the other VM had joined after the claim.
func TestOwnerKilledSoonAfterItsClaimIsReplaced(t *testing.T) {
	is := is.New(t)
	first := New(DefaultConfig("giza-1", "giza", 1, 1))
	second := New(DefaultConfig("giza-2", "giza", 2, 1))
	var log []*recordpb.Record
	read := make(map[*Machine]int)
	step := func(now time.Duration, m *Machine) {
		collect := func(actions []Action) {
			for _, action := range actions {
				if a, ok := action.(Append); ok {
					log = append(log, a.Record)
				}
			}
		}
		collect(m.Step(now, Tick{}))
		for ; read[m] < len(log); read[m]++ {
			collect(m.Step(now, Applied{Offset: int64(read[m]) + 1, Record: log[read[m]]}))
		}
	}
	const joinsAt, killedAt, end = 200 * time.Millisecond, 400 * time.Millisecond, 8 * time.Second
	for now := 10 * time.Millisecond; now < end; now += 10 * time.Millisecond {
		if now < killedAt {
			step(now, first)
		}
		if now >= joinsAt {
			step(now, second)
		}
	}
	is.Equal(first.View(killedAt, 0).OwnState, StateHeld)
	is.Equal(second.View(end, 0).Owner, "giza-2")
}
