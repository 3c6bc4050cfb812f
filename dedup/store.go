package dedup

import (
	"sync"
	"sync/atomic"
	"time"
)

// Store holds the request tables of all cells that this VM owns or has a copy
// of.
type Store struct {
	memory  memoryBudget
	binding atomic.Pointer[Binding]

	mu     sync.RWMutex
	tables map[Cell]*Table
}

// NewStore returns a Store without tables and with an empty binding.
func NewStore(limits Limits) *Store {
	s := &Store{tables: map[Cell]*Table{}}
	s.memory.limits = limits
	s.binding.Store(NewBinding(nil))
	return s
}

// Limits returns the limits of the store.
func (s *Store) Limits() Limits {
	return s.memory.limits
}

// SetBinding replaces the binding of ids to cells.
func (s *Store) SetBinding(b *Binding) {
	s.binding.Store(b)
}

// Resolve parses a request id and determines its cell; see Binding.Resolve.
func (s *Store) Resolve(text string) (ID, error) {
	return s.binding.Load().Resolve(text)
}

// Table returns the table of a cell. It creates the table if there is none.
func (s *Store) Table(cell Cell) *Table {
	if t, ok := s.Lookup(cell); ok {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[cell]
	if t == nil {
		t = newTable(cell, &s.memory)
		s.tables[cell] = t
	}
	return t
}

// Lookup returns the table of a cell, and whether there is one.
func (s *Store) Lookup(cell Cell) (*Table, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.tables[cell]
	return t, ok
}

// Expire drops the ids whose retention has passed from all tables.
func (s *Store) Expire(now time.Duration) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, t := range s.tables {
		t.Expire(now)
	}
}

// Usage returns the number of ids in all tables and the bytes of kept answers.
func (s *Store) Usage() (ids, answerBytes int64) {
	return s.memory.idCount.Load(), s.memory.answerBytes.Load()
}
