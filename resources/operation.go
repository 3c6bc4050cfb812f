package resources

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/api"
)

// Operation is one change requested by an operator, as recorded in the
// resources stream of the log.
type Operation struct {
	// ID identifies the operation. A second operation with the same id has no
	// effect and gets the outcome of the first. Operations with an empty id are
	// never duplicates.
	ID           string
	Verb         Verb
	Kind         api.Kind
	Name         string
	Precondition Precondition
	// Body is the JSON encoding of the resource for VerbPut, otherwise empty.
	Body []byte
}

// NewPut returns the operation that creates or replaces r, which must already
// be validated.
func NewPut(id string, r api.Resource, p Precondition) (Operation, error) {
	r.Version, r.Created, r.Homes, r.Status = 0, 0, nil, nil
	body, err := json.Marshal(r)
	if err != nil {
		return Operation{}, fmt.Errorf("encode %s %s: %w", r.Kind, r.Name, err)
	}
	return Operation{ID: id, Verb: VerbPut, Kind: r.Kind, Name: r.Name, Precondition: p, Body: body}, nil
}

// fingerprint returns a hash of the operation without its id. It detects
// different operations that use the same id by mistake.
func (o Operation) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%q %q %q %t %d ", o.Verb, o.Kind, o.Name, o.Precondition.MustNotExist, o.Precondition.Version)
	_, _ = d.Write(o.Body)
	return d.Sum64()
}
