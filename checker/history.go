package checker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// maxLineBytes limits the length of one event in a history file.
const maxLineBytes = 1 << 20

// ReadHistory reads a history with one JSON event per line. Errors name the line.
func ReadHistory(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var history []Event
	for line := 1; scanner.Scan(); line++ {
		e, err := decodeEvent(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		history = append(history, e)
	}
	return history, scanner.Err()
}

func decodeEvent(line []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return Event{}, err
	}
	if e.Type == "" {
		return Event{}, fmt.Errorf("event has no type")
	}
	return e, nil
}

// WriteHistory writes one JSON event per line.
func WriteHistory(w io.Writer, history []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range history {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
