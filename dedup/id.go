package dedup

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxIDBytes is the maximum length of a request id in bytes.
const MaxIDBytes = 128

// randomHexDigits is the number of hexadecimal digits in the random part of an
// issued id.
const randomHexDigits = 32

// ID is a request id and the cell that it belongs to.
type ID struct {
	// Text is the id as sent by callers.
	Text string
	// Cell is the cell whose owner is the id's home.
	Cell Cell
	// Term is the term in an issued id, or 0 if the caller chose the id.
	Term int64
	// Fresh is set if this VM or the forwarding peer issued the id for the
	// current request, which therefore can't have run before.
	Fresh bool
}

// IssueID returns the text of a new id for a cell and term. The two random
// numbers must come from a source that does not repeat across restarts.
func IssueID(cell Cell, term int64, high, low uint64) string {
	return fmt.Sprintf("%s.%d.%d.%016x%016x", cell.DataCentre, cell.Number, term, high, low)
}

// parseIssued parses "<cell>.<term>.<random>", the part of an issued id after
// its data centre. Only the canonical form is accepted, so that no two texts
// denote the same id.
func parseIssued(rest string) (cell int, term int64, ok bool) {
	parts := strings.Split(rest, ".")
	if len(parts) != 3 || len(parts[2]) != randomHexDigits {
		return 0, 0, false
	}
	if strings.Trim(parts[2], "0123456789abcdef") != "" {
		return 0, 0, false
	}
	cell, err := strconv.Atoi(parts[0])
	if err != nil || cell < 0 || strconv.Itoa(cell) != parts[0] {
		return 0, 0, false
	}
	term, err = strconv.ParseInt(parts[1], 10, 64)
	if err != nil || term <= 0 || strconv.FormatInt(term, 10) != parts[1] {
		return 0, 0, false
	}
	return cell, term, true
}

// validText reports whether an id has 1 to MaxIDBytes printable ASCII bytes
// without space.
func validText(text string) bool {
	if text == "" || len(text) > MaxIDBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
