package resources

import (
	"encoding/json"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// applyOperation applies an operation to a view under construction and returns
// its outcome. Every successful operation sets its resource's version to v.offset.
func applyOperation(v *View, op Operation) Outcome {
	current := v.kinds[op.Kind].get(op.Name)
	outcome := Outcome{ID: op.ID, Offset: v.offset}
	next, rejected := evaluate(v, op, current)
	if rejected != nil {
		outcome.Code, outcome.Message = rejected.code, rejected.message
		outcome.Version = versionOf(current)
		return outcome
	}
	event := Event{Type: EventDelete, Version: api.Version(v.offset), Resource: current}
	if next != nil {
		next.Version = api.Version(v.offset)
		event.Type, event.Resource = EventPut, next
	}
	v.set(op.Kind, op.Name, next)
	v.events = append(v.events, event)
	outcome.Version = versionOf(next)
	return outcome
}

func versionOf(r *api.Resource) api.Version {
	if r == nil {
		return 0
	}
	return r.Version
}

// evaluate returns the resource after the operation, nil if the operation
// deletes it, or a rejection.
func evaluate(v *View, op Operation, current *api.Resource) (*api.Resource, *rejection) {
	if !op.Kind.Known() || op.Name == "" {
		return nil, reject(result.BadResource, "no resource can be called %s/%s", op.Kind, op.Name)
	}
	if rejected := checkPrecondition(v, op, current); rejected != nil {
		return nil, rejected
	}
	if op.Verb == VerbPut {
		return evaluatePut(v, op, current)
	}
	if current == nil {
		return nil, reject(result.NotFound, "%s/%s does not exist", op.Kind, op.Name)
	}
	return evaluateChange(op, current)
}

func checkPrecondition(v *View, op Operation, current *api.Resource) *rejection {
	version := versionOf(current)
	p := op.Precondition
	switch {
	case changedInRecord(v, op):
		return reject(result.Conflict, "another operation of the same record changed %s/%s first", op.Kind, op.Name)
	case p.MustNotExist && current != nil:
		return reject(result.Conflict, "%s/%s exists with version %d", op.Kind, op.Name, version)
	case p.Version != 0 && current == nil:
		return reject(result.Conflict, "%s/%s does not exist; the precondition names version %d", op.Kind, op.Name, p.Version)
	case p.Version != 0 && p.Version != version:
		return reject(result.Conflict, "%s/%s has version %d; the precondition names version %d", op.Kind, op.Name, version, p.Version)
	}
	return nil
}

// changedInRecord reports whether an earlier operation of the record being
// applied changed the resource.
func changedInRecord(v *View, op Operation) bool {
	for i := len(v.events) - 1; i >= 0 && v.events[i].Version == api.Version(v.offset); i-- {
		r := v.events[i].Resource
		if r.Kind == op.Kind && r.Name == op.Name {
			return true
		}
	}
	return false
}

func evaluatePut(v *View, op Operation, current *api.Resource) (*api.Resource, *rejection) {
	next := &api.Resource{}
	if json.Unmarshal(op.Body, next) != nil {
		// The decoder's error text is left out: it can differ between Go versions,
		// and outcomes are part of snapshots, which must be equal at all readers.
		return nil, reject(result.BadResource, "%s/%s: the body can't be decoded", op.Kind, op.Name)
	}
	next.Kind, next.Name = op.Kind, op.Name
	next.Status = nil
	next.Created = api.Version(v.offset)
	next.Homes = homesFor(v, op.Kind)
	if !next.HasSpecOfKind() {
		return nil, reject(result.BadResource, "%s/%s: the body must hold the spec of its kind and no other", op.Kind, op.Name)
	}
	if current == nil {
		return next, nil
	}
	next.Created = current.Created
	next.Homes = current.Homes
	return enforcePutRestrictions(op, current, next)
}

// enforcePutRestrictions applies the rules on what a put may change: a
// cancelled job stays cancelled, the number of cells of a data centre is
// immutable, and a put without a version precondition can't bring a data centre
// back into service. Without the last rule, applying an outdated file would
// undo a take-out.
func enforcePutRestrictions(op Operation, current, next *api.Resource) (*api.Resource, *rejection) {
	switch op.Kind {
	case api.KindJob:
		next.Job.Cancelled = next.Job.Cancelled || current.Job.Cancelled
	case api.KindDataCentre:
		if next.DataCentre.Cells != current.DataCentre.Cells {
			return nil, reject(result.BadResource, "datacentres/%s: dataCentre.cells is %d and can't be changed to %d", op.Name, current.DataCentre.Cells, next.DataCentre.Cells)
		}
		if next.DataCentre.InService && !current.DataCentre.InService && op.Precondition.Version == 0 {
			return nil, reject(result.Conflict, "datacentres/%s is out of service; use bring-back, or name version %d as the precondition", op.Name, current.Version)
		}
	}
	return next, nil
}

// evaluateChange evaluates the verbs other than put, which require an existing
// resource.
func evaluateChange(op Operation, current *api.Resource) (*api.Resource, *rejection) {
	next := *current
	switch {
	case op.Verb == VerbDelete:
		return nil, nil
	case op.Verb == VerbCancel && op.Kind == api.KindJob:
		job := *current.Job
		job.Cancelled = true
		next.Job = &job
	case (op.Verb == VerbTakeOut || op.Verb == VerbBringBack) && op.Kind == api.KindDataCentre:
		dc := *current.DataCentre
		dc.InService = op.Verb == VerbBringBack
		next.DataCentre = &dc
	default:
		return nil, reject(result.BadResource, "%s does not apply to %s", op.Verb, op.Kind)
	}
	return &next, nil
}
