package record

import (
	"fmt"
	"strconv"
	"strings"
)

// ID identifies a log record. A retry of an append has the same id.
type ID struct {
	// Incarnation is the random number that identifies an incarnation of the
	// writing process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence is the sequence number of the record among the writer's records
	// of the stream, from 1.
	Sequence uint64 `json:"sequence"`
}

// String returns the text form "<incarnation, 16 hex digits>-<sequence>".
func (id ID) String() string {
	return fmt.Sprintf("%016x-%d", id.Incarnation, id.Sequence)
}

// ParseID parses the text form of an ID. It accepts only the canonical form, as
// returned by String, of an ID with a sequence number above 0.
func ParseID(text string) (ID, error) {
	incarnationText, sequenceText, found := strings.Cut(text, "-")
	if !found {
		return ID{}, fmt.Errorf("record id %q: want <incarnation>-<sequence>", text)
	}
	incarnation, err := strconv.ParseUint(incarnationText, 16, 64)
	if err != nil {
		return ID{}, fmt.Errorf("record id %q: incarnation: %w", text, err)
	}
	sequence, err := strconv.ParseUint(sequenceText, 10, 64)
	if err != nil {
		return ID{}, fmt.Errorf("record id %q: sequence: %w", text, err)
	}
	id := ID{Incarnation: incarnation, Sequence: sequence}
	if sequence == 0 || id.String() != text {
		return ID{}, fmt.Errorf("record id %q: not in its canonical form", text)
	}
	return id, nil
}
