package trace

import (
	"encoding/json"
	"errors"
	"time"
)

// Line is one line of a trace. Exactly one of Machine, Event, Outcome and Dropped
// is set and determines the kind of the line.
type Line struct {
	// Time is in nanoseconds on the recording node's monotonic clock.
	Time time.Duration `json:"time,omitempty"`
	// Source identifies the machine within the trace.
	Source string `json:"source,omitempty"`

	// Machine is set in a header line, which declares the source.
	Machine Kind `json:"machine,omitempty"`
	// Config is the machine's configuration; omitted fields have their defaults.
	Config json.RawMessage `json:"config,omitempty"`

	// Event is the type of an event.
	Event string `json:"event,omitempty"`
	// Data is the event's content; absent for an event without fields.
	Data json.RawMessage `json:"data,omitempty"`

	// Outcome is the expected state and actions.
	Outcome *Outcome `json:"outcome,omitempty"`

	// Dropped counts the lines that the recorder dropped before this one.
	Dropped uint64 `json:"dropped,omitempty"`

	// Number is the line's number in its file, from 1.
	Number int `json:"-"`
}

// Errors of validate.
var (
	errLineKind = errors.New(`a line has exactly one of "machine", "event", "outcome" and "dropped"`)
	errSource   = errors.New(`"source" is missing or longer than 256 bytes`)
	errConfig   = errors.New(`"config" belongs to a header line`)
	errData     = errors.New(`"data" belongs to an event line`)
	errOutcome  = errors.New(`the outcome lists no pattern`)
	errTime     = errors.New(`"time" is negative`)
)

// maxSourceBytes limits the length of a source's name.
const maxSourceBytes = 256

// validate returns an error unless the line has a valid combination of fields.
func (l *Line) validate() error {
	if countTrue(l.Machine != "", l.Event != "", l.Outcome != nil, l.Dropped != 0) != 1 {
		return errLineKind
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

// countTrue returns how many of the conditions are true.
func countTrue(conditions ...bool) int {
	n := 0
	for _, c := range conditions {
		if c {
			n++
		}
	}
	return n
}
