package standin

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as
// "250ms".
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It rejects negative durations.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	err := json.Unmarshal(data, &text)
	if err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	if parsed < 0 {
		return fmt.Errorf("duration %q is negative", text)
	}
	*d = Duration(parsed)
	return nil
}
