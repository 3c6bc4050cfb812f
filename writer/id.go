package writer

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

var errBadID = errors.New("malformed record id")

const (
	incarnationDigits = 16
	idSeparator       = "-"
)

// RecordID identifies a batch.
type RecordID struct {
	// Incarnation is the random number of one run of a process.
	Incarnation uint64
	// Sequence counts the batches of one incarnation and stream, from 1.
	Sequence uint64
}

// String returns the id as it stands in the log: the incarnation as 16
// hexadecimal digits, '-' and the sequence number.
func (id RecordID) String() string {
	return fmt.Sprintf("%0*x%s%d", incarnationDigits, id.Incarnation, idSeparator, id.Sequence)
}

// ParseRecordID parses the result of RecordID.String. Any other text is an error.
func ParseRecordID(text string) (RecordID, error) {
	incarnation, sequence, found := strings.Cut(text, idSeparator)
	if !found || len(incarnation) != incarnationDigits {
		return RecordID{}, fmt.Errorf("%w: %q", errBadID, text)
	}
	var id RecordID
	var err error
	id.Incarnation, err = strconv.ParseUint(incarnation, 16, 64)
	if err != nil {
		return RecordID{}, fmt.Errorf("%w: %w", errBadID, err)
	}
	id.Sequence, err = strconv.ParseUint(sequence, 10, 64)
	if err != nil {
		return RecordID{}, fmt.Errorf("%w: %w", errBadID, err)
	}
	if id.Sequence == 0 || id.String() != text {
		return RecordID{}, fmt.Errorf("%w: %q", errBadID, text)
	}
	return id, nil
}
