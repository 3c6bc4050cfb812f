package dedup

import (
	"container/heap"
	"container/list"
	"sync"
	"time"
)

// Table is the request table of one cell, at its home or at a peer that has a
// copy.
type Table struct {
	cell   Cell
	memory *memoryBudget

	mu      sync.Mutex
	entries map[string]*entry
	expiry  expiryHeap
	// keptAnswers lists the entries with a kept answer, oldest first.
	keptAnswers *list.List
	home        homeState
	imported    importState
	sync        syncSet
	// unprovenUntil is the end of the period in which ids that are not in the
	// table can't be proved to be new. provenFrom is the term from which
	// issued ids are exempt.
	unprovenUntil time.Duration
	provenFrom    int64
}

// homeState is the ownership of the cell as far as this VM has observed it.
type homeState struct {
	// owner is set while this VM is the home under term.
	owner bool
	term  int64
	// until is the end of the lease, or of the promises that replace it.
	until time.Duration
	// highestTerm is the highest term seen, from any source.
	highestTerm int64
}

// importState tracks the import of a full copy.
type importState struct {
	term   int64
	serial uint64
	parts  map[int]bool
	full   bool
}

func newTable(cell Cell, m *memoryBudget) *Table {
	return &Table{
		cell:        cell,
		memory:      m,
		entries:     map[string]*entry{},
		keptAnswers: list.New(),
		sync:        newSyncSet(),
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

// Expire drops the ids whose retention has passed. Other methods do so, too;
// the daemon calls Expire for tables that are not in use.
func (t *Table) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
}

func (t *Table) expire(now time.Duration) {
	for len(t.expiry) > 0 && t.expiry[0].expires <= now {
		t.removeEntry(t.expiry[0])
	}
}

// addEntry adds an id, or returns nil if the memory bound is reached.
func (t *Table) addEntry(id string, fingerprint uint64) *entry {
	if !t.memory.reserveID() {
		return nil
	}
	e := &entry{id: id, fingerprint: fingerprint, heapIndex: -1}
	t.entries[id] = e
	return e
}

func (t *Table) removeEntry(e *entry) {
	t.dropAnswer(e)
	if e.heapIndex >= 0 {
		heap.Remove(&t.expiry, e.heapIndex)
	}
	delete(t.entries, e.id)
	t.memory.idCount.Add(-1)
}

// keepUntil sets the time at which the id is dropped, unless it is already set
// to a later time.
func (t *Table) keepUntil(e *entry, until time.Duration) {
	if e.heapIndex < 0 {
		e.expires = until
		heap.Push(&t.expiry, e)
		return
	}
	e.expires = max(e.expires, until)
	heap.Fix(&t.expiry, e.heapIndex)
}

// setAnswer stores an answer and drops older answers of this table if the memory
// bound requires it. If the answer still exceeds the bound, the id gets the
// state AnswerNotKept.
func (t *Table) setAnswer(e *entry, a *Answer) {
	if len(a.Body) > MaxAnswerBytes {
		e.state = AnswerNotKept
		return
	}
	if !t.memory.hasRoom(a.size()) && !t.memory.hasRoom(a.size()-t.keptBytes()) {
		e.state = AnswerNotKept
		return
	}
	for !t.memory.reserveAnswer(a.size()) {
		oldest := t.keptAnswers.Front()
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
	e.answerElement = t.keptAnswers.PushBack(e)
}

// keptBytes returns the bytes of the answers that the table keeps.
func (t *Table) keptBytes() int64 {
	sum := int64(0)
	for element := t.keptAnswers.Front(); element != nil; element = element.Next() {
		sum += element.Value.(*entry).answer.size()
	}
	return sum
}

func (t *Table) dropAnswer(e *entry) {
	if e.answerElement == nil {
		return
	}
	t.keptAnswers.Remove(e.answerElement)
	t.memory.answerBytes.Add(-e.answer.size())
	e.answerElement = nil
	e.answer = nil
}
