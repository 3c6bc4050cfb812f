package resources

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/api"
)

// Operation is one change that an operator asked for, as recorded in the log's
// resources stream.
type Operation struct {
	// ID identifies the operation. A second operation with the same id has no
	// effect and gets the outcome of the first. An empty id is never a duplicate.
	ID           string
	Verb         Verb
	Kind         api.Kind
	Name         string
	Precondition Precondition
	// Body is the JSON encoding of the resource for VerbPut, else empty.
	Body []byte
}

// NewPut returns the operation that writes r. The caller has validated r.
func NewPut(id string, r api.Resource, p Precondition) (Operation, error) {
	r.Version, r.Created, r.Homes, r.Status = 0, 0, nil, nil
	body, err := json.Marshal(r)
	if err != nil {
		return Operation{}, fmt.Errorf("encode %s %s: %w", r.Kind, r.Name, err)
	}
	return Operation{ID: id, Verb: VerbPut, Kind: r.Kind, Name: r.Name, Precondition: p, Body: body}, nil
}

// fingerprint distinguishes operations that share an id by mistake.
func (o Operation) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%q %q %q %t %d ", o.Verb, o.Kind, o.Name, o.Precondition.MustNotExist, o.Precondition.Version)
	_, _ = d.Write(o.Body)
	return d.Sum64()
}
