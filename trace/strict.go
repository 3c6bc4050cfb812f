package trace

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// errTrailing means that something follows a JSON document.
var errTrailing = errors.New("something follows the JSON document")

// DecodeStrict decodes one JSON document. Unknown fields and anything after the
// document are errors, so that a misspelt field can't make a trace state less
// than it seems to. Absent data leaves v as it is.
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
