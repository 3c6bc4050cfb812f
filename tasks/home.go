package tasks

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// RankDataCentres returns the data centres in the order of their rendezvous
// hashes with a name, highest first.
func RankDataCentres(name string, centres []DataCentre) []DataCentre {
	ranked := slices.Clone(centres)
	slices.SortFunc(ranked, func(a, b DataCentre) int {
		scoreA := xxhash.Sum64String(name + "\x00" + a.Name)
		scoreB := xxhash.Sum64String(name + "\x00" + b.Name)
		return cmp.Or(cmp.Compare(scoreB, scoreA), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// CellOf returns the index of the cell, below cells, that the id of a task or a
// worker hashes to. It returns 0 if cells is below 1.
func CellOf(id string, cells int) int {
	if cells < 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(cells))
}

// HomeCell returns the cell that a task belongs to until it is first moved, or
// false if no data centre was in service when the job or service was created.
func HomeCell(w *Work, index int) (*recordpb.Cell, bool) {
	if len(w.DataCentres) == 0 {
		return nil, false
	}
	ranked := RankDataCentres(w.Name, w.DataCentres)
	return homeCellIn(ranked, w, index), true
}

func homeCellIn(ranked []DataCentre, w *Work, index int) *recordpb.Cell {
	centre := ranked[index%len(ranked)]
	cell := CellOf(w.TaskID(index), centre.Cells)
	return &recordpb.Cell{DataCentre: centre.Name, Cell: int32(cell)}
}
