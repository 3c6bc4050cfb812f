package result

import "net/http"

// Code is a numbered result code. docs/result-codes.md lists all codes.
type Code int

// Result codes by range: 1xxx request path, 2xxx resources, 3xxx peers and
// workers, 4xxx settings, 5xxx traces and replay.
const (
	OK Code = 0

	NotRunOverloaded       Code = 1001
	NotRunNoBackend        Code = 1002
	NotRunBadRequest       Code = 1003
	NotRunTooLarge         Code = 1004
	NotRunStopping         Code = 1005
	OutcomeUnknown         Code = 1006
	AnswerNotKept          Code = 1007
	NotRunNoService        Code = 1008
	NotRunRepeatProtection Code = 1009
	BackendTimeout         Code = 1010
	NotRunIDInUse          Code = 1011

	BadResource          Code = 2001
	NotFound             Code = 2002
	Conflict             Code = 2003
	ListAgain            Code = 2004
	NotRunLogUnavailable Code = 2005
	WriteOutcomeUnknown  Code = 2006
	QuotaRefused         Code = 2007
	TooLarge             Code = 2008
	NotReady             Code = 2009

	PeerUnavailable   Code = 3001
	WorkerUnavailable Code = 3002
	WorkerRefused     Code = 3003
	NotOwner          Code = 3004

	BadSettings Code = 4001

	BadTrace      Code = 5001
	TraceMismatch Code = 5002
)

// Info describes one result code.
type Info struct {
	Code Code
	// Name is the identifier of the code in Go and in JSON responses.
	Name string
	// HTTPStatus is the status of HTTP responses with the code.
	HTTPStatus int
	// Ran is "no" if the request certainly had no effect, "yes" if it took
	// effect, and "unknown" if it may have taken effect.
	Ran string
	// Meaning describes the code in one sentence, for the documentation.
	Meaning string
	// Remedy is a sentence that tells the receiver of the code what to do.
	Remedy string
}

// Table lists all codes in ascending order. docs/result-codes.md is generated
// from it.
func Table() []Info {
	return append([]Info(nil), table...)
}

var table = []Info{
	{OK, "OK", http.StatusOK, "yes", "The request succeeded, or the answer is the backend server's own.", "Nothing."},
	{NotRunOverloaded, "NotRunOverloaded", http.StatusServiceUnavailable, "no", "The request was refused early because no slot was free or the caller's share was used up.", "Retry after the time in Retry-After."},
	{NotRunNoBackend, "NotRunNoBackend", http.StatusServiceUnavailable, "no", "The service has no backend server that can take the request.", "Retry later; check the conditions of the service."},
	{NotRunBadRequest, "NotRunBadRequest", http.StatusBadRequest, "no", "The request is malformed.", "Correct the part of the request that the message names."},
	{NotRunTooLarge, "NotRunTooLarge", http.StatusRequestEntityTooLarge, "no", "The request's headers or body exceed the limit.", "Send a smaller request, or raise the limit in the service's spec."},
	{NotRunStopping, "NotRunStopping", http.StatusServiceUnavailable, "no", "The entry VM is stopping and takes no new requests.", "Retry at another entry VM."},
	{OutcomeUnknown, "OutcomeUnknown", http.StatusGatewayTimeout, "unknown", "The request was sent and may have run; its answer was not received.", "Retry with the same request id to get the outcome; use a new id only if a second run is harmless."},
	{AnswerNotKept, "AnswerNotKept", http.StatusConflict, "yes", "The request with this id ran; its answer was too large or too old to be kept.", "Read the result from the service itself."},
	{NotRunNoService, "NotRunNoService", http.StatusNotFound, "no", "No service has this name.", "Check the name in the list of services."},
	{NotRunRepeatProtection, "NotRunRepeatProtection", http.StatusServiceUnavailable, "no", "The request is not idempotent and its id could not be recorded at all synchronised peers.", "Retry with the same request id."},
	{BackendTimeout, "BackendTimeout", http.StatusGatewayTimeout, "unknown", "An idempotent request got no answer within its time limit and retry budget.", "Retry."},
	{NotRunIDInUse, "NotRunIDInUse", http.StatusTooManyRequests, "no", "Another submission has this id: one to another queue, of another tenant or with other content. It is not changed.", "Submit with a new id."},
	{BadResource, "BadResource", http.StatusBadRequest, "no", "The resource is malformed or fails validation.", "Correct the fields that the message names."},
	{NotFound, "NotFound", http.StatusNotFound, "no", "No resource has this kind and name.", "Check the kind and the name."},
	{Conflict, "Conflict", http.StatusConflict, "no", "The precondition does not hold: another write precedes this one in the log.", "Read the resource again and retry with its new version."},
	{ListAgain, "ListAgain", http.StatusGone, "no", "The version to watch from is older than the retained history.", "List the resources, then watch from the version of the list."},
	{NotRunLogUnavailable, "NotRunLogUnavailable", http.StatusServiceUnavailable, "no", "The platform's log can't be reached and nothing was sent to it.", "Retry later."},
	{WriteOutcomeUnknown, "WriteOutcomeUnknown", http.StatusGatewayTimeout, "unknown", "The record was sent to the log and was not read back in time.", "Retry with the same operation id."},
	{QuotaRefused, "QuotaRefused", http.StatusForbidden, "no", "The team's quota does not allow one task of the service or job.", "Request fewer resources or raise the quota."},
	{TooLarge, "TooLarge", http.StatusRequestEntityTooLarge, "no", "The document exceeds the size limit.", "Split the document."},
	{NotReady, "NotReady", http.StatusServiceUnavailable, "no", "The entry VM has not yet applied the newest configuration.", "Retry at another entry VM, or later."},
	{PeerUnavailable, "PeerUnavailable", http.StatusBadGateway, "unknown", "A peer entry VM did not answer.", "Retry; check the peer."},
	{WorkerUnavailable, "WorkerUnavailable", http.StatusBadGateway, "unknown", "A worker agent did not answer.", "Nothing: the owner retries."},
	{WorkerRefused, "WorkerRefused", http.StatusConflict, "no", "A worker agent refused a command: outdated term, expired deadline, different boot id or insufficient free resources.", "Nothing: the owner reads the worker's state again."},
	{NotOwner, "NotOwner", http.StatusMisdirectedRequest, "no", "This entry VM does not own the cell.", "Ask the owner that the answer names."},
	{BadSettings, "BadSettings", http.StatusInternalServerError, "no", "The settings file contains errors.", "Correct every error in the report."},
	{BadTrace, "BadTrace", http.StatusInternalServerError, "no", "A trace file is malformed.", "Correct the line that the message names."},
	{TraceMismatch, "TraceMismatch", http.StatusInternalServerError, "no", "A replayed trace did not produce the outcome stated in it.", "Examine the first difference in the report."},
}

// Lookup returns the description of a code, and whether the code exists.
func Lookup(code Code) (Info, bool) {
	for _, info := range table {
		if info.Code == code {
			return info, true
		}
	}
	return Info{}, false
}

// String returns the code's name, or "Unknown" if the code does not exist.
func (c Code) String() string {
	info, ok := Lookup(c)
	if !ok {
		return "Unknown"
	}
	return info.Name
}

// HTTPStatus returns the HTTP status of a response with this code. It is 500 for
// a code that does not exist.
func (c Code) HTTPStatus() int {
	info, ok := Lookup(c)
	if !ok {
		return http.StatusInternalServerError
	}
	return info.HTTPStatus
}
