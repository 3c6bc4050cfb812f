package operator

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	kind, ok := knownKind(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxDocumentBytes))
	if err != nil {
		fail(w, bodyFailure(err))
		return
	}
	resource, err := api.ParseNamed(kind, r.PathValue("name"), data)
	if err != nil {
		fail(w, Failure{Code: result.BadResource, Message: err.Error()})
		return
	}
	h.keepCells(&resource, data)
	h.submit(w, r, func(id string, p resources.Precondition) (resources.Operation, error) {
		return resources.NewPut(id, resource, p)
	})
}

func bodyFailure(err error) Failure {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Failure{Code: result.TooLarge, Message: fmt.Sprintf("the document has more than %d bytes", tooLarge.Limit)}
	}
	return Failure{Code: result.BadResource, Message: "the body can't be read: " + err.Error()}
}

// keepCells gives a data centre whose document names no cells the cells that
// it has, because they can't be changed.
func (h *Handler) keepCells(resource *api.Resource, data []byte) {
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

func (h *Handler) remove(w http.ResponseWriter, r *http.Request) {
	h.submitVerb(w, r, resources.VerbDelete)
}

// change serves the verbs in paths, each for the one kind that has it.
func (h *Handler) change(w http.ResponseWriter, r *http.Request) {
	kind, verb := api.Kind(r.PathValue("kind")), resources.Verb(r.PathValue("verb"))
	isJob := kind == api.KindJob && verb == resources.VerbCancel
	isDataCentre := kind == api.KindDataCentre && (verb == resources.VerbTakeOut || verb == resources.VerbBringBack)
	if !isJob && !isDataCentre {
		noSuchPath(w, r)
		return
	}
	h.submitVerb(w, r, verb)
}

func (h *Handler) submitVerb(w http.ResponseWriter, r *http.Request, verb resources.Verb) {
	kind, ok := knownKind(w, r)
	if !ok {
		return
	}
	if !api.ValidName(r.PathValue("name")) {
		// No resource has such a name; a record would only fill the log.
		noSuchPath(w, r)
		return
	}
	h.submit(w, r, func(id string, p resources.Precondition) (resources.Operation, error) {
		return resources.Operation{ID: id, Verb: verb, Kind: kind, Name: r.PathValue("name"), Precondition: p}, nil
	})
}

// submit reads the headers of a write, submits the operation and answers with
// its outcome.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request, build func(string, resources.Precondition) (resources.Operation, error)) {
	precondition, err := parsePrecondition(r.Header)
	if err != nil {
		fail(w, Failure{Code: result.BadResource, Message: err.Error()})
		return
	}
	id, err := operationID(r.Header)
	if err != nil {
		fail(w, Failure{Code: result.BadResource, Message: err.Error()})
		return
	}
	w.Header().Set(HeaderOperationID, id)
	op, err := build(id, precondition)
	if err != nil {
		fail(w, Failure{Code: result.BadResource, Message: err.Error(), Operation: id})
		return
	}
	outcome, err := h.config.Submitter.Submit(r.Context(), op)
	if err != nil {
		fail(w, Failure{Code: writeCode(err), Message: messageOf(err), Operation: id})
		return
	}
	answerOutcome(w, op, outcome)
}

// writeCode returns the code of a submission that failed. An error without a
// code, or with one that does not exclude an effect, leaves the outcome unknown.
func writeCode(err error) result.Code {
	code := result.CodeOf(err, result.WriteOutcomeUnknown)
	if info, ok := result.Lookup(code); !ok || info.Ran != "no" {
		return result.WriteOutcomeUnknown
	}
	return code
}

func answerOutcome(w http.ResponseWriter, op resources.Operation, o resources.Outcome) {
	if o.Code != result.OK {
		fail(w, Failure{Code: o.Code, Message: o.Message, Operation: op.ID, Version: o.Version})
		return
	}
	succeed(w, o.Version, WriteResult{Operation: op.ID, Kind: op.Kind, Name: op.Name, Version: o.Version, Duplicate: o.Duplicate})
}

// operationID returns the id that the request names, or a new one.
func operationID(header http.Header) (string, error) {
	id := header.Get(HeaderOperationID)
	if id == "" {
		return rand.Text(), nil
	}
	if len(id) > MaxOperationIDBytes || !isPlainText(id) {
		return "", fmt.Errorf("%s has %d bytes; accepted: 1 to %d of printable ASCII without spaces", HeaderOperationID, len(id), MaxOperationIDBytes)
	}
	return id, nil
}

func isPlainText(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
