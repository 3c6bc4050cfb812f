package ledger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against an owner that takes a recorded silence for newer, or older, than the
// epochs show, also after a snapshot.
func TestSilenceKeepsTheNextEpoch(t *testing.T) {
	is := is.New(t)
	worker := workload.Incarnation{Worker: "w", StartMillis: 1}
	l := ledger.New()
	l.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 3, VM: "a"}))
	l.Apply(ledger.SilentRecord(map[workload.Incarnation]time.Duration{worker: 1500 * time.Microsecond}))
	silence, ok := l.Silence(worker)
	is.True(ok)
	is.Equal(silence, ledger.Silence{Expiry: 2 * time.Millisecond})
	l.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 3, VM: "a", Sole: true}))
	is.True(l.Owner().Sole)
	l.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 7, VM: "b"}))
	l.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 9, VM: "c"}))
	is.True(!l.Owner().Sole)

	restored := ledger.New()
	restored.Apply(ledger.SilentRecord(map[workload.Incarnation]time.Duration{{Worker: "heard"}: time.Second}))
	var data [][]byte
	for _, p := range l.Snapshot(ledger.Offsets{}) {
		encoded, err := proto.Marshal(p)
		is.NoErr(err)
		data = append(data, encoded)
	}
	parts, err := ledger.DecodeSnapshot(data)
	is.NoErr(err)
	restored.ApplySnapshot(parts)
	for _, l := range []*ledger.Ledger{l, restored} {
		silence, ok = l.Silence(worker)
		is.True(ok)
		is.Equal(silence, ledger.Silence{Expiry: 2 * time.Millisecond, NextEpoch: 7})
		is.Equal(l.SilentWorkers(), []workload.Incarnation{worker})
		l.Apply(ledger.HeardRecord(worker))
		_, ok = l.Silence(worker)
		is.True(!ok)
	}
}

// Guards against a record of a former owner, read again or late, that takes the cell back in
// the ledger and makes silences look newer than they are.
func TestOpenedRecordOfALowerEpochChangesNothing(t *testing.T) {
	is := is.New(t)
	worker := workload.Incarnation{Worker: "w", StartMillis: 1}
	l := ledger.New()
	l.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 7, VM: "b"}))
	l.Apply(ledger.SilentRecord(map[workload.Incarnation]time.Duration{worker: time.Second}))
	l.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 3, VM: "a", Sole: true}))
	is.Equal(l.Owner(), ledger.Owner{Epoch: 7, VM: "b"})
	silence, _ := l.Silence(worker)
	is.Equal(silence, ledger.Silence{Expiry: time.Second})
}
