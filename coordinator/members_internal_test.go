package coordinator

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// Guards against calls under many addresses that take memory without bound at a node that owns
// nothing.
func TestMembersAreBounded(t *testing.T) {
	is := is.New(t)
	m := &members{}
	for i := range 2 * maxMembers {
		m.note(&coordpb.AwaitEndRequest{PeerAddress: strconv.Itoa(i)}, time.Second)
	}
	is.Equal(len(m.all), maxMembers)
	m.note(&coordpb.AwaitEndRequest{PeerAddress: "0", Reads: 1}, time.Second)
	is.Equal(m.all["0"].reads, int32(1))
	m.note(&coordpb.AwaitEndRequest{PeerAddress: "new"}, 2*time.Second+memberMemory)
	is.Equal(len(m.all), 1)
}

// Guards against an owner that removes what an older node would find before it knows all nodes,
// and against one that writes the older form with each snapshot.
func TestOlderFormIsKeptAndWrittenAtIntervals(t *testing.T) {
	is := is.New(t)
	opened := time.Hour
	o := &ownership{cell: &cell{node: &Node{metrics: NewMetrics()}}, openedAt: opened}
	formAt := func(age time.Duration) SnapshotForm {
		form, older := o.snapshotForm(opened + age)
		o.noteSaved(form, 2, older, opened+age)
		return form
	}
	is.Equal(formAt(0), KeepOlderForm)
	is.Equal(formAt(membersKnownAfter), NewestForm)
	o.members.note(&coordpb.AwaitEndRequest{Vm: "old", PeerAddress: "old"}, opened+10*time.Second)
	is.Equal(formAt(10*time.Second), WriteOlderForm)
	is.Equal(formAt(13*time.Second), KeepOlderForm)
	is.Equal(formAt(39*time.Second), KeepOlderForm)
	is.Equal(formAt(40*time.Second), WriteOlderForm)
	is.Equal(formAt(9*time.Second+memberMemory), KeepOlderForm)
	is.Equal(formAt(11*time.Second+memberMemory), NewestForm)
	// A small snapshot is found by all nodes.
	o.members.note(&coordpb.AwaitEndRequest{Vm: "old", PeerAddress: "old"}, opened+200*time.Second)
	form, older := o.snapshotForm(opened + 200*time.Second)
	o.noteSaved(form, 1, older, opened+200*time.Second)
	is.Equal(formAt(201*time.Second), WriteOlderForm)
	// A node of this version at the same address replaces it.
	o.members.note(&coordpb.AwaitEndRequest{Vm: "old", PeerAddress: "old", Reads: 1}, opened+202*time.Second)
	is.Equal(formAt(203*time.Second), NewestForm)
}
