package record

import (
	"fmt"
	"strconv"
	"strings"
)

// ID identifies a log record. A repeated append carries the same id.
type ID struct {
	// Incarnation is the random number of the writing process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence counts the writer's records of a stream, from 1.
	Sequence uint64 `json:"sequence"`
}

// String returns the text form "<incarnation, 16 hex digits>-<sequence>".
func (id ID) String() string {
	return fmt.Sprintf("%016x-%d", id.Incarnation, id.Sequence)
}

// ParseID reads the text form of an ID. It accepts only what String returns
// for an ID with a sequence above 0.
func ParseID(text string) (ID, error) {
	head, tail, found := strings.Cut(text, "-")
	if !found {
		return ID{}, fmt.Errorf("record id %q: want <incarnation>-<sequence>", text)
	}
	incarnation, err := strconv.ParseUint(head, 16, 64)
	if err != nil {
		return ID{}, fmt.Errorf("record id %q: incarnation: %w", text, err)
	}
	sequence, err := strconv.ParseUint(tail, 10, 64)
	if err != nil {
		return ID{}, fmt.Errorf("record id %q: sequence: %w", text, err)
	}
	id := ID{Incarnation: incarnation, Sequence: sequence}
	if sequence == 0 || id.String() != text {
		return ID{}, fmt.Errorf("record id %q: not in its canonical form", text)
	}
	return id, nil
}
