package replay

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/trace"
)

// source is a machine and its actions since its last outcome line.
type source struct {
	machine machine
	actions []object
}

// step passes an event line to the machine and collects its actions.
func (s *source) step(line *trace.Line) error {
	actions, err := s.machine.step(line.Time, line.Event, line.Data)
	if err != nil {
		return err
	}
	for _, a := range actions {
		o, err := a.object()
		if err != nil {
			return err
		}
		s.actions = append(s.actions, o)
	}
	return nil
}

// compareOutcome compares an outcome line with the state and the actions. It
// returns a description of the first mismatch, or "". An error means that a pattern
// is malformed.
func (s *source) compareOutcome(line *trace.Line) (string, error) {
	for _, raw := range line.Outcome.State {
		mismatch, err := s.compareState(line, raw)
		if err != nil || mismatch != "" {
			return mismatch, err
		}
	}
	if mismatch, err := s.compareEmitted(line.Outcome.Emitted); err != nil || mismatch != "" {
		return mismatch, err
	}
	mismatch, err := s.compareNotEmitted(line.Outcome.NotEmitted)
	if err == nil && mismatch == "" {
		s.actions = nil
	}
	return mismatch, err
}

func (s *source) compareState(line *trace.Line, raw json.RawMessage) (string, error) {
	pattern, err := parseObject(raw)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	value, err := s.machine.state(line.Time, pattern)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	state, err := toObject(value)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	if name := unknownField(pattern, state, value); name != "" {
		return "", fmt.Errorf("state: the machine's state has no field %q", name)
	}
	if matches(pattern, state) {
		return "", nil
	}
	return fmt.Sprintf("the state should match %s\nbut is           %s", raw, encodeJSON(state)), nil
}

// compareEmitted searches the actions for matches of the patterns, in order.
func (s *source) compareEmitted(patterns []json.RawMessage) (string, error) {
	next := 0
	for _, raw := range patterns {
		pattern, err := parseAction(raw)
		if err != nil {
			return "", fmt.Errorf("emitted: %w", err)
		}
		for next < len(s.actions) && !matches(pattern, s.actions[next]) {
			next++
		}
		if next == len(s.actions) {
			return fmt.Sprintf("no action (after those matched before) matches %s", raw), nil
		}
		next++
	}
	return "", nil
}

func (s *source) compareNotEmitted(patterns []json.RawMessage) (string, error) {
	for _, raw := range patterns {
		pattern, err := parseAction(raw)
		if err != nil {
			return "", fmt.Errorf("notEmitted: %w", err)
		}
		for _, a := range s.actions {
			if matches(pattern, a) {
				return fmt.Sprintf("an action matches %s: %s", raw, encodeJSON(a)), nil
			}
		}
	}
	return "", nil
}

// parseAction decodes a pattern of an action, which must have a type.
func parseAction(raw json.RawMessage) (object, error) {
	pattern, err := parseObject(raw)
	if err != nil {
		return nil, err
	}
	if name, ok := pattern.stringField("type"); !ok || name == "" {
		return nil, fmt.Errorf("pattern %s: has no type", raw)
	}
	return pattern, nil
}

// encodeJSON returns the JSON text of an object, or the error's text.
func encodeJSON(o object) string {
	data, err := json.Marshal(o)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// formatActions lists the last maxActionsShown actions, one per line.
func (s *source) formatActions() string {
	if len(s.actions) == 0 {
		return "  none\n"
	}
	var b strings.Builder
	for _, a := range s.actions[max(0, len(s.actions)-maxActionsShown):] {
		fmt.Fprintf(&b, "  %s\n", encodeJSON(a))
	}
	return b.String()
}

// formatState returns the whole state as JSON, truncated to maxStateBytes.
func (s *source) formatState(now time.Duration) string {
	data, err := json.Marshal(s.machine.dump(now))
	if err != nil {
		return err.Error()
	}
	if len(data) > maxStateBytes {
		return string(data[:maxStateBytes]) + "..."
	}
	return string(data)
}
