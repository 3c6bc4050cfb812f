package entry

import (
	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/resources"
)

// verbs maps the verbs of operations to their codes in log records.
var verbs = map[resources.Verb]recordpb.Verb{
	resources.VerbPut:       recordpb.Verb_VERB_PUT,
	resources.VerbDelete:    recordpb.Verb_VERB_DELETE,
	resources.VerbCancel:    recordpb.Verb_VERB_CANCEL,
	resources.VerbTakeOut:   recordpb.Verb_VERB_TAKE_OUT,
	resources.VerbBringBack: recordpb.Verb_VERB_BRING_BACK,
}

// verbOf returns the verb of a code, or "" for a code of a newer version. Every
// reader's store refuses such an operation in the same way.
func verbOf(code recordpb.Verb) resources.Verb {
	for verb, c := range verbs {
		if c == code {
			return verb
		}
	}
	return ""
}

func encodeOperation(op resources.Operation) *recordpb.Record {
	return &recordpb.Record{Operation: &recordpb.Operation{
		Id:   op.ID,
		Verb: verbs[op.Verb],
		Kind: string(op.Kind),
		Name: op.Name,
		Precondition: &recordpb.Precondition{
			Version: int64(op.Precondition.Version),
			Absent:  op.Precondition.MustNotExist,
		},
		Body: op.Body,
	}}
}

// decodeOperations returns the resource operations of a batch, in order.
func decodeOperations(batch []*recordpb.Record) []resources.Operation {
	var ops []resources.Operation
	for _, r := range batch {
		if r.Operation != nil {
			ops = append(ops, decodeOperation(r.Operation))
		}
	}
	return ops
}

func decodeOperation(o *recordpb.Operation) resources.Operation {
	return resources.Operation{
		ID:   o.Id,
		Verb: verbOf(o.Verb),
		Kind: api.Kind(o.Kind),
		Name: o.Name,
		Precondition: resources.Precondition{
			Version:      api.Version(o.GetPrecondition().GetVersion()),
			MustNotExist: o.GetPrecondition().GetAbsent(),
		},
		Body: o.Body,
	}
}
