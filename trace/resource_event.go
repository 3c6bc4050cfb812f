package trace

import (
	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
)

// OperationsApplied is a record of the resources stream that is passed to the
// resource store.
type OperationsApplied struct {
	Offset     int64       `json:"offset"`
	Operations []Operation `json:"operations,omitempty"`
}

// SnapshotRestored is a snapshot that is passed to the resource store or to the
// task machine of a cell. In traces it is "Restored".
type SnapshotRestored struct {
	Data []byte `json:"data"`
}

// Type returns "OperationsApplied".
func (OperationsApplied) Type() string { return "OperationsApplied" }

// Type returns "Restored".
func (SnapshotRestored) Type() string { return "Restored" }

// NewOperationsApplied returns the event for a record at an offset.
func NewOperationsApplied(offset int64, operations []resources.Operation) OperationsApplied {
	e := OperationsApplied{Offset: offset}
	for _, op := range operations {
		e.Operations = append(e.Operations, Operation{
			ID: op.ID, Verb: op.Verb, Kind: string(op.Kind), Name: op.Name,
			Precondition: op.Precondition, Body: string(op.Body),
		})
	}
	return e
}

// ResourceOperations returns the operations in the form that the store applies.
func (e *OperationsApplied) ResourceOperations() []resources.Operation {
	operations := make([]resources.Operation, 0, len(e.Operations))
	for _, op := range e.Operations {
		operations = append(operations, resources.Operation{
			ID: op.ID, Verb: op.Verb, Kind: api.Kind(op.Kind), Name: op.Name,
			Precondition: op.Precondition, Body: []byte(op.Body),
		})
	}
	return operations
}
