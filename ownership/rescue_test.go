package ownership

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Guards against a rescue while a disconnected owner may still renew task leases,
// and against a rescuer that prevents a VM of the cell's own data centre from
// claiming it.
func TestRescueAfterTheOfflineLimit(t *testing.T) {
	is := is.New(t)
	config := DefaultConfig("far", "giza", 9, 1)
	config.Rescuer = true
	m := New(config)
	log := []*recordpb.Record{
		{Join: &recordpb.Join{Vm: "vm", Incarnation: 1}},
		{Claim: &recordpb.Claim{Vm: "vm", Incarnation: 1, Joined: 1, Number: 1}},
	}
	for i, r := range log {
		is.Equal(countClaims(m.Step(time.Second, Applied{Offset: int64(i + 1), Record: r})), 0)
	}
	silence := 15*time.Minute + 15*time.Second
	is.Equal(countClaims(m.Step(time.Second+silence, Tick{})), 0)
	actions := m.Step(3*time.Second+silence+silence/100, Tick{})
	is.Equal(countClaims(actions), 1)
	claim := actions[0].(Append).Record
	is.True(claim.Claim.Rescue)
	now := 20 * time.Minute
	m.Step(now, Applied{Offset: 3, Record: claim})
	view := m.View(now, 0)
	is.Equal(view.OwnState, StateRescue)
	is.Equal(view.Slots, 0)
	is.Equal(view.PlaceUntil, time.Duration(0))

	native := New(DefaultConfig("back", "giza", 4, 1))
	join := &recordpb.Record{Join: &recordpb.Join{Vm: "back", Incarnation: 4}}
	for i, r := range append(log, claim, join) {
		native.Step(time.Second, Applied{Offset: int64(i + 1), Record: r})
	}
	actions = native.Step(3*time.Second, Tick{})
	is.Equal(countClaims(actions), 1)
	m.Step(now, Applied{Offset: 4, Record: join})
	m.Step(now, Applied{Offset: 5, Record: &recordpb.Record{Claim: &recordpb.Claim{
		Vm: "back", Incarnation: 4, Joined: 4, Expects: 3, Number: 1,
	}}})
	is.Equal(m.View(now, 0).OwnState, StateNone)
}

// Guards against a data centre that can't claim its cells after the log has been
// truncated past all their records.
func TestColdStartOnATruncatedStream(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig("vm", "giza", 1, 1))
	offset := int64(500)
	var feed func(now time.Duration, actions []Action)
	feed = func(now time.Duration, actions []Action) {
		for _, action := range actions {
			if a, ok := action.(Append); ok {
				offset++
				feed(now, m.Step(now, Applied{Offset: offset, Record: a.Record}))
			}
		}
	}
	for now := time.Duration(0); now < 5*time.Second; now += time.Second {
		feed(now, m.Step(now, Tick{}))
		is.Equal(m.View(now, 0).OwnState, StateNone) // an owner may still renew
	}
	for now := 6 * time.Second; now < 10*time.Second; now += time.Second {
		feed(now, m.Step(now, Tick{}))
	}
	is.Equal(m.View(10*time.Second, 0).OwnState, StateHeld)
	is.True(!m.cells[0].ownerUnresolved)
}

// Guards against a planned stop that waits for a join record that is never written.
func TestStopBeforeJoinLeavesAtOnce(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig("vm", "giza", 1, 1))
	is.Equal(m.Step(0, StopRequested{}), []Action{StopCompleted{}})
	is.Equal(len(m.Step(time.Second, Tick{})), 0)
}

// Guards against a planned stop that releases a cell while requests of the failed
// owner can still be running: the receiver would use their slots immediately.
func TestNoReleaseWhileWaiting(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig("vm", "giza", 2, 1))
	old := &recordpb.Renew{Vm: "old", Incarnation: 1, Number: 1, Read: 2, Cells: []*recordpb.CellTerm{{Term: 1}}}
	for i, r := range []*recordpb.Record{
		{Claim: &recordpb.Claim{Vm: "old", Incarnation: 1, Number: 1}},
		{Join: &recordpb.Join{Vm: "vm", Incarnation: 2}},
		{Renew: old},
	} {
		m.Step(0, Applied{Offset: int64(i + 1), Record: r})
	}
	claims := m.Step(6*time.Second, Tick{})
	is.Equal(countClaims(claims), 1)
	for _, action := range claims {
		if a, ok := action.(Append); ok && a.Record.Claim != nil {
			m.Step(6*time.Second, Applied{Offset: 4, Record: a.Record})
		}
	}
	is.Equal(m.View(6*time.Second, 0).OwnState, StateWaiting)
	is.True(!slices.Contains(m.Step(7*time.Second, StopRequested{}), Action(Drain{})))
	is.True(!slices.Contains(m.Step(11*time.Second, Tick{}), Action(Drain{})))
	is.True(slices.Contains(m.Step(11100*time.Millisecond, Tick{}), Action(Drain{})))
}
