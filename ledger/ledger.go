package ledger

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// ErrBadRecord is wrapped by errors about records that can't be decoded.
var ErrBadRecord = errors.New("bad ledger record")

// Owner identifies the node that opened the newest epoch of a cell.
type Owner struct {
	Epoch       int64
	VM          string
	PeerAddress string
	// Sole: no owner of an earlier epoch can grant leases any more.
	Sole bool
}

// Ledger is the durable state of a cell, rebuilt from its two streams.
type Ledger struct {
	Index
	// live maps ids to the entries that are not final.
	live map[string]*Entry
	// liveOrder lists the live entries in order of acceptance. It may still
	// contain entries that have become final; Live removes them.
	liveOrder []*Entry
	owner     Owner
	// finalEntries are the ids of the entries that are final.
	finalEntries agingIDs
	earlyCancels earlyCancels
	// interferenceModel is the interference model that an owner recorded last, or
	// nil.
	interferenceModel *ledgerpb.Learned
	// silences are the workers that did not answer an owner, and were not heard again.
	silences map[workload.Incarnation][]Silence
	// witnesses are those of the owner.
	witnesses Witnesses
	// format is the highest format of what was applied.
	format int32
}

// New returns the ledger of two empty streams.
func New() *Ledger {
	return &Ledger{
		live: make(map[string]*Entry), earlyCancels: newEarlyCancels(),
		silences: make(map[workload.Incarnation][]Silence),
	}
}

// Owner returns the owner that opened the newest epoch.
func (l *Ledger) Owner() Owner { return l.owner }

// InterferenceModel returns the interference model that an owner recorded last,
// or nil if there is none.
func (l *Ledger) InterferenceModel() *ledgerpb.Learned { return l.interferenceModel }

// Live returns the entries that are not final, in order of acceptance.
func (l *Ledger) Live() []*Entry {
	kept := l.liveOrder[:0]
	for _, e := range l.liveOrder {
		if l.live[e.ID] == e {
			kept = append(kept, e)
		}
	}
	clear(l.liveOrder[len(kept):])
	l.liveOrder = kept
	return kept
}

// Decode parses a record of either stream. Its errors wrap ErrBadRecord or ErrUnknownFormat.
func (x Reader) Decode(data []byte) (*ledgerpb.Record, error) {
	r := new(ledgerpb.Record)
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if err := x.checkRecord(r); err != nil {
		return nil, err
	}
	if err := validate(r.Submitted); err != nil {
		return nil, err
	}
	if err := validate(r.Transferred.GetSubmitted()); err != nil {
		return nil, err
	}
	return r, nil
}

// validate returns an error that wraps ErrBadRecord if a submission in the log is not
// valid. Applying it could panic, in every owner that reads it.
func validate(r *ledgerpb.Submitted) error {
	if r == nil {
		return nil
	}
	s := submissionOf(r)
	if err := s.Validate(); err != nil {
		return fmt.Errorf("%w: submission %q: %w", ErrBadRecord, r.Id, err)
	}
	return nil
}

// Encode returns the encoding of a record.
func Encode(r *ledgerpb.Record) ([]byte, error) {
	data, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode ledger record: %w", err)
	}
	return data, nil
}

// Apply applies a record of either stream and returns the entry that it refers
// to, or nil. Applying a record again has no effect.
func (l *Ledger) Apply(r *ledgerpb.Record) *Entry {
	l.format = max(l.format, r.Format)
	switch {
	case r.Submitted != nil:
		return l.applySubmitted(r.Submitted)
	case r.Cancelled != nil:
		return l.applyCancelled(r.Cancelled.Id, r.Cancelled.Queue)
	case r.Opened != nil:
		l.applyOpened(r.Opened)
	case r.Placed != nil:
		return l.applyPlaced(r.Placed)
	case r.Ended != nil:
		return l.applyEnded(r.Ended)
	case r.Learned != nil:
		l.interferenceModel = r.Learned
	case r.Released != nil:
		return l.applyReleased(r.Released)
	case r.Transferred != nil:
		return l.applyTransferred(r.Transferred)
	case r.Silent != nil:
		l.applySilent(r.Silent)
	case r.Heard != nil:
		l.applyHeard(r.Heard)
	case r.Crashed != nil:
		return l.applyCrashed(r.Crashed)
	case r.Survived != nil:
		return l.applySurvived(r.Survived)
	case r.Witnesses != nil:
		l.applyWitnesses(r.Witnesses)
	}
	return nil
}

// applySubmitted adds a submission. The first one with an id has it, until it has been final for the
// retention of Sweep; what Identity.IsRepeat tells from it has no effect.
func (l *Ledger) applySubmitted(r *ledgerpb.Submitted) *Entry {
	if e := l.Find(r.Id); e != nil {
		return e
	}
	return l.addEntry(r)
}

// addEntry adds an entry. It is final at once if the cancellation came first.
func (l *Ledger) addEntry(r *ledgerpb.Submitted) *Entry {
	s := submissionOf(r)
	e := newEntry(s)
	e.fingerprint = workload.Fingerprint(r.Fingerprint)
	l.live[s.ID] = e
	l.liveOrder = append(l.liveOrder, e)
	if l.earlyCancels.take(s.ID, s.Queue) {
		e.cancelled = true
		l.updateState(e)
	}
	l.entries.Store(s.ID, e)
	return e
}

// applyCancelled cancels a submission to a queue, or to any queue if the name is "". A
// cancellation of an unknown id holds for a submission to the queue that arrives later.
func (l *Ledger) applyCancelled(id, queue string) *Entry {
	e := l.Find(id)
	if e == nil {
		l.earlyCancels.add(id, queue)
		return nil
	}
	if e.State().Final() || queue != "" && e.Queue != queue {
		return e
	}
	e.cancelled = true
	l.updateState(e)
	return e
}

func (l *Ledger) applyPlaced(p *ledgerpb.Placed) *Entry {
	e, t := l.findTask(p.Task)
	if t == nil {
		return nil
	}
	if p.Run > t.Run {
		t.Run = p.Run
		if !t.Done {
			t.Open, t.PlacedAt = true, p.Address
			t.PlacedOn = workload.Incarnation{Worker: p.Worker, StartMillis: p.Born}
			t.Order, t.FreshFrom, t.EndsConnections = p.Order, p.FreshFrom, p.EndsConnections
		}
		if e.Steps[t.ID.Step].Gang {
			noteGangPlaced(t, e.stepOf(t).Tasks)
		}
		e.setCheckpoint(t, p.Checkpoint)
	}
	e.started = true
	l.updateState(e)
	return e
}

func (l *Ledger) applyEnded(r *ledgerpb.Ended) *Entry {
	e, t := l.findTask(r.Task)
	if t == nil {
		return nil
	}
	isNewest := r.Run >= e.newestRun(t)
	if r.Checkpoint != "" && isNewest {
		t.Checkpoint = r.Checkpoint
	}
	e.NoteActive()
	outcome := workload.Outcome(r.Outcome)
	if e.Steps[t.ID.Step].Gang {
		if l.applyGangEnd(e, t, r.Run, outcome) && isNewest {
			e.setCheckpoint(t, r.Checkpoint)
		}
	} else {
		l.applyTaskEnd(e, t, r.Run, outcome)
	}
	l.updateState(e)
	return e
}

func (l *Ledger) applyTaskEnd(e *Entry, t *Task, run int64, outcome workload.Outcome) {
	if t.Away {
		// The cell that has the task decides what becomes of it.
		return
	}
	if outcome == workload.Succeeded && !e.Steps[t.ID.Step].LongRunning {
		t.closeRun()
		e.finish(t, true)
		return
	}
	if run != t.Run || !t.Open {
		return
	}
	t.closeRun()
	if outcome == workload.Errored {
		t.Failures++
	}
	if e.attemptsExhausted(t) {
		e.finish(t, false)
	}
}

// finish ends a task that is done or has failed for good. A guest returns it to the cell
// of the submission, which alone decides on the submission's state.
func (e *Entry) finish(t *Task, done bool) {
	switch {
	case e.guest:
		t.Done = done
		t.Transfer++
		e.stepOf(t).setAway(t, true)
	case done:
		e.markDone(t)
	default:
		e.failed = true
	}
}

// noteGangPlaced keeps, on a member that is placed, the failures of its gang before the run:
// gangFailed must count the run once, however many of its members fail.
func noteGangPlaced(t *Task, members []Task) {
	if t.ID.Index > 0 {
		t.Failures = members[0].Failures
	}
}

// gangFailed counts a failed run of a gang, unless another member of the run has failed.
func gangFailed(members []Task) {
	if len(members) == 1 || members[0].Failures == members[1].Failures {
		members[0].Failures++
	}
}

// applyGangEnd applies the end of a gang member's run. The success of one member
// completes all members, unless they are to last. A failed run counts as one failure of the gang, which is
// kept on the first member. It reports whether the gang has to run again.
func (l *Ledger) applyGangEnd(e *Entry, t *Task, run int64, outcome workload.Outcome) bool {
	if t.Away {
		return false
	}
	members := e.stepOf(t).Tasks
	if outcome == workload.Succeeded && !e.Steps[t.ID.Step].LongRunning {
		for i := range members {
			members[i].closeRun()
			e.finish(&members[i], true)
		}
		return false
	}
	if run != t.Run || !t.Open {
		return false
	}
	t.closeRun()
	if outcome == workload.Errored {
		gangFailed(members)
		e.finishFailedGang(members)
	}
	return true
}

// finishFailedGang ends a gang that has used up its attempts. A guest returns all of its
// members.
func (e *Entry) finishFailedGang(members []Task) {
	if !e.attemptsExhausted(&members[0]) {
		return
	}
	e.finish(&members[0], false)
	for i := 1; e.guest && i < len(members); i++ {
		members[i].Failures = members[0].Failures
		e.finish(&members[i], false)
	}
}

// attemptsExhausted reports whether a task has reached the attempt limit of its
// queue.
func (e *Entry) attemptsExhausted(t *Task) bool {
	return !e.Steps[t.ID.Step].LongRunning && e.Policy.MaxAttempts > 0 && t.Failures >= e.Policy.MaxAttempts
}

func (l *Ledger) findTask(id *ledgerpb.Task) (*Entry, *Task) {
	task := taskIDOf(id)
	e := l.Find(task.Submission)
	if e == nil {
		return nil, nil
	}
	return e, e.Task(task)
}

// updateState updates the published state of an entry and removes the entry from
// the live ones if it is final.
func (l *Ledger) updateState(e *Entry) {
	e.updateState()
	if _, live := l.live[e.ID]; live && e.State().Final() {
		delete(l.live, e.ID)
		l.finalEntries.add(e.ID)
	}
}
