package httpapi

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// HeaderResult is the name of the response header with the number of the result
// code.
const HeaderResult = "Cactusreel-Result"

// errorMapping maps an error value of package hostapi to its wire form.
type errorMapping struct {
	err    error
	code   result.Code
	reason Reason
}

var errorMappings = []errorMapping{
	{hostapi.ErrLowerTerm, result.WorkerRefused, ReasonLowerTerm},
	{hostapi.ErrDeadlinePassed, result.WorkerRefused, ReasonDeadlinePassed},
	{hostapi.ErrOtherBoot, result.WorkerRefused, ReasonOtherBoot},
	{hostapi.ErrNoRoom, result.WorkerRefused, ReasonNoRoom},
	{hostapi.ErrNoAttempt, result.WorkerRefused, ReasonNoAttempt},
	{hostapi.ErrOldAttempt, result.WorkerRefused, ReasonOldAttempt},
	{hostapi.ErrTruncated, result.ListAgain, ReasonTruncated},
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	Reason  Reason      `json:"reason,omitempty"`
}

// NewErrorBody returns the wire form of err. An error without a result code
// gets the code fallback.
func NewErrorBody(err error, fallback result.Code) ErrorBody {
	code := result.CodeOf(err, fallback)
	body := ErrorBody{Code: code, Name: code.String(), Message: err.Error()}
	for _, r := range errorMappings {
		if !errors.Is(err, r.err) {
			continue
		}
		body.Code = r.code
		body.Name = r.code.String()
		body.Reason = r.reason
		break
	}
	return body
}

// Err returns the error that the body describes. If both the code and the reason
// match a hostapi.Err value, the error wraps that value.
func (b ErrorBody) Err() error {
	for _, r := range errorMappings {
		if b.Code == r.code && b.Reason == r.reason {
			return result.Errorf(b.Code, "%s: %w", b.Message, r.err)
		}
	}
	return result.Errorf(b.Code, "%s", b.Message)
}

// DecodeErrorBody parses the body of a response with the given HTTP status and
// always returns an error. If the body is not an ErrorBody with a known code
// that matches the status, the error wraps none of the hostapi.Err values,
// because such a response leaves the outcome of the request unknown.
func DecodeErrorBody(status int, data []byte) error {
	var body ErrorBody
	err := decodeJSON(data, &body)
	if err != nil {
		return fmt.Errorf("HTTP status %d without a readable error body: %w", status, err)
	}
	_, known := result.Lookup(body.Code)
	if !known || body.Code == result.OK {
		return fmt.Errorf("HTTP status %d with unknown result code %d", status, int(body.Code))
	}
	if body.Code.HTTPStatus() != status {
		return fmt.Errorf("HTTP status %d does not belong to result code %d", status, int(body.Code))
	}
	return body.Err()
}

// WriteError writes an error response with the ErrorBody of err. An error without
// a result code gets the code fallback.
func WriteError(w http.ResponseWriter, err error, fallback result.Code) {
	body := NewErrorBody(err, fallback)
	w.Header().Set(HeaderResult, fmt.Sprint(int(body.Code)))
	writeJSON(w, body.Code.HTTPStatus(), body)
}
