package replay

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/trace"
)

// source is a machine and what it has emitted since its last outcome line.
type source struct {
	machine machine
	actions []object
}

// event steps the machine.
func (s *source) event(line *trace.Line) error {
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

// compare compares an outcome line. It returns what differs, or "".
func (s *source) compare(line *trace.Line) (string, error) {
	for _, raw := range line.Outcome.State {
		differs, err := s.compareState(line, raw)
		if err != nil || differs != "" {
			return differs, err
		}
	}
	if differs, err := s.compareEmitted(line.Outcome.Emitted); err != nil || differs != "" {
		return differs, err
	}
	differs, err := s.compareNotEmitted(line.Outcome.NotEmitted)
	if err == nil && differs == "" {
		s.actions = nil
	}
	return differs, err
}

func (s *source) compareState(line *trace.Line, raw json.RawMessage) (string, error) {
	pattern, err := parseObject(raw)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	found, err := s.machine.state(line.Time, pattern)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	state, err := toObject(found)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	if name := unknownField(pattern, state, found); name != "" {
		return "", fmt.Errorf("state: the machine's state has no field %q", name)
	}
	if matches(pattern, state) {
		return "", nil
	}
	return fmt.Sprintf("the state should match %s\nbut is           %s", raw, encode(state)), nil
}

// compareEmitted looks for the patterns among the actions, in order.
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
				return fmt.Sprintf("an action matches %s: %s", raw, encode(a)), nil
			}
		}
	}
	return "", nil
}

// parseAction decodes a pattern of an action, which must name its type.
func parseAction(raw json.RawMessage) (object, error) {
	pattern, err := parseObject(raw)
	if err != nil {
		return nil, err
	}
	if name, ok := pattern.text("type"); !ok || name == "" {
		return nil, fmt.Errorf("pattern %s: has no type", raw)
	}
	return pattern, nil
}

// encode returns the JSON text of an object.
func encode(o object) string {
	data, err := json.Marshal(o)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// actionText lists the actions, one a line.
func (s *source) actionText() string {
	if len(s.actions) == 0 {
		return "  none\n"
	}
	var b strings.Builder
	for _, a := range s.actions[max(0, len(s.actions)-maxActionsShown):] {
		fmt.Fprintf(&b, "  %s\n", encode(a))
	}
	return b.String()
}

// stateText returns the whole state, cut to maxStateBytes.
func (s *source) stateText(now time.Duration) string {
	data, err := json.Marshal(s.machine.dump(now))
	if err != nil {
		return err.Error()
	}
	if len(data) > maxStateBytes {
		return string(data[:maxStateBytes]) + "..."
	}
	return string(data)
}
