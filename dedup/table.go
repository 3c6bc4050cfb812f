package dedup

import (
	"container/heap"
	"container/list"
	"sync"
	"time"
)

// Table is the request table of one cell, at its home or at a peer that keeps
// a copy.
type Table struct {
	cell   Cell
	memory *memory

	mu      sync.Mutex
	entries map[string]*entry
	expiry  expiry
	// answers lists the entries with a kept answer, oldest first.
	answers *list.List
	home    homeState
	copied  copyState
	sync    syncSet
	// unproven is the end of the period in which ids that the table does not
	// have can't be proved to be new; provenFrom is the term from which issued
	// ids are exempt.
	unproven   time.Duration
	provenFrom int64
}

// homeState is the table's knowledge of the cell's ownership.
type homeState struct {
	// owner is set while this VM is the home under term.
	owner bool
	term  int64
	// until is the end of the lease, or of the promises that stand in for it.
	until time.Duration
	// highest is the highest term seen, from any source.
	highest int64
}

// copyState tracks the import of a full copy.
type copyState struct {
	term   int64
	serial uint64
	parts  map[int]bool
	full   bool
}

func newTable(cell Cell, m *memory) *Table {
	return &Table{
		cell:    cell,
		memory:  m,
		entries: map[string]*entry{},
		answers: list.New(),
		sync:    newSyncSet(),
	}
}

// Cell returns the table's cell.
func (t *Table) Cell() Cell {
	return t.cell
}

// Len returns the number of ids.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Expire drops the ids whose retention has passed. The other methods do so,
// too; the daemon calls it for tables that are not in use.
func (t *Table) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

func (t *Table) expire(now time.Duration) {
	for len(t.expiry) > 0 && t.expiry[0].expires <= now {
		t.remove(t.expiry[0])
	}
}

// add inserts an id, or returns nil if the memory bound is reached.
func (t *Table) add(id string, fingerprint uint64) *entry {
	if !t.memory.addID() {
		return nil
	}
	e := &entry{id: id, fingerprint: fingerprint, index: -1}
	t.entries[id] = e
	return e
}

func (t *Table) remove(e *entry) {
	t.dropAnswer(e)
	if e.index >= 0 {
		heap.Remove(&t.expiry, e.index)
	}
	delete(t.entries, e.id)
	t.memory.ids.Add(-1)
}

// keepUntil sets when the id is dropped; a later time than before wins.
func (t *Table) keepUntil(e *entry, until time.Duration) {
	if e.index < 0 {
		e.expires = until
		heap.Push(&t.expiry, e)
		return
	}
	e.expires = max(e.expires, until)
	heap.Fix(&t.expiry, e.index)
}

// setAnswer keeps an answer, dropping older ones of this table if the memory
// bound requires it. If there still is no room, the id is kept as NotKept.
func (t *Table) setAnswer(e *entry, a *Answer) {
	if len(a.Body) > MaxAnswerBytes {
		e.state = AnswerNotKept
		return
	}
	for !t.memory.addAnswer(a.size()) {
		oldest := t.answers.Front()
		if oldest == nil {
			e.state = AnswerNotKept
			return
		}
		old := oldest.Value.(*entry)
		t.dropAnswer(old)
		old.state = AnswerNotKept
	}
	e.state = Answered
	e.answer = a
	e.kept = t.answers.PushBack(e)
}

func (t *Table) dropAnswer(e *entry) {
	if e.kept == nil {
		return
	}
	t.answers.Remove(e.kept)
	t.memory.answers.Add(-e.answer.size())
	e.kept = nil
	e.answer = nil
}
