package coordinator_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

var (
	intake     = coordinator.Stream{Topic: "intake"}
	cellStream = coordinator.Stream{Topic: coordinator.CellTopic}
)

// eventLog counts the lines with a text.
type eventLog struct {
	mu   sync.Mutex
	text string
}

func (l *eventLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(line)
	return len(line), nil
}

func (l *eventLog) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text, text)
}

func (h *harness) withLog() *eventLog {
	events := &eventLog{}
	h.logger, _ = logevent.New(events, "info")
	return events
}

func encoded(is *is.I, r *ledgerpb.Record) []byte {
	data, err := ledger.Encode(r)
	is.NoErr(err)
	return data
}

// unknownKind is a record of a kind that no version knows.
func unknownKind() []byte {
	return protowire.AppendBytes(protowire.AppendTag(nil, 200, protowire.BytesType), []byte("x"))
}

// Guards against an owner that skips, or applies as far as it knows it, a record that only a
// later version reads: it must leave the cell to a node of that version.
func TestRecordOfALaterFormatIsLeftToALaterVersion(t *testing.T) {
	for name, stream := range map[string]coordinator.Stream{"intake": intake, "cell": cellStream} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness()
				defer h.close()
				events := h.withLog()
				h.worker.endlessSubmission = "s"
				h.formats = map[string]int32{"later": ledger.Format + 1}
				h.group.heir = "later"
				h.group.assignTo("a")
				a := h.startNode("a", nil)
				time.Sleep(2 * time.Second)
				is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
				time.Sleep(time.Second)
				later := h.startNode("later", nil)
				cancel := ledger.CancelledRecord("s")
				cancel.Format = ledger.Format + 1
				_, err := h.log.Append(context.Background(), stream, [][]byte{encoded(is, cancel)}, nil)
				is.NoErr(err)
				if stream == cellStream {
					// It is read at the next takeover.
					h.group.assignTo("later")
					time.Sleep(2 * time.Second)
					h.group.assignTo("a")
				}
				time.Sleep(4 * time.Second)
				is.Equal(events.count(`"CellRefused"`), 1)
				is.Equal(h.group.leavesOf("a"), 1)
				state, err := later.State(timeoutContext(time.Second), "s")
				is.NoErr(err)
				is.Equal(state, workload.Cancelled)
				is.True(a.Ready())
				is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("t")))
				joins := h.group.joinsOf("a")
				time.Sleep(3 * time.Minute)
				state, err = later.State(timeoutContext(time.Second), "t")
				is.NoErr(err)
				is.Equal(state, workload.Completed)
				is.Equal(h.group.joinsOf("a"), joins) // The refusing node must not disturb the owner.
			})
		})
	}
}

// Guards against a node that skips a record of an unknown kind, and against one that takes the
// cell again and again while nobody can read it.
func TestUnreadableRecordStopsTheCellWithBoundedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		events := h.withLog()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(time.Second)
		_, err := a.Notify(context.Background(), &coordpb.NotifyRequest{Offset: 1, Record: unknownKind()})
		is.NoErr(err)
		time.Sleep(time.Second)
		is.Equal(events.count(`"CellRefused"`), 0) // It may not be in the log.
		h.log.update(func() { h.log.streams[intake] = append(h.log.streams[intake], unknownKind()) })
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("after")))
		time.Sleep(10 * time.Minute)
		// At once, after 15, 30, 60 and 120 s, and then every 120 s.
		is.Equal(events.count(`"CellRefused"`), 8)
		is.Equal(events.count(`"EpochOpened"`), 1)
		is.Equal(len(h.worker.starts), 2)
		is.True(a.Ready())
		// A record that the log drops unread stays a reason to refuse the cell.
		h.log.update(func() { h.log.logStart = int64(len(h.log.streams[intake])) })
		time.Sleep(3 * time.Minute)
		is.Equal(events.count(`"EpochOpened"`), 1)
		h.log.update(func() {
			h.log.logStart = 0
			h.log.streams[intake][1] = h.log.streams[intake][0]
		})
		time.Sleep(3 * time.Minute)
		state, err := a.State(timeoutContext(time.Second), "after")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
	})
}

// snapshotFault is something that keeps a node from reading the snapshot of a cell.
type snapshotFault struct {
	name   string
	change func(l *fakeLog)
}

func snapshotFaults(is *is.I) []snapshotFault {
	changePart := func(change func(p *ledgerpb.Snapshot)) func(l *fakeLog) {
		return func(l *fakeLog) {
			parts, err := ledger.DecodeSnapshot(l.snapshots[0])
			is.NoErr(err)
			change(parts[0])
			l.snapshots[0], err = ledger.EncodeSnapshot(parts)
			is.NoErr(err)
		}
	}
	return []snapshotFault{
		{"later format", changePart(func(p *ledgerpb.Snapshot) { p.Format = ledger.Format + 1 })},
		{"unknown state", changePart(func(p *ledgerpb.Snapshot) { p.Settled[0].State = 99 })},
		{"missing part", changePart(func(p *ledgerpb.Snapshot) { p.Parts = 2 })},
		{"cut part", func(l *fakeLog) { l.snapshots[0][0] = cutAtLastField(l.snapshots[0][0]) }},
		{"no part", func(l *fakeLog) { l.snapshots[0] = [][]byte{} }},
	}
}

// cutAtLastField removes the last field of a message, which leaves a valid message.
func cutAtLastField(data []byte) []byte {
	last := 0
	for at := 0; at < len(data); {
		last = at
		_, _, n := protowire.ConsumeField(data[at:])
		at += n
	}
	return data[:last]
}

// Guards against a takeover that goes on without the state in a snapshot that it can't read,
// or with a part of it, after the log has dropped the records.
func TestTakeoverWithoutAReadableSnapshotIsRefused(t *testing.T) {
	for _, fault := range snapshotFaults(is.New(t)) {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness()
				defer h.close()
				events := h.withLog()
				h.group.assignTo("a")
				a := h.startNode("a", nil)
				time.Sleep(2 * time.Second)
				is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("old")))
				time.Sleep(35 * time.Second)
				var kept [][]byte
				h.log.update(func() {
					h.log.logStart = int64(len(h.log.streams[intake]))
					kept = append(kept, h.log.snapshots[0]...)
					fault.change(h.log)
				})
				b := h.startNode("b", nil)
				h.group.assignTo("b")
				time.Sleep(8 * time.Second)
				is.Equal(events.count(`"EpochOpened"`), 1)
				is.Equal(events.count(`"CellRefused"`), 1)
				_, err := b.State(timeoutContext(time.Second), "old")
				is.True(errors.Is(err, coordinator.ErrUnavailable))
				is.True(b.Ready())
				h.log.update(func() { h.log.snapshots[0] = kept })
				time.Sleep(20 * time.Second)
				state, err := b.State(timeoutContext(time.Second), "old")
				is.NoErr(err)
				is.Equal(state, workload.Completed)
				for _, starts := range h.worker.starts {
					is.Equal(starts, 1)
				}
			})
		})
	}
}

// Guards against a cell without an owner although the log has all that an incomplete or
// damaged snapshot may hold.
func TestTakeoverGoesOnWithoutASnapshotThatTheLogCanReplace(t *testing.T) {
	for _, fault := range snapshotFaults(is.New(t))[2:] {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness()
				defer h.close()
				h.group.assignTo("a")
				a := h.startNode("a", nil)
				time.Sleep(2 * time.Second)
				is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("old")))
				time.Sleep(35 * time.Second)
				h.log.update(func() { fault.change(h.log) })
				b := h.startNode("b", nil)
				h.group.assignTo("b")
				time.Sleep(5 * time.Second)
				state, err := b.State(timeoutContext(time.Second), "old")
				is.NoErr(err)
				is.Equal(state, workload.Completed)
			})
		})
	}
}

// Guards against cells that no node owns because all nodes stand back from another cell.
func TestOtherCellsAreServedWhileNobodyReadsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		h.group.cells = 2
		defer h.close()
		events := h.withLog()
		h.group.assignTo("a")
		h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		unread := coordinator.Stream{Topic: "intake", Partition: 1}
		h.log.update(func() { h.log.streams[unread] = append(h.log.streams[unread], unknownKind()) })
		time.Sleep(6 * time.Second)
		is.Equal(h.group.leavesOf("a"), 1)
		is.Equal(events.count(`"CellRefused"`), 1)
		is.Equal(events.count(`"EpochOpened"`), 3) // Both cells, and cell 0 again.
		time.Sleep(10 * time.Minute)
		is.Equal(events.count(`"CellRefused"`), 8)
		is.Equal(h.group.leavesOf("a"), 8)
		h.log.update(func() { h.log.streams[unread] = nil })
		time.Sleep(3 * time.Minute)
		is.Equal(h.group.leavesOf("a"), 8)
		h.log.update(func() { h.log.streams[unread] = append(h.log.streams[unread], unknownKind()) })
		time.Sleep(10 * time.Second)
		is.Equal(events.count(`"duration":"15s"`), 2) // The delays begin anew.
	})
}

// Guards against an older owner that overwrites what a later version has published about
// itself, so that other nodes ask the wrong node.
func TestPublicationOfALaterVersionIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		opened := ledger.OpenedRecord(ledger.Owner{Epoch: 99, VM: "later", PeerAddress: "later"})
		opened.Format = ledger.Format + 1
		published := encoded(is, opened)
		is.NoErr(h.log.Put(context.Background(), "0", published))
		time.Sleep(20 * time.Second)
		values, err := h.log.Values(context.Background())
		is.NoErr(err)
		is.Equal(values["0"], published)
	})
}
