package trace

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// errTrailing reports data after a JSON document.
var errTrailing = errors.New("unexpected data after the JSON document")

// DecodeStrict decodes one JSON document. Unknown fields and data after the
// document are errors, so that a misspelt field can't silently weaken what a trace
// checks. Empty data leaves v unchanged.
func DecodeStrict(data []byte, v any) error {
	if len(data) == 0 {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}
