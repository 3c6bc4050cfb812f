package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
)

// Snapshot is the immutable state of one cell. The With methods return changed
// copies that share the unchanged parts.
type Snapshot struct {
	cell            CellID
	version         int64
	size            int
	root            *workerIndex
	positions       map[string]int
	capacity        hostapi.Resources
	largestCapacity hostapi.Resources
	totals          *totals
	teams           map[string]Team
	dataCentre      DataCentre
	weights         api.WeightsSpec
	summaries       []CellSummary
}

// NewSnapshot returns a snapshot of a cell. It keeps the workers, which must
// not change afterwards, and fails if two have the same id.
func NewSnapshot(cell CellID, version int64, workers []Worker) (*Snapshot, error) {
	sorted := make([]*Worker, len(workers))
	for i := range workers {
		sorted[i] = &workers[i]
	}
	slices.SortFunc(sorted, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
	s := &Snapshot{cell: cell, version: version, size: len(sorted), positions: make(map[string]int, len(sorted)), totals: newTotals()}
	for i, w := range sorted {
		if _, duplicate := s.positions[w.ID]; duplicate {
			return nil, fmt.Errorf("cell %s has duplicate worker id %s", cell, w.ID)
		}
		s.positions[w.ID] = i
		s.capacity = s.capacity.Add(w.Capacity)
		s.largestCapacity = maxResources(s.largestCapacity, w.Capacity)
		s.totals.add(w, 1)
	}
	s.totals.merge()
	if s.size > 0 {
		s.root = newWorkerIndex(sorted)
	}
	return s, nil
}

// WithWorkers returns a snapshot in which each of the workers replaces the one
// of the same id. Its cost grows with the logarithm of the number of workers in
// the cell. A worker that is not in the cell is ignored.
func (s *Snapshot) WithWorkers(version int64, workers ...Worker) *Snapshot {
	c := *s
	c.version = version
	c.totals = s.totals.clone()
	for k := range workers {
		w := &workers[k]
		i, known := s.positions[w.ID]
		if !known {
			continue
		}
		previous := c.root.leaf(s.size, i).worker
		c.capacity = c.capacity.Sub(previous.Capacity).Add(w.Capacity)
		c.largestCapacity = maxResources(c.largestCapacity, w.Capacity)
		c.totals.add(previous, -1)
		c.totals.add(w, 1)
		c.root = c.root.set(s.size, i, w, w.Free())
	}
	return &c
}

// WithTeams returns a snapshot with other team quotas.
func (s *Snapshot) WithTeams(teams []Team) *Snapshot {
	c := *s
	c.teams = make(map[string]Team, len(teams))
	for _, t := range teams {
		c.teams[t.Name] = t
	}
	return &c
}

// WithDataCentre returns a snapshot with another data centre state.
func (s *Snapshot) WithDataCentre(d DataCentre) *Snapshot {
	c := *s
	c.dataCentre = d
	return &c
}

// WithWeights returns a snapshot with other objective weights.
func (s *Snapshot) WithWeights(w api.WeightsSpec) *Snapshot {
	c := *s
	c.weights = w
	return &c
}

// WithSummaries returns a snapshot with the newest known summaries of other cells.
func (s *Snapshot) WithSummaries(summaries []CellSummary) *Snapshot {
	c := *s
	c.summaries = summaries
	return &c
}

// Cell returns the cell.
func (s *Snapshot) Cell() CellID { return s.cell }

// Version returns the version that the snapshot was made with.
func (s *Snapshot) Version() int64 { return s.version }

// Capacity returns the capacity of all workers.
func (s *Snapshot) Capacity() hostapi.Resources { return s.capacity }

// DataCentre returns the state of the data centre.
func (s *Snapshot) DataCentre() DataCentre { return s.dataCentre }

// Weights returns the objective weights.
func (s *Snapshot) Weights() api.WeightsSpec { return s.weights }

// Len returns the number of workers.
func (s *Snapshot) Len() int { return s.size }

// At returns the worker at a position from 0 to Len()-1, in order of id.
func (s *Snapshot) At(i int) *Worker { return s.root.leaf(s.size, i).worker }

// Worker returns a worker by id, or nil.
func (s *Snapshot) Worker(id string) *Worker {
	i, known := s.positions[id]
	if !known {
		return nil
	}
	return s.At(i)
}

// Summaries returns the newest known summaries of other cells. The caller must
// not change them.
func (s *Snapshot) Summaries() []CellSummary { return s.summaries }
