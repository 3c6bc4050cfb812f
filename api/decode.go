package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"unicode/utf8"
)

// Size limits of documents, checked before parsing.
const (
	// MaxDocumentBytes bounds one resource. A pool that lists 7,900 workers
	// with ids of 24 bytes takes about 210 KB.
	MaxDocumentBytes = 256 << 10
	// MaxFileBytes bounds a file of several resources.
	MaxFileBytes = 16 << 20
	// MaxDocuments bounds the resources in one file.
	MaxDocuments = 20_000
)

// ErrTooLarge is wrapped by errors about a document or file over a size limit.
var ErrTooLarge = errors.New("size limit exceeded")

// Parse decodes one resource, fills in defaults and validates it. An error is
// of type Faults or wraps ErrTooLarge.
func Parse(data []byte) (Resource, error) {
	r, faults, err := parse(data, "", "")
	return r, errors.Join(err, faults.asError())
}

// ParseNamed is Parse for a resource whose kind and name are already known, for
// example from a URL path. The document may omit them; different ones are a fault.
func ParseNamed(kind Kind, name string, data []byte) (Resource, error) {
	r, faults, err := parse(data, kind, name)
	return r, errors.Join(err, faults.asError())
}

// ParseAll decodes a file with one resource, a JSON array of resources, or
// several JSON values (for example JSON lines). An error lists the faults of
// all documents, or wraps ErrTooLarge.
func ParseAll(data []byte) ([]Resource, error) {
	documents, err := Split(data)
	if err != nil {
		return nil, err
	}
	var all Faults
	list := make([]Resource, 0, len(documents))
	for i, document := range documents {
		r, faults, err := parse(document, "", "")
		if err != nil {
			return nil, fmt.Errorf("document %d: %w", i+1, err)
		}
		for _, f := range faults {
			f.Document = i + 1
			all = append(all, f)
		}
		list = append(list, r)
	}
	all = append(all, findDuplicates(list)...)
	return list, all.asError()
}

// Split returns the JSON documents of a file without decoding them.
func Split(data []byte) ([]json.RawMessage, error) {
	if len(data) > MaxFileBytes {
		return nil, fmt.Errorf("the file has %d bytes; accepted: at most %d: %w", len(data), MaxFileBytes, ErrTooLarge)
	}
	if len(bytes.TrimSpace(data)) == 0 {
		return nil, Faults{{Field: "the file", Value: "empty", Accepted: "at least one resource"}}
	}
	documents, err := splitDocuments(data)
	if err != nil {
		return nil, err
	}
	if len(documents) > MaxDocuments {
		return nil, fmt.Errorf("the file has %d documents; accepted: at most %d: %w", len(documents), MaxDocuments, ErrTooLarge)
	}
	return documents, nil
}

// splitDocuments returns the JSON values of data, and the items of those that are
// arrays.
func splitDocuments(data []byte) ([]json.RawMessage, error) {
	var documents []json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var value json.RawMessage
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, Faults{syntaxFault(len(documents)+1, err, decoder.InputOffset())}
		}
		var items []json.RawMessage
		if value[0] != '[' {
			items = []json.RawMessage{value}
		} else if err := json.Unmarshal(value, &items); err != nil {
			return nil, Faults{syntaxFault(len(documents)+1, err, decoder.InputOffset())}
		}
		documents = append(documents, items...)
	}
}

func syntaxFault(document int, err error, offset int64) Fault {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		offset = syntaxError.Offset
	}
	return Fault{Document: document, Field: "the document", Value: fmt.Sprintf("malformed at byte %d (%s)", offset, err), Accepted: "JSON"}
}

// parse returns the faults of the document, or an error if it is too large. If
// kind and name are not empty, the resource must have them.
func parse(data []byte, kind Kind, name string) (Resource, Faults, error) {
	var r Resource
	if len(data) > MaxDocumentBytes {
		return r, nil, fmt.Errorf("the document has %d bytes; accepted: at most %d: %w", len(data), MaxDocumentBytes, ErrTooLarge)
	}
	faults := decode(data, &r)
	if faults.covers("the document") {
		return r, faults, nil
	}
	if r.Kind == "" && kind != "" && !faults.covers("kind") {
		r.Kind = kind
	}
	if r.Name == "" && name != "" && !faults.covers("name") {
		r.Name = name
	}
	SetDefaults(&r)
	for _, f := range append(validate(&r), checkIdentity(&r, kind, name)...) {
		if !faults.covers(f.Field) {
			faults = append(faults, f)
		}
	}
	return r, faults, nil
}

// decode fills in r as far as the document allows. It returns faults of syntax,
// unknown and repeated fields, and values of a wrong type.
func decode(data []byte, r *Resource) Faults {
	if !utf8.Valid(data) {
		return Faults{{Field: "the document", Value: "not UTF-8", Accepted: "JSON in UTF-8"}}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return Faults{syntaxFault(0, err, 0)}
	}
	value, faults, err := parseJSON(data)
	if err != nil {
		return Faults{{Field: "the document", Value: formatValue(err.Error()), Accepted: fmt.Sprintf("JSON with at most %d levels", maxDepth)}}
	}
	faults = append(faults, checkType(value, reflect.TypeFor[Resource](), "")...)
	if err := json.Unmarshal(data, r); err != nil && len(faults) == 0 {
		return Faults{{Field: "the document", Value: formatValue(err.Error()), Accepted: "a resource"}}
	}
	return faults
}

// checkIdentity compares the kind and name with those of the path.
func checkIdentity(r *Resource, kind Kind, name string) Faults {
	var faults Faults
	if kind != "" && r.Kind != kind {
		faults = append(faults, Fault{Field: "kind", Value: formatValue(string(r.Kind)), Accepted: string(kind) + ", as in the path"})
	}
	if name != "" && r.Name != name {
		faults = append(faults, Fault{Field: "name", Value: formatValue(r.Name), Accepted: name + ", as in the path"})
	}
	return faults
}

// findDuplicates returns a fault for each resource that an earlier document of the
// file also declares.
func findDuplicates(list []Resource) Faults {
	firstDocument := make(map[Meta]int)
	var faults Faults
	for i, r := range list {
		key := Meta{Kind: r.Kind, Name: r.Name}
		if r.Name == "" {
			continue
		}
		if earlier, ok := firstDocument[key]; ok {
			faults = append(faults, Fault{Document: i + 1, Field: "name", Value: formatValue(r.Name), Accepted: fmt.Sprintf("a name that document %d does not declare", earlier)})
			continue
		}
		firstDocument[key] = i + 1
	}
	return faults
}
