package operator

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/boundedhttp"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

func (h *Handler) putResource(w http.ResponseWriter, r *http.Request) {
	kind, ok := kindFromPath(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxDocumentBytes))
	if err != nil {
		writeFailure(w, bodyReadFailure(err))
		return
	}
	resource, err := api.ParseNamed(kind, r.PathValue("name"), data)
	if err != nil {
		writeFailure(w, Failure{Code: result.BadResource, Message: err.Error()})
		return
	}
	h.preserveCells(&resource, data)
	h.submit(w, r, func(id string, p resources.Precondition) (resources.Operation, error) {
		return resources.NewPut(id, resource, p)
	})
}

func bodyReadFailure(err error) Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Failure{Code: result.TooLarge, Message: fmt.Sprintf("the document has more than %d bytes", tooLarge.Limit)}
	}
	return Failure{Code: result.BadResource, Message: "the body can't be read: " + err.Error()}
}

// preserveCells sets the current number of cells in a data centre whose document
// does not contain it, because the number can't be changed.
func (h *Handler) preserveCells(resource *api.Resource, data []byte) {
	var document struct {
		DataCentre struct {
			Cells int `json:"cells"`
		} `json:"dataCentre"`
	}
	if resource.Kind != api.KindDataCentre || json.Unmarshal(data, &document) != nil || document.DataCentre.Cells != 0 {
		return
	}
	if current, ok := h.config.Store.View().Get(api.KindDataCentre, resource.Name); ok {
		resource.DataCentre.Cells = current.DataCentre.Cells
	}
}

func (h *Handler) deleteResource(w http.ResponseWriter, r *http.Request) {
	h.submitVerb(w, r, resources.VerbDelete)
}

// submitPathVerb submits the operation of a verb at the end of the path. Each verb
// exists for one kind only.
func (h *Handler) submitPathVerb(w http.ResponseWriter, r *http.Request) {
	kind, verb := api.Kind(r.PathValue("kind")), resources.Verb(r.PathValue("verb"))
	isJob := kind == api.KindJob && verb == resources.VerbCancel
	isDataCentre := kind == api.KindDataCentre && (verb == resources.VerbTakeOut || verb == resources.VerbBringBack)
	if !isJob && !isDataCentre {
		pathNotFound(w, r)
		return
	}
	h.submitVerb(w, r, verb)
}

func (h *Handler) submitVerb(w http.ResponseWriter, r *http.Request, verb resources.Verb) {
	kind, ok := kindFromPath(w, r)
	if !ok {
		return
	}
	if !api.ValidName(r.PathValue("name")) {
		// No resource can have this name, so the operation is not appended to
		// the log.
		pathNotFound(w, r)
		return
	}
	if err := boundedhttp.DiscardBody(w, r, api.MaxDocumentBytes); err != nil {
		writeFailure(w, bodyReadFailure(err))
		return
	}
	h.submit(w, r, func(id string, p resources.Precondition) (resources.Operation, error) {
		return resources.Operation{ID: id, Verb: verb, Kind: kind, Name: r.PathValue("name"), Precondition: p}, nil
	})
}

// submit reads the headers of a write, submits the operation and responds with
// its outcome.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, build func(string, resources.Precondition) (resources.Operation, error)) {
	precondition, err := parsePrecondition(r.Header)
	if err != nil {
		writeFailure(w, Failure{Code: result.BadResource, Message: err.Error()})
		return
	}
	id, err := operationID(r.Header)
	if err != nil {
		writeFailure(w, Failure{Code: result.BadResource, Message: err.Error()})
		return
	}
	w.Header().Set(HeaderOperationID, id)
	op, err := build(id, precondition)
	if err != nil {
		writeFailure(w, Failure{Code: result.BadResource, Message: err.Error(), Operation: id})
		return
	}
	outcome, err := h.config.Submitter.Submit(r.Context(), op)
	if err != nil {
		writeFailure(w, Failure{Code: submitErrorCode(err), Message: errorMessage(err), Operation: id})
		return
	}
	writeOutcome(w, op, outcome)
}

// submitErrorCode returns the code of a failed submission. It is
// result.WriteOutcomeUnknown unless the error's code excludes that the operation
// took effect.
func submitErrorCode(err error) result.Code {
	code := result.CodeOf(err, result.WriteOutcomeUnknown)
	if info, ok := result.Lookup(code); !ok || info.Ran != "no" {
		return result.WriteOutcomeUnknown
	}
	return code
}

func writeOutcome(w http.ResponseWriter, op resources.Operation, o resources.Outcome) {
	if o.Code != result.OK {
		writeFailure(w, Failure{Code: o.Code, Message: o.Message, Operation: op.ID, Version: o.Version})
		return
	}
	writeSuccess(w, o.Version, WriteResult{Operation: op.ID, Kind: op.Kind, Name: op.Name, Version: o.Version, Duplicate: o.Duplicate})
}

// operationID returns the operation id in the header, or a new one.
func operationID(header http.Header) (string, error) {
	id := header.Get(HeaderOperationID)
	if id == "" {
		return rand.Text(), nil
	}
	if len(id) > MaxOperationIDBytes || !isPrintableASCII(id) {
		return "", fmt.Errorf("%s has %d bytes; accepted: 1 to %d of printable ASCII without spaces", HeaderOperationID, len(id), MaxOperationIDBytes)
	}
	return id, nil
}

func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
