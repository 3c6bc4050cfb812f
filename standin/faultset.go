package standin

import (
	"slices"
	"sync"
)

// FaultSet holds the active request faults. It is safe for concurrent use.
type FaultSet struct {
	mu     sync.Mutex
	faults []Fault
}

// Set switches a fault on or off. It replaces an active fault of the same kind
// and target.
func (s *FaultSet) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.DeleteFunc(s.faults, func(other Fault) bool {
		return other.Kind == f.Kind && other.Target == f.Target
	})
	if !f.Off {
		s.faults = append(s.faults, f)
	}
}

// MatchRequest returns the faults that affect a request to an endpoint with the
// given target names. It lowers the remaining counts of these faults.
func (s *FaultSet) MatchRequest(targets []string) []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matched []Fault
	for i := range s.faults {
		f := &s.faults[i]
		if !slices.Contains(targets, f.Target) {
			continue
		}
		matched = append(matched, *f)
		if f.Count == 1 {
			f.Count = -1
		} else if f.Count > 1 {
			f.Count--
		}
	}
	s.faults = slices.DeleteFunc(s.faults, func(f Fault) bool { return f.Count < 0 })
	return matched
}
