package dedup

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/result"
)

// Binding maps ids to cells. It must be built from all declared data centres,
// in service or not: an id whose cell changed within the retention time could
// run twice.
type Binding struct {
	dataCentres []string
	cells       map[string]int
}

// NewBinding returns the binding for data centres with their numbers of cells.
// Data centres without cells are left out.
func NewBinding(cells map[string]int) *Binding {
	b := &Binding{cells: map[string]int{}}
	for name, n := range cells {
		if n > 0 {
			b.cells[name] = n
			b.dataCentres = append(b.dataCentres, name)
		}
	}
	slices.Sort(b.dataCentres)
	return b
}

// Resolve parses a request id and determines its cell. It returns an error with
// code result.NotRunBadRequest if the text is not a valid id, and
// result.NotRunNoBackend if no data centre is declared.
func (b *Binding) Resolve(text string) (ID, error) {
	if !validText(text) {
		return ID{}, result.Errorf(result.NotRunBadRequest,
			"request id must be 1 to %d printable ASCII characters without spaces", MaxIDBytes)
	}
	if len(b.dataCentres) == 0 {
		return ID{}, result.Errorf(result.NotRunNoBackend, "no data centre is declared")
	}
	hash := xxhash.Sum64String(text)
	for _, name := range b.dataCentres {
		if rest, ok := strings.CutPrefix(text, name+"."); ok {
			return b.resolveInDataCentre(text, name, rest, hash), nil
		}
	}
	// The two halves of the hash select data centre and cell independently.
	name := b.dataCentres[(hash&0xffffffff)%uint64(len(b.dataCentres))]
	return ID{Text: text, Cell: b.hashedCell(name, hash)}, nil
}

// resolveInDataCentre resolves a text with the prefix of a data centre. rest is
// the text without the prefix.
func (b *Binding) resolveInDataCentre(text, name, rest string, hash uint64) ID {
	cell, term, ok := parseIssued(rest)
	if ok && cell < b.cells[name] {
		return ID{Text: text, Cell: Cell{DataCentre: name, Number: cell}, Term: term}
	}
	return ID{Text: text, Cell: b.hashedCell(name, hash)}
}

// hashedCell returns the cell of a data centre that a hash selects.
func (b *Binding) hashedCell(name string, hash uint64) Cell {
	return Cell{DataCentre: name, Number: int((hash >> 32) % uint64(b.cells[name]))}
}
