package trace

import (
	"encoding/json"
	"errors"
	"time"
)

// Line is one line of a trace. Which fields are set depends on what it is:
// exactly one of Machine, Event, Outcome and Dropped is.
type Line struct {
	// Time is in nanoseconds on the recording node's monotonic clock.
	Time time.Duration `json:"time,omitempty"`
	// Source names the machine within the trace.
	Source string `json:"source,omitempty"`

	// Machine is set in a header line, which declares the source.
	Machine Kind `json:"machine,omitempty"`
	// Config is the machine's configuration; fields left out have their
	// defaults.
	Config json.RawMessage `json:"config,omitempty"`

	// Event is the type of an event.
	Event string `json:"event,omitempty"`
	// Data is the event's content; absent for an event without any.
	Data json.RawMessage `json:"data,omitempty"`

	// Outcome states what must hold.
	Outcome *Outcome `json:"outcome,omitempty"`

	// Dropped counts lines that the recorder dropped before this one.
	Dropped uint64 `json:"dropped,omitempty"`

	// Number is the line's number in its file, from 1.
	Number int `json:"-"`
}

// Errors of check.
var (
	errKind    = errors.New(`a line has exactly one of "machine", "event", "outcome" and "dropped"`)
	errSource  = errors.New(`"source" is missing or longer than 256 bytes`)
	errConfig  = errors.New(`"config" belongs to a header line`)
	errData    = errors.New(`"data" belongs to an event line`)
	errOutcome = errors.New(`the outcome states nothing`)
	errTime    = errors.New(`"time" is negative`)
)

// maxSourceBytes bounds the name of a source.
const maxSourceBytes = 256

// check returns an error unless the line has a valid combination of fields.
func (l *Line) check() error {
	if count(l.Machine != "", l.Event != "", l.Outcome != nil, l.Dropped != 0) != 1 {
		return errKind
	}
	switch {
	case l.Time < 0:
		return errTime
	case l.Dropped == 0 && (l.Source == "" || len(l.Source) > maxSourceBytes):
		return errSource
	case l.Config != nil && l.Machine == "":
		return errConfig
	case l.Data != nil && l.Event == "":
		return errData
	case l.Outcome != nil && l.Outcome.empty():
		return errOutcome
	}
	return nil
}

func count(conditions ...bool) int {
	n := 0
	for _, c := range conditions {
		if c {
			n++
		}
	}
	return n
}
