package ledger

import (
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Offsets are the offsets of the next records to apply in the two streams of a
// cell.
type Offsets struct {
	Cell   int64
	Intake int64
}

// targetPartBytes is the size above which a new snapshot part is begun; a log
// record may have up to 256 KiB.
const targetPartBytes = 128 << 10

// snapshotWriter splits a snapshot into parts.
type snapshotWriter struct {
	parts []*ledgerpb.Snapshot
	size  int
}

// partFor returns the part to which a message of size bytes is added. It begins a
// new part if the current one has no room.
func (w *snapshotWriter) partFor(size int) *ledgerpb.Snapshot {
	if len(w.parts) == 0 || w.size+size > targetPartBytes {
		w.parts = append(w.parts, &ledgerpb.Snapshot{})
		w.size = 0
	}
	w.size += size
	return w.parts[len(w.parts)-1]
}

func (w *snapshotWriter) addSettled(s *ledgerpb.Settled) {
	p := w.partFor(proto.Size(s))
	p.Settled = append(p.Settled, s)
}

// Snapshot returns the state as a list of parts, each of which fits into a log
// record. The messages share with the ledger only messages that are never changed: the
// interference model, which a newer record replaces, and those of submissions.
func (l *Ledger) Snapshot(at Offsets) []*ledgerpb.Snapshot { return l.SnapshotWith(at, nil) }

// SnapshotWith returns a snapshot that also has the open runs of final submissions which
// are still being stopped: a successor may have to stop them.
func (l *Ledger) SnapshotWith(at Offsets, stopping []workload.RunID) []*ledgerpb.Snapshot {
	w := &snapshotWriter{}
	first := w.partFor(proto.Size(l.interferenceModel))
	first.Owner, first.Learned = OpenedRecord(l.owner).Opened, l.interferenceModel
	first.Witnesses = l.witnesses.message()
	for _, s := range l.silenceMessages() {
		p := w.partFor(proto.Size(s))
		p.Silent = append(p.Silent, s)
	}
	for _, e := range l.Live() {
		for _, r := range e.retainedMessages() {
			p := w.partFor(proto.Size(r))
			p.Live = append(p.Live, r)
		}
	}
	retained := l.retainStopping(w, stopping)
	l.entries.Range(func(_, value any) bool {
		if e := value.(*Entry); e.State().Final() && !retained[e.ID] {
			w.addSettled(e.settledMessage())
		}
		return true
	})
	l.earlyCancels.appendTo(w)
	for i, p := range w.parts {
		p.Part, p.Parts = int32(i), int32(len(w.parts))
		p.CellNext, p.IntakeNext, p.Format = at.Cell, at.Intake, l.format
	}
	return w.parts
}

// settledMessage returns the identity and the state of a final entry.
func (e *Entry) settledMessage() *ledgerpb.Settled {
	id := e.Identity()
	return &ledgerpb.Settled{
		Id: e.ID, State: int32(e.State()), Queue: id.Queue, Tenant: id.Tenant,
		Fingerprint: uint64(id.Fingerprint), RoundedFingerprint: uint64(id.Rounded),
	}
}

// retainStopping adds the final entries with open runs that are being stopped, and returns
// their ids. The runs of an entry follow each other.
func (l *Ledger) retainStopping(w *snapshotWriter, stopping []workload.RunID) map[string]bool {
	tasks := make(map[string][]*ledgerpb.TaskState)
	retained := make(map[string]bool)
	for _, id := range stopping {
		e := l.Find(id.Task.Submission)
		if e == nil || e.State() != workload.Cancelled && e.State() != workload.Failed {
			continue
		}
		if t := e.Task(id.Task); t != nil && t.Open && t.Run == id.Run {
			tasks[e.ID] = append(tasks[e.ID], t.message())
		}
	}
	for id, states := range tasks {
		retained[id] = true
		for _, r := range l.Find(id).messagesWith(states) {
			p := w.partFor(proto.Size(r))
			p.Live = append(p.Live, r)
		}
	}
	return retained
}

// ApplySnapshot merges a snapshot into the ledger and returns the offsets up to
// which it covers the streams. Newer state in the ledger is kept.
func (l *Ledger) ApplySnapshot(parts []*ledgerpb.Snapshot) Offsets {
	for _, p := range parts {
		l.format = max(l.format, p.Format)
		if p.Owner != nil {
			l.applyOpened(p.Owner)
			clear(l.silences)
		}
		if p.Witnesses != nil {
			l.applyWitnesses(p.Witnesses)
		}
		l.applySilent(&ledgerpb.Silent{Workers: p.Silent})
		if p.Learned != nil {
			l.interferenceModel = p.Learned
		}
		for _, r := range p.Live {
			l.applyRetained(r)
		}
		for _, s := range p.Settled {
			l.applySettled(s)
		}
	}
	return Offsets{Cell: parts[0].CellNext, Intake: parts[0].IntakeNext}
}

// applySettled makes an entry final. If the records of the entry have not been
// read, it is added with only its identity and state.
func (l *Ledger) applySettled(s *ledgerpb.Settled) {
	state := workload.State(s.State)
	if state == workload.Unknown {
		l.applyCancelled(s.Id, s.Queue)
		return
	}
	if !state.Final() {
		return
	}
	e := l.Find(s.Id)
	if e == nil {
		e = newEntry(workload.Submission{ID: s.Id, Queue: s.Queue, Tenant: s.Tenant})
		e.fingerprint, e.rounded = workload.Fingerprint(s.Fingerprint), workload.Fingerprint(s.RoundedFingerprint)
		l.entries.Store(s.Id, e)
		l.live[s.Id] = e
	}
	switch state {
	case workload.Completed:
		e.unfinished = 0
	case workload.Failed:
		e.failed = true
	case workload.Cancelled:
		e.cancelled = true
	}
	l.updateState(e)
}
