package ledger

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// ErrBadRecord is wrapped by errors about records that can't be applied.
var ErrBadRecord = errors.New("bad ledger record")

// Owner is who opened the newest epoch of a cell.
type Owner struct {
	Epoch       int64
	VM          string
	PeerAddress string
}

// Ledger is the durable state of a cell.
type Ledger struct {
	Index
	// live are the entries that are not final, by id.
	live map[string]*Entry
	// order are the ids of live entries in the order of their acceptance.
	order []*Entry
	owner Owner
	// settled are the entries that became final since the last sweep, aging
	// those that became final before.
	settled []string
	aging   []settledEntry
	// learned is what the newest owner that told has learned of images, or nil.
	learned *ledgerpb.Learned
}

// New returns the state of empty streams.
func New() *Ledger {
	return &Ledger{live: make(map[string]*Entry)}
}

// Owner returns who opened the newest epoch.
func (b *Ledger) Owner() Owner { return b.owner }

// InterferenceModel returns what earlier owners have learned of images, or nil.
func (b *Ledger) InterferenceModel() *ledgerpb.Learned { return b.learned }

// Live returns the entries that are not final, in the order of acceptance.
func (b *Ledger) Live() []*Entry {
	kept := b.order[:0]
	for _, e := range b.order {
		if b.live[e.ID] == e {
			kept = append(kept, e)
		}
	}
	clear(b.order[len(kept):])
	b.order = kept
	return kept
}

// Decode parses a record of either stream.
func Decode(data []byte) (*ledgerpb.Record, error) {
	r := new(ledgerpb.Record)
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	return r, nil
}

// Encode returns the bytes of a record.
func Encode(r *ledgerpb.Record) ([]byte, error) {
	data, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode ledger record: %w", err)
	}
	return data, nil
}

// Apply applies a record of either stream and returns the entry that it is
// about, or nil. A repeated record changes nothing.
func (b *Ledger) Apply(r *ledgerpb.Record) *Entry {
	switch {
	case r.Submitted != nil:
		return b.submit(submissionOf(r.Submitted))
	case r.Cancelled != nil:
		return b.cancel(r.Cancelled.Id)
	case r.Opened != nil:
		if r.Opened.Epoch > b.owner.Epoch {
			b.owner = OwnerOf(r.Opened)
		}
	case r.Placed != nil:
		return b.place(r.Placed)
	case r.Ended != nil:
		return b.end(r.Ended)
	case r.Learned != nil:
		b.learned = r.Learned
	}
	return nil
}

func (b *Ledger) submit(s workload.Submission) *Entry {
	if e := b.Find(s.ID); e != nil {
		return e
	}
	e := newEntry(s)
	b.entries.Store(s.ID, e)
	b.live[s.ID] = e
	b.order = append(b.order, e)
	return e
}

func (b *Ledger) cancel(id string) *Entry {
	e := b.Find(id)
	if e == nil || e.State().Final() {
		return e
	}
	e.cancelled = true
	b.settle(e)
	return e
}

func (b *Ledger) place(p *ledgerpb.Placed) *Entry {
	e, t := b.task(p.Task)
	if t == nil {
		return nil
	}
	if p.Run > t.Run {
		t.Run = p.Run
		if !t.Done {
			t.Open, t.PlacedOn = true, workload.Incarnation{Worker: p.Worker, StartMillis: p.Born}
		}
	}
	e.started = true
	b.settle(e)
	return e
}

func (b *Ledger) end(r *ledgerpb.Ended) *Entry {
	e, t := b.task(r.Task)
	if t == nil {
		return nil
	}
	if r.Checkpoint != "" && r.Run >= t.Run {
		t.Checkpoint = r.Checkpoint
	}
	outcome := workload.Outcome(r.Outcome)
	if e.Steps[t.ID.Step].Gang {
		b.endGang(e, t, r.Run, outcome)
	} else {
		b.endTask(e, t, r.Run, outcome)
	}
	b.settle(e)
	return e
}

func (b *Ledger) endTask(e *Entry, t *Task, run int64, outcome workload.Outcome) {
	if outcome == workload.Succeeded && !e.Steps[t.ID.Step].LongRunning {
		t.close()
		e.finish(t)
		return
	}
	if run != t.Run || !t.Open {
		return
	}
	t.close()
	if outcome == workload.Errored {
		t.Failures++
	}
	e.failed = e.failed || e.exhausted(t)
}

// endGang applies the end of a member. One success stands for all members; one
// failure of a run counts once for the gang, on its first member.
func (b *Ledger) endGang(e *Entry, t *Task, run int64, outcome workload.Outcome) {
	members := e.Occurrence(t.ID.Occurrence).Steps[t.ID.Step].Tasks
	if outcome == workload.Succeeded {
		for i := range members {
			members[i].close()
			e.finish(&members[i])
		}
		return
	}
	if run != t.Run || !t.Open {
		return
	}
	t.close()
	if t.Checkpoint != "" {
		for i := range members {
			members[i].Checkpoint = t.Checkpoint
		}
	}
	if outcome == workload.Errored {
		members[0].Failures++
		e.failed = e.failed || e.exhausted(&members[0])
	}
}

// exhausted tells whether a task has failed as often as its queue allows.
func (e *Entry) exhausted(t *Task) bool {
	return !e.Steps[t.ID.Step].LongRunning && e.Policy.MaxAttempts > 0 && t.Failures >= e.Policy.MaxAttempts
}

func (b *Ledger) task(id *ledgerpb.Task) (*Entry, *Task) {
	task := taskIDOf(id)
	e := b.Find(task.Submission)
	if e == nil {
		return nil, nil
	}
	return e, e.Task(task)
}

// settle publishes the state and drops a final entry from the live ones.
func (b *Ledger) settle(e *Entry) {
	e.publish()
	if _, live := b.live[e.ID]; live && e.State().Final() {
		delete(b.live, e.ID)
		b.settled = append(b.settled, e.ID)
	}
}
